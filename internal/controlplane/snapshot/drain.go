package snapshot

import (
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// DrainedForGood is the value of a drain that no later start lifts.
const DrainedForGood = -1

// Drained tells whether the present life of an endpoint is drained: a drain covers all lives up to a start time.
func Drained(endpoint *pb.PlanBrick) bool {
	drained := endpoint.GetDrained()
	return drained == DrainedForGood || drained != 0 && endpoint.GetStarted() <= drained
}

// MergeDrains is the drain that covers both. A drain is the start, in ns since 1970, of the latest life drained; 0: none; -1: all
// lives, whenever they start.
func MergeDrains(a, b int64) int64 {
	if a == DrainedForGood || b == DrainedForGood {
		return DrainedForGood
	}
	return max(a, b)
}

// AddDrain merges a drain into an endpoint's record, in place, and takes the endpoint out of service if its present life is drained.
func AddDrain(record *pb.Item, drain int64) {
	if record.Brick == nil {
		record.Brick = &pb.PlanBrick{}
	}
	record.Brick.Drained = MergeDrains(record.Brick.Drained, drain)
	record.Brick.Serving = record.Brick.Serving && !Drained(record.Brick)
}

// LearnDrain merges a drain of an endpoint that the gateway learned by itself, from the endpoint or another gateway. changed: it was
// not covered by what is known.
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

// WithKnownDrain is the record with the drains merged that are known of its endpoint: the record itself if that changes nothing, else
// a copy.
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
