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
	// reportWait is how long Status waits for the report that it requested from a gateway.
	reportWait         = 2 * time.Second
	reportPollInterval = 5 * time.Millisecond
)

// Status returns the controller's phase for operators and, on request, all records, all gateways and the differences to a gateway's
// records. It fails with NotFound if differences to a gateway that has never reported are requested.
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

// refreshReport requests a new report from a gateway and waits for it, for at most reportWait. If the gateway is not connected or
// does not reply, its latest report remains in use.
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

// requestReport makes the stream of a gateway request a report. before is the number of reports received from the gateway so far.
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
