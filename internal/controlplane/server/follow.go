package server

import (
	"errors"
	"io"
	"math/rand"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/pb"
)

// outbound is the set of messages to send to a gateway now.
type outbound struct {
	reportRequest bool
	evidence      []*pb.Item
	transfer      *pb.ViewPart  // admitted transfer; nil: none
	retryAfter    time.Duration // delay until the next admission attempt of a transfer that was not admitted; 0: none is waiting
	generation    uint64
	heartbeat     uint64
}

// synchronize sends a gateway its snapshot, later changes and heartbeats until the stream ends. It determines the next messages
// each time the stream is woken, so that no messages are queued for a gateway that reads slowly.
func (c *Controller) synchronize(stream *gatewayStream) error {
	stream.rng = rand.New(rand.NewSource(time.Now().UnixNano()))
	for {
		next, err := c.nextOutbound(stream)
		if err != nil {
			return err
		}
		if err := stream.sendOutOfBand(next); err != nil {
			return err
		}
		if next.transfer != nil {
			if err := c.sendTransfer(stream, next.transfer); err != nil {
				return err
			}
			continue
		}
		if err := stream.sendHeartbeat(next); err != nil {
			return err
		}
		if err := stream.wait(next.retryAfter); err != nil {
			if errors.Is(err, io.EOF) { // the gateway closed the stream
				return nil
			}
			return err
		}
	}
}

// nextOutbound determines the next messages for a gateway. It fails if the term was raised after the stream was opened, since the
// gateway must first receive the new term on a new stream.
func (c *Controller) nextOutbound(stream *gatewayStream) (next outbound, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if snapshot.CompareTerms(c.state.Term(), stream.term) != 0 {
		return outbound{}, status.Error(codes.Unavailable, "the controller's term was raised; connect again")
	}
	phase := c.state.Phase()
	next.heartbeat, next.generation = c.state.LatestHeartbeat(), c.state.Generation()
	if phase != statemachine.Recovering && phase != statemachine.Superseded {
		next.transfer, next.retryAfter = c.admittedTransfer(stream)
	}
	next.reportRequest, stream.reportRequested = stream.reportRequested, false
	if stream.listVersion != c.listVersion && phase != statemachine.Superseded {
		stream.listVersion = c.listVersion
		if phase != statemachine.HoldingLease { // otherwise it is written and sent with the snapshot
			next.evidence = c.evidence()
		}
	}
	return next, nil
}

// admittedTransfer returns the transfer that a gateway needs if it is admitted. Otherwise it returns the delay until the next
// attempt, which is 0 if the gateway needs no transfer. The caller holds c.mu.
func (c *Controller) admittedTransfer(stream *gatewayStream) (transfer *pb.ViewPart, retryAfter time.Duration) {
	transfer, needed := c.state.SnapshotFor(stream.name, stream.held)
	if !needed {
		return nil, 0
	}
	admitted, retryAfter := c.state.AdmitSnapshot(stream.name, now())
	if !admitted {
		return nil, retryAfter
	}
	return transfer, retryAfter
}

// sendOutOfBand sends messages that are not part of the snapshot: a request for a report, and evidence.
func (g *gatewayStream) sendOutOfBand(next outbound) error {
	if next.reportRequest {
		if err := g.send(reportRequest()); err != nil {
			return err
		}
	}
	for records := range slices.Chunk(next.evidence, protocol.RecordsPerMessage) {
		if err := g.send(&pb.PlannerSays{What: &pb.PlannerSays_News{News: &pb.PlannerNews{Item: records}}}); err != nil {
			return err
		}
	}
	return nil
}

// sendTransfer sends an admitted transfer in chunks and then releases its admission.
func (c *Controller) sendTransfer(stream *gatewayStream, transfer *pb.ViewPart) error {
	for _, chunk := range chunks(transfer) {
		if err := stream.send(&pb.PlannerSays{What: &pb.PlannerSays_Part{Part: chunk}}); err != nil {
			return err
		}
	}
	stream.held = statemachine.Position{Term: stream.term, Generation: transfer.To, Digest: transfer.Digest}
	stream.retryAnnounced = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.SnapshotSent(stream.name, now())
	return nil
}

// sendHeartbeat sends the latest heartbeat. If a transfer is waiting for admission, it first sends the retry delay, only once.
func (g *gatewayStream) sendHeartbeat(next outbound) error {
	if next.retryAfter > 0 && !g.retryAnnounced {
		if err := g.send(&pb.PlannerSays{What: &pb.PlannerSays_Later{Later: &pb.Later{After: int64(next.retryAfter)}}}); err != nil {
			return err
		}
		g.retryAnnounced = true
	}
	if next.heartbeat == g.heartbeat {
		return nil
	}
	if err := g.send(&pb.PlannerSays{What: &pb.PlannerSays_Alive{Alive: &pb.Alive{Generation: next.generation, Beat: next.heartbeat}}}); err != nil {
		return err
	}
	g.heartbeat = next.heartbeat
	return nil
}

// wait returns when the stream is woken. If retryAfter is positive, it returns at the latest after retryAfter plus a random delay
// of up to a quarter of it. It returns an error if the stream has failed.
func (g *gatewayStream) wait(retryAfter time.Duration) error {
	var retry <-chan time.Time
	if retryAfter > 0 {
		retry = time.After(retryAfter + time.Duration(g.rng.Int63n(int64(retryAfter)/4+1)))
	}
	select {
	case <-g.wake:
		return nil
	case <-retry:
		return nil
	case err := <-g.failed:
		return err
	case <-g.ctx.Done():
		return g.ctx.Err()
	}
}

// chunks splits a transfer into messages. There is at least one message, and the last one contains the digest.
func chunks(transfer *pb.ViewPart) []*pb.ViewPart {
	var all []*pb.ViewPart
	for records := range slices.Chunk(transfer.Item, protocol.RecordsPerMessage) {
		all = append(all, &pb.ViewPart{From: transfer.From, To: transfer.To, Whole: transfer.Whole, Item: records})
	}
	if len(all) == 0 {
		all = []*pb.ViewPart{{From: transfer.From, To: transfer.To, Whole: transfer.Whole}}
	}
	last := all[len(all)-1]
	last.Last, last.Digest = true, transfer.Digest
	return all
}

func reportRequest() *pb.PlannerSays {
	return &pb.PlannerSays{What: &pb.PlannerSays_Report{Report: &pb.ReportAsk{}}}
}
