package upstream

import (
	"errors"
	"math"
	"strconv"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/policy"
)

// readResponse reads the response to the attempt that was sent. Its head and its body are charged to the response memory before they
// are allocated: endpoints may together send more than the limit. The body stays charged.
func (c *conn) readResponse(a *attempt) (*http1.Head, []byte, error) {
	if err := c.reader.Await(); err != nil {
		return nil, nil, err
	}
	a.memory.open(c.endpoint.pool.options.ResponseMemory)
	c.reader.SetMemory(readerMemory{a.ctx, a.memory.account})
	defer c.reader.SetMemory(nil)
	head, err := c.reader.Response()
	if err != nil {
		return nil, nil, err
	}
	body, err := c.reader.Body(head, MaxResponseBody)
	return head, body, err
}

// responseFailed reports an attempt without a complete response. The attempt may have run.
func (c *conn) responseFailed(a *attempt, seenAt time.Duration, err error) {
	outcome := policy.ConnectionReset
	var malformed *http1.Error
	if errors.As(err, &malformed) {
		c.recordMalformed(malformed)
		outcome = policy.ErrorResponse
	}
	c.recordUse(a, outcome == policy.ConnectionReset)
	c.endpoint.report(a, engine.AttemptReport{Outcome: outcome, SeenAt: seenAt})
}

// outcomeOf returns the outcome of an attempt with a complete response. An endpoint that rejects an attempt without running it
// sets X-Turned-Away; a 503 or 504 without that field may come from an intermediate proxy.
func outcomeOf(head *http1.Head) policy.Outcome {
	switch {
	case head.Status == 200:
		return policy.Served
	case (head.Status == 503 || head.Status == 504) && head.Get("X-Turned-Away") == "1":
		return policy.Rejected
	}
	return policy.ErrorResponse
}

// parseLoad parses the units that an endpoint serves for other gateways. It returns 0 for an absent or invalid value.
func parseLoad(text string) float64 {
	units, err := strconv.ParseFloat(text, 64)
	if err != nil || !(units >= 0) || math.IsInf(units, 0) {
		return 0
	}
	return units
}

const malformedLogInterval = time.Second

// recordMalformed counts a malformed response and logs the cause, at most once per malformedLogInterval.
func (c *conn) recordMalformed(cause error) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Malformed++
	if now := time.Now(); now.Sub(p.malformedLoggedAt) >= malformedLogInterval {
		p.malformedLoggedAt = now
		p.options.Log.Info("malformed response", "endpoint", c.endpoint.name, "err", cause, "total", p.counts.Malformed)
	}
}
