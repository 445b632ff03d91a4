package statemachine

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// MergeReport merges a part of what a gateway holds; last: the report is complete with it. Of each record the later generation wins
// and drains add up, so that what this controller's disk lost comes back. A new drain found after recovery is a change like any
// other, written with the next generation so that all gateways receive it.
func (s *State) MergeReport(name string, reported []*pb.Item, last bool, now time.Duration) error {
	g := s.gateways[name]
	if g == nil {
		return fmt.Errorf("%w: report of %q", ErrUnknownGateway, name)
	}
	var learned []*pb.Item
	for _, record := range reported {
		if len(s.records) >= s.config.MaxRecords && s.records[snapshot.KeyOf(record)] == nil {
			return fmt.Errorf("%w: gateway %s reports more than %d", snapshot.ErrTooManyRecords, name, s.config.MaxRecords)
		}
		if merged := s.mergeReported(record); merged != nil {
			learned = append(learned, merged)
		}
	}
	if err := s.storeLearned(name, learned); err != nil {
		return err
	}
	if last {
		g.reported = true
	}
	s.updatePhase(now)
	return nil
}

// mergeReported returns the record to be stored as it was reported; nil: nothing, or the change is now desired.
func (s *State) mergeReported(reported *pb.Item) *pb.Item {
	key := snapshot.KeyOf(reported)
	own := s.records[key]
	merged := reported
	if own != nil && !snapshot.Supersedes(reported, own) {
		merged = own
	}
	drain := snapshot.MergeDrains(own.GetBrick().GetDrained(), reported.GetBrick().GetDrained())
	if key.Kind == pb.Item_BRICK && drain != merged.GetBrick().GetDrained() {
		merged = proto.Clone(merged).(*pb.Item)
		snapshot.AddDrain(merged, drain)
		if s.recovered {
			s.desireDrain(key, merged, drain)
			return nil
		}
	}
	if merged == own {
		return nil
	}
	return merged
}

// desireDrain has a drain written: with the change desired already, else as the given record.
func (s *State) desireDrain(key snapshot.Key, record *pb.Item, drain int64) {
	if desired := s.desired[key]; desired != nil {
		snapshot.AddDrain(desired, drain)
		return
	}
	s.desired[key] = record
}

// storeLearned persists records under the generations that they already have.
func (s *State) storeLearned(gatewayName string, learned []*pb.Item) error {
	if len(learned) == 0 {
		return nil
	}
	if err := s.persist(s.generation, learned); err != nil {
		return fmt.Errorf("persist what gateway %s reported: %w", gatewayName, err)
	}
	for _, record := range learned {
		s.put(record)
	}
	// Other gateways may lack records learned under a generation that they passed: they get the full snapshot.
	s.changesKnownSince = s.generation
	s.log.Info("learned records from a gateway", "gateway", gatewayName, "records", len(learned))
	return nil
}

// updateRecovery ends the recovery once a majority has reported. A majority may be gone for good, so after the timeout the reports
// of all connected gateways are enough.
func (s *State) updateRecovery(now time.Duration) {
	if s.recovered {
		return
	}
	reported := s.reportedGateways()
	timedOut := now-s.startedAt >= s.config.RecoveryTimeout
	if reported >= s.Majority() || reported > 0 && timedOut && !s.awaitsReport() {
		s.recovered = true
		s.log.Info("recovered", "gateways_reported", reported, "generation", s.generation, "records", len(s.records))
	}
}

// reportedGateways is how many gateways have reported what they hold.
func (s *State) reportedGateways() (reported int) {
	for _, g := range s.gateways {
		if g.reported {
			reported++
		}
	}
	return reported
}

// awaitsReport tells whether a connected gateway has yet to report.
func (s *State) awaitsReport() bool {
	for _, g := range s.gateways {
		if g.connected && !g.reported {
			return true
		}
	}
	return false
}
