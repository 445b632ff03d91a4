package client

import (
	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// LearnDrain takes a drain of an endpoint that the gateway learned by itself: drained is the start, in ns since 1970, of the latest life
// drained. The controller receives it at once, or with the report that it asks for when it is connected again. After Run has ended it
// does nothing.
func (f *Follower) LearnDrain(endpoint string, drained int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store == nil || !f.snapshot.LearnDrain(endpoint, drained) {
		return
	}
	f.persistDrain(snapshot.Key{Kind: pb.Item_BRICK, Name: endpoint})
	select {
	case f.drainLearned <- struct{}{}:
	default:
	}
}

// persistDrain stores the record of an endpoint whose drain was learned. If that fails the drain still counts, until a restart. f.mu is
// held.
func (f *Follower) persistDrain(key snapshot.Key) {
	if err := f.persist([]*pb.Item{f.snapshot.Get(key)}); err != nil {
		f.config.Log.Warn("drain not persisted", "endpoint", key.Name, "err", err)
	}
}

// reportIfFollowed is the report for a learned drain; nil: the stream's controller is not the one followed.
func (f *Follower) reportIfFollowed(s *stream) []*pb.EdgeSays {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isFollowed(s) {
		return nil
	}
	return f.report()
}

// report is all that is held, in messages; there is at least one, and the last says so. f.mu is held.
func (f *Follower) report() (messages []*pb.EdgeSays) {
	records := f.snapshot.Records()
	for {
		n := min(len(records), protocol.RecordsPerMessage)
		chunk := &pb.EdgeReport{Item: records[:n], Last: n == len(records)}
		messages = append(messages, &pb.EdgeSays{What: &pb.EdgeSays_Report{Report: chunk}})
		if chunk.Last {
			return messages
		}
		records = records[n:]
	}
}
