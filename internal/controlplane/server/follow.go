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

// due is what a gateway is to be sent now.
type due struct {
	reportRequest bool
	evidence      []*pb.Item
	transfer      *pb.ViewPart  // nil: none
	retryAfter    time.Duration // a transfer is due and not admitted: it is looked at again after this; 0: not so
	generation    uint64
	heartbeat     uint64
}

// synchronize sends a gateway its snapshot, then what changes, and heartbeats between, until the stream ends. What is due is worked out
// anew whenever the stream is woken, so nothing queues up for a gateway that reads slowly.
func (c *Controller) synchronize(stream *gatewayStream) error {
	stream.rng = rand.New(rand.NewSource(time.Now().UnixNano()))
	for {
		next, err := c.nextDue(stream)
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
			if errors.Is(err, io.EOF) { // the gateway ended the stream
				return nil
			}
			return err
		}
	}
}

// nextDue works out what a gateway is to be sent. It fails once the term was raised: the gateway must receive the new term first, with
// a new stream.
func (c *Controller) nextDue(stream *gatewayStream) (next due, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if snapshot.CompareTerms(c.state.Term(), stream.term) != 0 {
		return due{}, status.Error(codes.Unavailable, "the controller's term was raised; connect again")
	}
	phase := c.state.Phase()
	next.heartbeat, next.generation = c.state.LatestHeartbeat(), c.state.Generation()
	if phase != statemachine.Recovering && phase != statemachine.Superseded {
		next.transfer, next.retryAfter = c.admittedTransfer(stream)
	}
	next.reportRequest, stream.reportRequested = stream.reportRequested, false
	if stream.listVersion != c.listVersion && phase != statemachine.Superseded {
		stream.listVersion = c.listVersion
		if phase != statemachine.HoldingLease { // else it is written, and sent with the snapshot
			next.evidence = c.evidence()
		}
	}
	return next, nil
}

// admittedTransfer is the transfer that a gateway needs, if it is admitted; otherwise the time after which to ask again, 0 if it needs
// none. c.mu is held.
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

// sendOutOfBand sends what is no part of the snapshot: a request for a report, and evidence.
func (g *gatewayStream) sendOutOfBand(next due) error {
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

// sendTransfer sends an admitted transfer in chunks and ends its admission.
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

// sendHeartbeat sends when a transfer will be admitted, once, and the latest heartbeat.
func (g *gatewayStream) sendHeartbeat(next due) error {
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

// wait returns when there may be something to send, retryAfter and up to a quarter of it later at most if it is over 0. It fails when
// the stream has.
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

// chunks cuts a transfer into messages; there is at least one, and the last has the digest.
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
