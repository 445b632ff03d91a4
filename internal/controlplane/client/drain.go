package client

import (
	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// LearnDrain records a drain that the gateway learned from an endpoint or another gateway. drained is the time of the latest
// drained start of the endpoint, in ns since 1970. The controller receives the drain immediately or, if it is not connected, with
// the report that it requests after the next connect. LearnDrain has no effect after Run has ended.
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

// persistDrain stores the record of an endpoint with a learned drain. If that fails, the drain remains in effect until a restart.
// The caller holds f.mu.
func (f *Follower) persistDrain(key snapshot.Key) {
	if err := f.persist([]*pb.Item{f.snapshot.Get(key)}); err != nil {
		f.config.Log.Warn("drain not persisted", "endpoint", key.Name, "err", err)
	}
}

// reportIfFollowed returns a report that contains the learned drain, or nil if the stream's controller is not the followed one.
func (f *Follower) reportIfFollowed(s *stream) []*pb.EdgeSays {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isFollowed(s) {
		return nil
	}
	return f.report()
}

// report returns the messages of a report of all records. There is at least one message, and the last one has Last set. The caller
// holds f.mu.
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
