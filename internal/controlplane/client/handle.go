package client

import (
	"errors"
	"fmt"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

var errChangesNotApplicable = errors.New("changes cannot be applied to the records held; requesting the full snapshot")

// handle processes a controller's message and returns the replies. A term is on disk before a reply contains it. A generation may
// be acknowledged although it could not be persisted, since the digest reveals missing records after a restart. An error ends the
// stream.
func (f *Follower) handle(s *stream, message *pb.PlannerSays) (replies []*pb.EdgeSays, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.follow(s, message.Tenure); err != nil {
		return nil, err
	}
	switch content := message.What.(type) {
	case *pb.PlannerSays_Report:
		return f.report(), nil
	case *pb.PlannerSays_News:
		f.useEvidence(content.News.Item)
		return nil, nil
	case *pb.PlannerSays_Alive:
		s.heartbeat = content.Alive.Beat
		return f.acknowledgement(s), nil
	case *pb.PlannerSays_Part:
		complete, err := f.applyChunk(message.Tenure, content.Part)
		if err != nil || !complete {
			return nil, err
		}
		return f.acknowledgement(s), nil
	}
	return nil, nil
}

// follow checks the term of a message and follows its controller. The stream of a previously followed controller, which has a lower
// term, is closed. A higher term that cannot be persisted is not followed, since the gateway could acknowledge a lower one after a
// restart. The caller holds f.mu.
func (f *Follower) follow(s *stream, term *pb.Tenure) error {
	raised, err := f.snapshot.ObserveTerm(term)
	if err != nil {
		return err
	}
	if raised {
		if err := f.persist(nil); err != nil {
			return fmt.Errorf("controller not followed, its term cannot be persisted: %w", err)
		}
		f.config.Log.Info("following a controller", "address", s.address, "controller", term.Planner, "term", term.Term)
	}
	if f.isFollowed(s) {
		return nil
	}
	if f.followed != nil {
		f.followed.end()
	}
	f.snapshot.AbortTransfer()
	f.followed = s
	return nil
}

// acknowledgement returns the acknowledgement of the stream's latest heartbeat and of the generation held. The caller holds f.mu.
func (f *Follower) acknowledgement(s *stream) []*pb.EdgeSays {
	ack := &pb.EdgeAck{Tenure: f.snapshot.Term(), Generation: f.snapshot.Generation(), Beat: s.heartbeat}
	return []*pb.EdgeSays{{What: &pb.EdgeSays_Ack{Ack: ack}}}
}

// applyChunk processes a chunk of a transfer. If complete, it was the last chunk and the transfer was applied. After an error the
// next hello requests the full snapshot, unless the failed transfer was the full snapshot. The caller holds f.mu.
func (f *Follower) applyChunk(term *pb.Tenure, chunk *pb.ViewPart) (complete bool, err error) {
	applied, err := f.snapshot.ApplyChunk(term, chunk)
	if err != nil {
		f.needsFull = !chunk.Whole
		return false, err
	}
	if applied.NeedsFull {
		f.needsFull = true
		return false, errChangesNotApplicable
	}
	if !applied.Complete {
		return false, nil
	}
	f.needsFull = false
	if err := f.persist(applied.Changed); err != nil {
		f.config.Log.Warn("snapshot not persisted; using it from memory", "err", err)
	}
	if len(applied.Changed) > 0 {
		f.config.Sink.Changed(applied.Changed, true)
	}
	return true, nil
}

// useEvidence processes information about endpoints from a controller that cannot write. It is not part of the snapshot: the sink
// treats it like information from another gateway, and only its drains are stored. The caller holds f.mu.
func (f *Follower) useEvidence(records []*pb.Item) {
	for i, record := range records {
		records[i] = f.snapshot.WithKnownDrain(record)
		if drained := record.GetBrick().GetDrained(); drained != 0 && f.snapshot.LearnDrain(record.Name, drained) {
			f.persistDrain(snapshot.KeyOf(record))
		}
	}
	f.config.Sink.Changed(records, true)
}
