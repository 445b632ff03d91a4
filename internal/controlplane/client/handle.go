package client

import (
	"errors"
	"fmt"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

var errChangesDontFit = errors.New("changes don't fit what is held, the full snapshot will be asked for")

// handle takes a controller's message and returns the replies. A term is on disk before a reply speaks of it. A generation may be
// acknowledged from memory where the disk fails: after a restart the digest shows what is missing. An error ends the stream.
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

// follow checks the term of a message and makes its controller the one followed; the one before, of a lower term, is left. A higher
// term that can't be persisted is not followed: after a restart the gateway would acknowledge a lower one again. f.mu is held.
func (f *Follower) follow(s *stream, term *pb.Tenure) error {
	raised, err := f.snapshot.ObserveTerm(term)
	if err != nil {
		return err
	}
	if raised {
		if err := f.persist(nil); err != nil {
			return fmt.Errorf("controller not followed, its term can't be persisted: %w", err)
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

// acknowledgement of the latest heartbeat and of all records up to the generation held. f.mu is held.
func (f *Follower) acknowledgement(s *stream) []*pb.EdgeSays {
	ack := &pb.EdgeAck{Tenure: f.snapshot.Term(), Generation: f.snapshot.Generation(), Beat: s.heartbeat}
	return []*pb.EdgeSays{{What: &pb.EdgeSays_Ack{Ack: ack}}}
}

// applyChunk takes a chunk of a transfer; complete: it was the last and the snapshot has changed. After an error the next hello asks
// for the full snapshot, unless that was just received. f.mu is held.
func (f *Follower) applyChunk(term *pb.Tenure, chunk *pb.ViewPart) (complete bool, err error) {
	applied, err := f.snapshot.ApplyChunk(term, chunk)
	if err != nil {
		f.needsFull = !chunk.Whole
		return false, err
	}
	if applied.NeedsFull {
		f.needsFull = true
		return false, errChangesDontFit
	}
	if !applied.Complete {
		return false, nil
	}
	f.needsFull = false
	if err := f.persist(applied.Changed); err != nil {
		f.config.Log.Warn("snapshot not persisted, used all the same", "err", err)
	}
	if len(applied.Changed) > 0 {
		f.config.Sink.Changed(applied.Changed, true)
	}
	return true, nil
}

// useEvidence takes what a controller that may not write received about endpoints. It is no part of the snapshot: the sink uses it as
// it would another gateway's, and only its drains are kept. f.mu is held.
func (f *Follower) useEvidence(records []*pb.Item) {
	for i, record := range records {
		records[i] = f.snapshot.WithKnownDrain(record)
		if drained := record.GetBrick().GetDrained(); drained != 0 && f.snapshot.LearnDrain(record.Name, drained) {
			f.persistDrain(snapshot.KeyOf(record))
		}
	}
	f.config.Sink.Changed(records, true)
}
