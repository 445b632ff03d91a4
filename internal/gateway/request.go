package gateway

import (
	"errors"
	"fmt"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
)

// maxShard is the largest shard number accepted in a message.
const maxShard = 1 << 30

// resultVerbs maps results to the verbs of final responses. A client that has disconnected gets no response.
var resultVerbs = map[engine.Result]string{
	engine.Served:   lineproto.VerbServed,
	engine.Rejected: lineproto.VerbRejected,
	engine.Failed:   lineproto.VerbFailed,
}

// submit passes a request to the loop. An error ends the connection, because an absent or duplicate id makes responses ambiguous.
func (c *clientConn) submit(m *lineproto.Message) error {
	if m.ID == 0 {
		return errors.New("RUN without an id; give each command on a connection a number of its own, from 1")
	}
	request, err := parseRequest(m)
	if err != nil {
		c.sendBad(m.ID, err)
		return nil
	}
	switch c.register(m.ID, request) {
	case duplicateID:
		return fmt.Errorf("RUN %d while %d is in flight; its answers could not be told apart", m.ID, m.ID)
	case tooMany:
		c.sendBad(m.ID, fmt.Errorf("more than %d commands in flight on one connection", c.gateway.limits.RequestsPerConnection))
		return nil
	}
	id := m.ID
	request.Respond = func(r engine.Response) { c.respond(id, request, r) }
	request.ResponseStarted = func() {
		var started lineproto.Builder
		c.send(started.Start(lineproto.VerbResponseStarted, id).End(nil))
	}
	// A request that does not reach the scheduler is rejected at once, so the client can safely retry it.
	if c.gateway.shuttingDown.Load() || !c.gateway.loop.TryPost(func(core *engine.Core) { core.Submit(request) }) {
		request.Respond(engine.Response{Result: engine.Rejected})
	}
	return nil
}

// registration is the result of clientConn.register.
type registration int

const (
	registered registration = iota
	duplicateID
	tooMany
)

// register adds a request to those in flight on the connection.
func (c *clientConn) register(id uint64, request *engine.Request) registration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.requests[id]; ok {
		return duplicateID
	}
	if len(c.requests) >= c.gateway.limits.RequestsPerConnection {
		return tooMany
	}
	c.requests[id] = request
	return registered
}

// parseRequest parses a RUN message.
func parseRequest(m *lineproto.Message) (*engine.Request, error) {
	shard, shardErr := m.Int(lineproto.FieldShard, -1)
	units, unitsErr := m.Float(lineproto.FieldUnits, 1)
	timeout, timeoutErr := m.Duration(lineproto.FieldTimeout, 0)
	retry, retryErr := m.Int(lineproto.FieldRetry, 0)
	if err := errors.Join(shardErr, unitsErr, timeoutErr, retryErr); err != nil {
		return nil, err
	}
	request := &engine.Request{Volume: m.Get(lineproto.FieldVolume), Class: m.Get(lineproto.FieldClass), Object: m.Get(lineproto.FieldObject), Tag: m.Get(lineproto.FieldTag),
		Trace: m.Get(lineproto.FieldTrace), Shard: int(shard), Units: units, Timeout: timeout, Retry: retry != 0, Body: m.Body}
	if request.Volume == "" || request.Class == "" {
		return nil, errors.New("RUN needs the fields Volume and Queue-Type")
	}
	if units <= 0 || shard < -1 || shard > maxShard || timeout < 0 {
		return nil, fmt.Errorf("units %v, cell %d, timeout %v: allowed are units above 0, a cell from 0 or -1, no negative time",
			units, shard, timeout)
	}
	return request, nil
}

// respond sends the final response, unless the client has canceled the request or has disconnected. It runs in the loop and must
// not block: if the client's queue is full, the client is disconnected.
func (c *clientConn) respond(id uint64, request *engine.Request, r engine.Response) {
	if !c.complete(id, request) {
		return
	}
	m := lineproto.Builder{Buffer: make([]byte, 0, responseHeadroom+len(r.Body))}
	m.Start(resultVerbs[r.Result], id)
	if r.Result == engine.Rejected && r.RetryAfter > 0 {
		m.Duration(lineproto.FieldRetryAfter, max(r.RetryAfter, time.Microsecond)) // 0 on the wire means that no retry time is given
	}
	if r.Result == engine.Failed {
		mayHaveRun := "no"
		if r.MayHaveRun {
			mayHaveRun = "yes"
		}
		m.Text(lineproto.FieldMayHaveRun, mayHaveRun).Text(lineproto.FieldReason, r.Reason)
	}
	if _, err := c.sender.Send(m.End(r.Body).Buffer); err != nil {
		c.sender.Close()
	}
}

// responseHeadroom is the capacity reserved for the head of a response, in bytes; a head is seldom larger.
const responseHeadroom = 64

// complete removes a request that is about to get its response; false: it is no longer in flight.
func (c *clientConn) complete(id uint64, request *engine.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[id] != request {
		return false
	}
	delete(c.requests, id)
	return true
}
