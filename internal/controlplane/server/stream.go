package server

import (
	"context"
	"math/rand"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/pb"
)

type followServer = grpc.BidiStreamingServer[pb.EdgeSays, pb.PlannerSays]

// gatewayStream is the stream of a gateway.
type gatewayStream struct {
	name         string
	ctx          context.Context // context of the stream; ends when the handler returns
	end          context.CancelFunc
	wake         chan struct{}        // signals that there may be messages to send
	outgoing     chan *pb.PlannerSays // unbuffered, so that no messages are queued
	failed       chan error           // errors of the sender and the receiver
	term         *pb.Tenure           // term of all messages sent on the stream
	stallTimeout time.Duration

	reportRequested bool // a report was requested by an operator; guarded by Controller.mu

	// Fields used only by the handler's goroutine:
	held           statemachine.Position // position after the last transfer sent
	heartbeat      uint64                // last heartbeat sent
	listVersion    int                   // version of the endpoint list for which evidence was last sent
	retryAnnounced bool                  // the retry delay was sent for the waiting transfer
	rng            *rand.Rand            // jitter of retries
}

// Follow serves a gateway's stream. It receives the hello, reports and acknowledgements, and sends the snapshot, its changes and
// heartbeats.
func (c *Controller) Follow(server followServer) error {
	ctx, end := context.WithCancel(server.Context())
	defer end()
	hello, err := receiveHello(server)
	if err != nil {
		return err
	}
	if err := checkPeerName(ctx, hello.Name); err != nil {
		return err
	}
	stream := &gatewayStream{
		name:         hello.Name,
		ctx:          ctx,
		end:          end,
		wake:         make(chan struct{}, 1),
		outgoing:     make(chan *pb.PlannerSays),
		failed:       make(chan error, 2),
		stallTimeout: c.stallTimeout,
		held:         statemachine.Position{Term: hello.Tenure, Generation: hello.Generation, Digest: hello.Digest, NeedsFull: hello.Whole},
	}
	reportNeeded, err := c.register(stream, hello)
	defer c.unregister(stream)
	if err != nil {
		c.log.Info("gateway not served", "gateway", hello.Name, "err", err)
		return status.Error(codes.Unavailable, err.Error())
	}
	// Both goroutines end with the stream, since a blocked Send or Recv returns after this handler has returned.
	c.streamsDone.Go(func() { stream.sendOutgoing(server) })
	c.streamsDone.Go(func() { stream.failed <- c.receive(server, hello.Name) })
	if reportNeeded {
		if err := stream.send(reportRequest()); err != nil {
			return err
		}
	}
	return c.synchronize(stream)
}

func receiveHello(server followServer) (*pb.EdgeHello, error) {
	first, err := server.Recv()
	if err != nil {
		return nil, err
	}
	hello := first.GetHello()
	if hello == nil || hello.Name == "" {
		return nil, status.Error(codes.InvalidArgument, "the first message of a gateway must be a hello with its name")
	}
	if hello.Version+1 < protocol.Version {
		return nil, status.Errorf(codes.FailedPrecondition, "gateway %s has protocol version %d, this controller %d: they may be one apart",
			hello.Name, hello.Version, protocol.Version)
	}
	return hello, nil
}

// checkPeerName rejects a name that is not in the client certificate of the connection. Without TLS it accepts every name.
func checkPeerName(ctx context.Context, name string) error {
	connection, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	tls, ok := connection.AuthInfo.(credentials.TLSInfo)
	if !ok || len(tls.State.PeerCertificates) == 0 {
		return nil
	}
	certificate := tls.State.PeerCertificates[0]
	if certificate.Subject.CommonName != name && !slices.Contains(certificate.DNSNames, name) {
		return status.Errorf(codes.PermissionDenied, "the certificate of %q does not let it speak for %q", certificate.Subject.CommonName, name)
	}
	return nil
}

// register makes this the gateway's current stream. It closes an older stream, since the gateway has replaced that connection.
func (c *Controller) register(stream *gatewayStream, hello *pb.EdgeHello) (reportNeeded bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if older := c.streams[stream.name]; older != nil {
		older.end()
	}
	c.streams[stream.name] = stream
	reportNeeded, err = c.state.Connect(hello, now())
	stream.term = c.state.Term()
	return reportNeeded, err
}

// unregister handles the end of a stream, unless a newer stream has replaced it.
func (c *Controller) unregister(stream *gatewayStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[stream.name] == stream {
		delete(c.streams, stream.name)
		c.state.Disconnected(stream.name, now())
	}
}

// wakeUp makes the handler determine the next messages. It never blocks.
func (g *gatewayStream) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// send passes a message to the sender. It fails if the gateway accepts no message for the stall timeout, which ends the stream.
func (g *gatewayStream) send(message *pb.PlannerSays) error {
	message.Tenure = g.term
	stalled := time.NewTimer(g.stallTimeout)
	defer stalled.Stop()
	select {
	case g.outgoing <- message:
		return nil
	case err := <-g.failed:
		return err
	case <-g.ctx.Done():
		return g.ctx.Err()
	case <-stalled.C:
		return status.Errorf(codes.DeadlineExceeded, "gateway %s took nothing for %v", g.name, g.stallTimeout)
	}
}

// sendOutgoing is the sender of a stream. It sends messages until the stream fails or ends.
func (g *gatewayStream) sendOutgoing(server followServer) {
	for {
		select {
		case message := <-g.outgoing:
			if err := server.Send(message); err != nil {
				g.failed <- err
				return
			}
		case <-g.ctx.Done():
			return
		}
	}
}
