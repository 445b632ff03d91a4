package snapshot

import (
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// DrainedForGood is the value of a permanent drain, which no later start of the endpoint lifts.
const DrainedForGood = -1

// Drained reports whether the drain of an endpoint covers its latest start. A drain covers all starts up to a certain time.
func Drained(endpoint *pb.PlanBrick) bool {
	drained := endpoint.GetDrained()
	return drained == DrainedForGood || drained != 0 && endpoint.GetStarted() <= drained
}

// MergeDrains returns the drain that covers both a and b. A drain is the time of the latest drained start of the endpoint, in ns
// since 1970. 0 means no drain, and -1 (DrainedForGood) covers all starts.
func MergeDrains(a, b int64) int64 {
	if a == DrainedForGood || b == DrainedForGood {
		return DrainedForGood
	}
	return max(a, b)
}

// AddDrain merges a drain into an endpoint's record in place and clears Serving if the endpoint is drained.
func AddDrain(record *pb.Item, drain int64) {
	if record.Brick == nil {
		record.Brick = &pb.PlanBrick{}
	}
	record.Brick.Drained = MergeDrains(record.Brick.Drained, drain)
	record.Brick.Serving = record.Brick.Serving && !Drained(record.Brick)
}

// LearnDrain merges a drain that the gateway learned from the endpoint itself or from another gateway. It reports whether the drain
// was not yet covered by the known one.
func (s *Snapshot) LearnDrain(endpoint string, drain int64) (changed bool) {
	key := Key{pb.Item_BRICK, endpoint}
	known := s.records[key]
	if known == nil {
		known = &pb.Item{Kind: key.Kind, Name: endpoint, Brick: &pb.PlanBrick{}}
	}
	drained := known.GetBrick().GetDrained()
	if MergeDrains(drained, drain) == drained {
		return false
	}
	record := proto.Clone(known).(*pb.Item)
	AddDrain(record, drain)
	s.records[key] = record
	return true
}

// WithKnownDrain returns the record with the known drains of its endpoint merged into it. It returns the record itself if nothing
// changes, and a copy otherwise.
func (s *Snapshot) WithKnownDrain(record *pb.Item) *pb.Item {
	key := KeyOf(record)
	known := s.records[key]
	if key.Kind != pb.Item_BRICK || known.GetBrick().GetDrained() == 0 {
		return record
	}
	drain := MergeDrains(known.Brick.Drained, record.GetBrick().GetDrained())
	if record.GetBrick().GetDrained() == drain {
		return record
	}
	merged := proto.Clone(record).(*pb.Item)
	if merged.Brick == nil {
		merged.Brick = proto.Clone(known.Brick).(*pb.PlanBrick)
	}
	AddDrain(merged, drain)
	return merged
}
