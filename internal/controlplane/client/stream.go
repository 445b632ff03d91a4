package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/pb"
)

// refreshInterval is the interval at which all records are passed to the sink again while a controller is followed. The heartbeats
// of that controller confirm that the records are still valid.
const refreshInterval = time.Minute

// keepaliveParameters configure the detection of a connection that was lost without being closed. The server closes connections
// with more than one ping per second.
var keepaliveParameters = keepalive.ClientParameters{Time: 5 * time.Second, Timeout: 5 * time.Second, PermitWithoutStream: true}

// stream is a stream to one controller.
type stream struct {
	address   string
	conn      *grpc.ClientConn
	messages  grpc.BidiStreamingClient[pb.EdgeSays, pb.PlannerSays]
	end       context.CancelFunc
	heartbeat uint64 // latest heartbeat received; used only by the goroutine of runStream
}

// received is the result of receiving a message.
type received struct {
	message *pb.PlannerSays
	err     error
}

// maintainStream keeps a stream to one controller open until ctx ends, with exponential backoff between attempts. The backoff is
// reset after a stream on which a message was accepted. A repeated error is logged only once.
func (f *Follower) maintainStream(ctx context.Context, address string) {
	conn, err := f.connect(address)
	if err != nil {
		f.config.Log.Warn("controller address unusable", "address", address, "err", err)
		return
	}
	defer func() { _ = conn.Close() }() // the error is irrelevant, since the stream has ended
	backoff, lastError := f.config.MinBackoff, ""
	for ctx.Err() == nil {
		accepted, err := f.runStream(ctx, conn, address)
		if accepted {
			backoff = f.config.MinBackoff
		}
		if err != nil && ctx.Err() == nil && err.Error() != lastError {
			lastError = err.Error()
			f.config.Log.Info("controller stream ended or could not be opened; continuing with the current snapshot", "address", address, "err", err)
		}
		select {
		case <-time.After(f.jitter(backoff)):
			backoff = min(2*backoff, f.config.MaxBackoff)
		case <-ctx.Done():
		}
	}
}

// jitter returns a random duration between 0.5 and 1.5 times mean, so that many gateways do not reconnect at the same time.
func (f *Follower) jitter(mean time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return mean/2 + time.Duration(f.rng.Int63n(int64(mean)))
}

// runStream opens a stream, serves it until it ends and returns the reason. accepted reports whether a message of the controller
// was accepted.
func (f *Follower) runStream(outer context.Context, conn *grpc.ClientConn, address string) (accepted bool, err error) {
	ctx, end := context.WithCancel(outer)
	defer end()
	messages, err := pb.NewPlanningClient(conn).Follow(ctx)
	if err != nil {
		return false, err
	}
	s := &stream{address: address, conn: conn, messages: messages, end: end}
	if err := messages.Send(&pb.EdgeSays{What: &pb.EdgeSays_Hello{Hello: f.hello(s)}}); err != nil {
		_, reason := messages.Recv() // the controller's reason for closing the stream
		return false, errors.Join(reason, err)
	}
	defer f.unfollow(s)
	incoming := make(chan received)
	var reader sync.WaitGroup
	defer reader.Wait()
	defer end() // before the wait: it ends the reader
	reader.Go(func() { s.receive(ctx, incoming) })
	return f.serveStream(ctx, s, incoming)
}

// hello returns the first message of a stream, which describes the snapshot that the gateway holds.
func (f *Follower) hello(s *stream) *pb.EdgeHello {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &pb.EdgeHello{
		Version:    protocol.Version,
		Name:       f.config.Gateway,
		Address:    f.config.ClientAddress,
		Tenure:     f.snapshot.Term(),
		Generation: f.snapshot.Generation(),
		Digest:     f.snapshot.Digest(),
		Following:  f.followed != nil && f.followed.address != s.address,
		Whole:      f.needsFull,
	}
}

// receive passes on messages one at a time until the stream ends. Flow control leaves further messages at the controller.
func (s *stream) receive(ctx context.Context, incoming chan<- received) {
	for {
		message, err := s.messages.Recv()
		select {
		case incoming <- received{message, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// serveStream handles messages, learned drains and timers of a stream until it ends or the controller sends nothing for
// SilenceTimeout.
func (f *Follower) serveStream(ctx context.Context, s *stream, incoming <-chan received) (accepted bool, err error) {
	silence := time.NewTimer(f.config.SilenceTimeout)
	defer silence.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case r := <-incoming:
			if r.err != nil {
				return accepted, r.err
			}
			silence.Reset(f.config.SilenceTimeout)
			replies, err := f.handle(s, r.message)
			if err != nil {
				return accepted, err
			}
			accepted = true
			err = s.send(replies)
			if err != nil {
				return accepted, err
			}
		case <-f.drainLearned:
			if err := s.send(f.reportIfFollowed(s)); err != nil {
				return accepted, err
			}
		case <-refresh.C:
			f.refreshSink(s)
		case <-silence.C:
			return accepted, fmt.Errorf("the controller sent nothing for %v", f.config.SilenceTimeout)
		case <-ctx.Done():
			return accepted, ctx.Err()
		}
	}
}

func (s *stream) send(messages []*pb.EdgeSays) error {
	for _, message := range messages {
		if err := s.messages.Send(message); err != nil {
			return err
		}
	}
	return nil
}

// refreshSink passes all records to the sink again if the stream's controller is the followed one.
func (f *Follower) refreshSink(s *stream) {
	f.mu.Lock()
	followed, records := f.isFollowed(s), f.snapshot.Records()
	f.mu.Unlock()
	if followed {
		f.config.Sink.Changed(records, true)
	}
}

// isFollowed reports whether the stream's controller is the followed one. The caller holds f.mu.
func (f *Follower) isFollowed(s *stream) bool {
	return f.followed != nil && f.followed.address == s.address
}

// unfollow handles the end of a stream.
func (f *Follower) unfollow(s *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isFollowed(s) {
		f.followed = nil
		f.snapshot.AbortTransfer()
	}
}
