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

// readResponse reads the response to the attempt that was sent. Its body is read only once there is memory for it: endpoints
// may send more at a time than this process may hold.
func (c *conn) readResponse(a *attempt) (*http1.Head, []byte, error) {
	if err := c.reader.Await(); err != nil {
		return nil, nil, err
	}
	head, err := c.reader.Response()
	if err != nil {
		return nil, nil, err
	}
	reserve := head.Length
	if reserve < 0 { // the length is not known before the body's end
		reserve = MaxResponseBody
	}
	if reserve > 0 && reserve <= MaxResponseBody { // else no body is read
		if err := c.endpoint.pool.responseMemory.Acquire(a.ctx, reserve); err != nil {
			return nil, nil, err
		}
		a.reservedBytes = reserve
	}
	body, err := c.reader.Body(head, MaxResponseBody)
	return head, body, err
}

// responseFailed reports an attempt without a whole response: it may have run.
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

// outcomeOf is the outcome of an attempt that got a whole response. An endpoint that rejects an attempt, and so did not run
// it, marks that in the header; 503 and 504 without the mark may come from a proxy on the way.
func outcomeOf(head *http1.Head) policy.Outcome {
	switch {
	case head.Status == 200:
		return policy.Served
	case (head.Status == 503 || head.Status == 504) && head.Get("X-Turned-Away") == "1":
		return policy.Rejected
	}
	return policy.ErrorResponse
}

// parseLoad reads the units that an endpoint serves for other gateways; what can't be read is taken as absent, 0.
func parseLoad(text string) float64 {
	units, err := strconv.ParseFloat(text, 64)
	if err != nil || !(units >= 0) || math.IsInf(units, 0) {
		return 0
	}
	return units
}

const malformedLogInterval = time.Second

// recordMalformed counts a response that can't be parsed, and logs why at a bounded rate.
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
