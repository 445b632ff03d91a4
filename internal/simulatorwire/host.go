package simulatorwire

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/internal/httpgateway/config"
	"weirhaven/policy"
)

// enlist hands the settings over.
func (h *host) enlist(e *fastjson.Value) error {
	seed, err := whole(e, "seed")
	if err != nil {
		return err
	}
	s, err := config.Settings(e.Get("profile_data"), seed)
	if err != nil {
		return fmt.Errorf("profile_data: %w", err)
	}
	*h = host{adapter: h.adapter, do: h.do, commands: map[int64]*entry{}, bricks: map[string]*policy.Endpoint{},
		volumes: map[string]*policy.Volume{}, timers: map[int64]func(){}}
	h.inst = policy.New(h, s)
	return nil
}

// act writes one action; fields adds to it.
func (h *host) act(kind string, fields func()) {
	if len(h.do) > 0 {
		h.do = append(h.do, ',')
	}
	h.do = append(h.do, `{"kind":"`...)
	h.do = append(h.do, kind...)
	h.do = append(h.do, '"')
	fields()
	h.do = append(h.do, '}')
}

func (h *host) num(name string, n int64) {
	h.do = append(h.do, `,"`+name+`":`...)
	h.do = strconv.AppendInt(h.do, n, 10)
}

func (h *host) str(name, s string) {
	var a fastjson.Arena
	h.do = append(h.do, `,"`+name+`":`...)
	h.do = a.NewString(s).MarshalTo(h.do)
}

// Now is the batch's clock.
func (h *host) Now() time.Duration { return h.adapter.now }

// Dispatch sends a command to a brick.
func (h *host) Send(d *policy.Attempt) {
	h.commands[d.Request.ID].dispatches[d.Number] = d
	h.act("relay", func() {
		h.num("rid", d.Request.ID)
		h.str("brick", d.Endpoint.Name)
		h.num("give_up_after_us", 0) // no time-out beside the request's deadline
	})
}

// BusyReply is a final answer: trying again is harmless.
func (h *host) Reject(c *policy.Request, pause time.Duration) {
	h.act("push_back", func() {
		h.num("rid", c.ID)
		h.num("pause_us", pause.Microseconds())
	})
	h.close(c.ID, h.commands[c.ID], true)
}

// Abort is a final answer that promises nothing.
func (h *host) Fail(c *policy.Request) {
	h.act("drop_request", func() { h.num("rid", c.ID) })
	h.close(c.ID, h.commands[c.ID], true)
}

// Cancel stops waiting for a dispatch.
func (h *host) Cancel(d *policy.Attempt) {
	h.act("drop_attempt", func() {
		h.num("rid", d.Request.ID)
		h.num("n", int64(d.Number))
	})
}

// After calls f in the first batch at or past that time.
func (h *host) After(wait time.Duration, f func()) {
	h.timer++
	h.timers[h.timer] = f
	us := max((wait + time.Microsecond - 1).Microseconds(), 0)
	h.act("remind", func() {
		h.num("after_us", us)
		h.str("cookie", strconv.FormatInt(h.timer, 10))
	})
}

// RequestEndpointList asks for changes of the list.
func (h *host) RequestEndpointList() {
	h.act("tail", func() { h.do = append(h.do, `,"enable":true`...) })
}

// Probe checks a brick.
func (h *host) CheckHealth(b *policy.Endpoint) { h.act("inspect", func() { h.str("brick", b.Name) }) }

// allGateways is the wire's number for a message to every other gateway.
const allGateways = -1

// SendGossip sends a short message to every other gateway.
func (h *host) SendGossip(message []byte) {
	h.act("memo_to", func() {
		h.num("neighbour_id", allGateways)
		h.str("data", base64.StdEncoding.EncodeToString(message))
	})
}

// Log adds a line to the report.
func (h *host) Log(line string) { h.act("debug", func() { h.str("line", line) }) }

func base64Of(v *fastjson.Value, name string) ([]byte, error) {
	s, err := text(v, name)
	if err != nil {
		return nil, err
	}
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, fmt.Errorf("%s is not base64", name)
	}
	return b, nil
}
