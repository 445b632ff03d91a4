package server

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/pb"
)

const (
	// reportWait is how long Status waits for the report that it asked a gateway for.
	reportWait         = 2 * time.Second
	reportPollInterval = 5 * time.Millisecond
)

// Status describes the controller for operators: its phase; on request all records, all gateways, and how a gateway's records differ.
// It fails with NotFound for a difference to a gateway that has never reported.
func (c *Controller) Status(ctx context.Context, request *pb.StatusAsk) (*pb.StatusTold, error) {
	if request.Diff != "" {
		c.refreshReport(ctx, request.Diff)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &pb.StatusTold{Tenure: c.state.Term(), Generation: c.state.Generation(), Phase: c.state.Phase().String(), Why: c.state.WriteBlockedReason(now())}
	if request.View {
		reply.Item = c.state.Records()
	}
	if request.Edges {
		reply.Edge = c.state.GatewayStatus(now())
	}
	if request.Diff != "" {
		held, ok := c.reports[request.Diff]
		if !ok {
			return nil, status.Errorf(codes.NotFound, "gateway %q has not reported to this controller", request.Diff)
		}
		reply.Difference = statemachine.Difference(c.state.Records(), held, request.Diff)
	}
	return reply, nil
}

// refreshReport asks a gateway for a new report and waits for it, up to reportWait. Of a gateway that isn't connected or doesn't reply
// the latest report stands.
func (c *Controller) refreshReport(ctx context.Context, name string) {
	connected, before := c.requestReport(name)
	if !connected {
		return
	}
	poll := time.NewTicker(reportPollInterval)
	defer poll.Stop()
	for deadline := time.Now().Add(reportWait); time.Now().Before(deadline); {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
		if c.reportsOf(name) > before {
			return
		}
	}
}

// requestReport has a gateway's stream ask for a report; before is how many it has made so far.
func (c *Controller) requestReport(name string) (connected bool, before int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stream := c.streams[name]
	if stream == nil {
		return false, 0
	}
	stream.reportRequested = true
	stream.wakeUp()
	return true, c.reportCount[name]
}

func (c *Controller) reportsOf(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportCount[name]
}
