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

// refreshInterval is how often the sink is given all records again while a controller is followed: its heartbeats say that they still
// hold.
const refreshInterval = time.Minute

// keepaliveParameters find a connection that was lost without a sign. The server cuts off who pings more often than once a second.
var keepaliveParameters = keepalive.ClientParameters{Time: 5 * time.Second, Timeout: 5 * time.Second, PermitWithoutStream: true}

// stream is one conversation with one controller.
type stream struct {
	address   string
	conn      *grpc.ClientConn
	messages  grpc.BidiStreamingClient[pb.EdgeSays, pb.PlannerSays]
	end       context.CancelFunc
	heartbeat uint64 // the latest received; of the goroutine of runStream
}

// received is a message or why there is none.
type received struct {
	message *pb.PlannerSays
	err     error
}

// stayConnected keeps a stream to one controller until ctx ends, with exponential backoff between attempts. The backoff starts anew
// after a stream on which a message was accepted. An error that repeats is logged once.
func (f *Follower) stayConnected(ctx context.Context, address string) {
	conn, err := f.connect(address)
	if err != nil {
		f.config.Log.Warn("controller address unusable", "address", address, "err", err)
		return
	}
	defer func() { _ = conn.Close() }() // nothing is lost with it: the stream has ended
	backoff, lastError := f.config.MinBackoff, ""
	for ctx.Err() == nil {
		accepted, err := f.runStream(ctx, conn, address)
		if accepted {
			backoff = f.config.MinBackoff
		}
		if err != nil && ctx.Err() == nil && err.Error() != lastError {
			lastError = err.Error()
			f.config.Log.Info("controller stream ended or not opened, going on with the snapshot held", "address", address, "err", err)
		}
		select {
		case <-time.After(f.spread(backoff)):
			backoff = min(2*backoff, f.config.MaxBackoff)
		case <-ctx.Done():
		}
	}
}

// spread is a random time between a half and one and a half of mean, so that many gateways don't return at the same moment.
func (f *Follower) spread(mean time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return mean/2 + time.Duration(f.rng.Int63n(int64(mean)))
}

// runStream opens a stream and serves it until it ends, and returns why. accepted: a message of the controller was accepted.
func (f *Follower) runStream(outer context.Context, conn *grpc.ClientConn, address string) (accepted bool, err error) {
	ctx, end := context.WithCancel(outer)
	defer end()
	messages, err := pb.NewPlanningClient(conn).Follow(ctx)
	if err != nil {
		return false, err
	}
	s := &stream{address: address, conn: conn, messages: messages, end: end}
	if err := messages.Send(&pb.EdgeSays{What: &pb.EdgeSays_Hello{Hello: f.hello(s)}}); err != nil {
		_, reason := messages.Recv() // why the controller ended the stream
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

// hello says what the gateway holds.
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

// receive hands over the messages one at a time until the stream ends: what is not handled yet waits at the controller.
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

// serveStream handles what happens on a stream until it ends, or the controller is silent for too long.
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

// refreshSink gives the sink all records again if the stream is the one followed.
func (f *Follower) refreshSink(s *stream) {
	f.mu.Lock()
	followed, records := f.isFollowed(s), f.snapshot.Records()
	f.mu.Unlock()
	if followed {
		f.config.Sink.Changed(records, true)
	}
}

// isFollowed tells whether the stream's controller is the one followed. f.mu is held.
func (f *Follower) isFollowed(s *stream) bool {
	return f.followed != nil && f.followed.address == s.address
}

// unfollow takes the end of a stream.
func (f *Follower) unfollow(s *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isFollowed(s) {
		f.followed = nil
		f.snapshot.AbortTransfer()
	}
}
