package simulatorwire

import (
	"encoding/base64"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/policy"
)

// allGateways is the wire's recipient number for a message to all other gateways.
const allGateways = -1

// noAttemptTimeout is the wire's value for an attempt without a timeout of its own: only the request's deadline applies.
const noAttemptTimeout = 0

// Now implements policy.Runtime. It returns the time of the batch.
func (g *gateway) Now() time.Duration { return g.adapter.now }

// Send implements policy.Runtime.
func (g *gateway) Send(attempt *policy.Attempt) {
	g.requests[attempt.Request.ID].inFlight[attempt.Number] = attempt
	g.act("relay", func() {
		g.writeInteger("rid", attempt.Request.ID)
		g.writeText("brick", attempt.Endpoint.Name)
		g.writeInteger("give_up_after_us", noAttemptTimeout)
	})
}

// Reject implements policy.Runtime.
func (g *gateway) Reject(request *policy.Request, retryAfter time.Duration) {
	g.act("push_back", func() {
		g.writeInteger("rid", request.ID)
		g.writeInteger("pause_us", retryAfter.Microseconds())
	})
	g.endRequest(request.ID)
}

// Fail implements policy.Runtime.
func (g *gateway) Fail(request *policy.Request) {
	g.act("drop_request", func() { g.writeInteger("rid", request.ID) })
	g.endRequest(request.ID)
}

// Cancel implements policy.Runtime.
func (g *gateway) Cancel(attempt *policy.Attempt) {
	g.act("drop_attempt", func() {
		g.writeInteger("rid", attempt.Request.ID)
		g.writeInteger("n", int64(attempt.Number))
	})
}

// After implements policy.Runtime. fire runs in the first batch at or after that time.
func (g *gateway) After(wait time.Duration, fire func()) {
	g.lastTimer++
	g.timers[g.lastTimer] = fire
	roundedUp := max((wait + time.Microsecond - 1).Microseconds(), 0) // never earlier than requested
	g.act("remind", func() {
		g.writeInteger("after_us", roundedUp)
		g.writeText("cookie", strconv.FormatInt(g.lastTimer, 10))
	})
}

// RequestEndpointList implements policy.Runtime. The simulator sends the list's changes from then on.
func (g *gateway) RequestEndpointList() {
	g.act("tail", func() { g.actions = append(g.actions, `,"enable":true`...) })
}

// CheckHealth implements policy.Runtime.
func (g *gateway) CheckHealth(endpoint *policy.Endpoint) {
	g.act("inspect", func() { g.writeText("brick", endpoint.Name) })
}

// SendGossip implements policy.Runtime.
func (g *gateway) SendGossip(message []byte) {
	g.act("memo_to", func() {
		g.writeInteger("neighbour_id", allGateways)
		g.writeText("data", base64.StdEncoding.EncodeToString(message))
	})
}

// Log implements policy.Runtime. The line goes into the simulator's report.
func (g *gateway) Log(line string) { g.act("debug", func() { g.writeText("line", line) }) }

// act writes one action; writeFields writes its fields.
func (g *gateway) act(kind string, writeFields func()) {
	if len(g.actions) > 0 {
		g.actions = append(g.actions, ',')
	}
	g.actions = append(g.actions, `{"kind":"`...)
	g.actions = append(g.actions, kind...)
	g.actions = append(g.actions, '"')
	writeFields()
	g.actions = append(g.actions, '}')
}

func (g *gateway) writeInteger(name string, n int64) {
	g.actions = append(g.actions, `,"`+name+`":`...)
	g.actions = strconv.AppendInt(g.actions, n, 10)
}

func (g *gateway) writeText(name, text string) {
	var arena fastjson.Arena
	g.actions = append(g.actions, `,"`+name+`":`...)
	g.actions = arena.NewString(text).MarshalTo(g.actions)
}
