package statemachine

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// MergeReport merges a chunk of a gateway's report of its records; last marks the final chunk. For each record the later generation
// wins and drains are merged, which restores records that this controller's disk has lost. A new drain found after recovery is an
// ordinary change, which is written with the next generation so that all gateways receive it.
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

// mergeReported merges a reported record and returns the record to store under its reported generation. The result is nil if
// nothing changed or the change was added to the desired records.
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
			s.setDesiredDrain(key, merged, drain)
			return nil
		}
	}
	if merged == own {
		return nil
	}
	return merged
}

// setDesiredDrain merges a drain into the desired record of the key. If there is none, the given record becomes the desired one.
func (s *State) setDesiredDrain(key snapshot.Key, record *pb.Item, drain int64) {
	if desired := s.desired[key]; desired != nil {
		snapshot.AddDrain(desired, drain)
		return
	}
	s.desired[key] = record
}

// storeLearned persists records learned from a gateway under their existing generations.
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
	// Other gateways may lack learned records even though they hold a later generation, so they need the full snapshot.
	s.changesKnownSince = s.generation
	s.log.Info("learned records from a gateway", "gateway", gatewayName, "records", len(learned))
	return nil
}

// updateRecovery ends the recovery once a majority of the gateways has reported. Since a majority may be permanently unavailable,
// the reports of all connected gateways suffice after the timeout.
func (s *State) updateRecovery(now time.Duration) {
	if s.recovered {
		return
	}
	reported := s.reportedGateways()
	timedOut := now-s.startedAt >= s.config.RecoveryTimeout
	if reported >= s.Majority() || reported > 0 && timedOut && !s.hasPendingReport() {
		s.recovered = true
		s.log.Info("recovered", "gateways_reported", reported, "generation", s.generation, "records", len(s.records))
	}
}

// reportedGateways returns the number of gateways whose complete report has been merged.
func (s *State) reportedGateways() (reported int) {
	for _, g := range s.gateways {
		if g.reported {
			reported++
		}
	}
	return reported
}

// hasPendingReport reports whether the report of a connected gateway is missing.
func (s *State) hasPendingReport() bool {
	for _, g := range s.gateways {
		if g.connected && !g.reported {
			return true
		}
	}
	return false
}
