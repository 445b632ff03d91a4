package gateway

import (
	"errors"
	"fmt"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
)

// maxShard bounds the shard that a client may name.
const maxShard = 1 << 30

// resultVerbs are the verbs of final responses. Nothing is sent to a client that has disconnected.
var resultVerbs = map[engine.Result]string{
	engine.Served:   lineproto.VerbServed,
	engine.Rejected: lineproto.VerbRejected,
	engine.Failed:   lineproto.VerbFailed,
}

// submit passes a request on to the loop. An error ends the connection: its ids can't be told apart any more.
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
	// What the scheduler never sees is rejected at once; a retry of it is harmless.
	if c.gateway.shuttingDown.Load() || !c.gateway.loop.TryPost(func(core *engine.Core) { core.Submit(request) }) {
		request.Respond(engine.Response{Result: engine.Rejected})
	}
	return nil
}

// registration says whether a request may be in flight on its connection.
type registration int

const (
	registered registration = iota
	duplicateID
	tooMany
)

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

// parseRequest reads a RUN message. The names of its fields are the protocol's.
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

// respond sends the final response, unless the client has canceled the request or is gone. It runs in the loop, so it never blocks: a
// client that reads nothing is disconnected.
func (c *clientConn) respond(id uint64, request *engine.Request, r engine.Response) {
	if !c.complete(id, request) {
		return
	}
	m := lineproto.Builder{Buffer: make([]byte, 0, responseHeadroom+len(r.Body))}
	m.Start(resultVerbs[r.Result], id)
	if r.Result == engine.Rejected && r.RetryAfter > 0 {
		m.Duration(lineproto.FieldRetryAfter, max(r.RetryAfter, time.Microsecond)) // 0 on the wire would be no advice
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

// responseHeadroom is the size, in bytes, that the head of a response seldom exceeds.
const responseHeadroom = 64

// complete removes a request that gets its response; false: it is not in flight any more.
func (c *clientConn) complete(id uint64, request *engine.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[id] != request {
		return false
	}
	delete(c.requests, id)
	return true
}
