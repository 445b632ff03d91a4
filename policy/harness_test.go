package policy

import (
	"fmt"
	"sort"
	"time"
)

const millisecond = time.Millisecond

// harness is a Runtime that prints the scheduler's calls and keeps its timers.
type harness struct {
	now       time.Duration
	scheduler *Scheduler
	sent      []*Attempt
	timers    []timer
	quiet     bool
	volumes   map[string]*Volume
	endpoints map[string]*Endpoint
	lastID    int64
}

type timer struct {
	at       time.Duration
	sequence int
	f        func()
}

func (h *harness) Now() time.Duration { return h.now }
func (h *harness) Send(attempt *Attempt) {
	h.sent = append(h.sent, attempt)
	h.printf("send %d.%d to %s", attempt.Request.ID, attempt.Number, attempt.Endpoint.Name)
}
func (h *harness) Reject(request *Request, retryAfter time.Duration) {
	h.printf("reject %d, retry after %v", request.ID, retryAfter.Round(millisecond))
}
func (h *harness) Fail(request *Request) { h.printf("fail %d", request.ID) }
func (h *harness) Cancel(attempt *Attempt) {
	h.printf("cancel %d.%d", attempt.Request.ID, attempt.Number)
}
func (h *harness) After(wait time.Duration, f func()) {
	h.timers = append(h.timers, timer{h.now + wait, len(h.timers), f})
}
func (h *harness) RequestEndpointList()           { h.printf("request endpoint list") }
func (h *harness) CheckHealth(endpoint *Endpoint) { h.printf("check health of %s", endpoint.Name) }
func (h *harness) SendGossip(message []byte)      { h.printf("gossip %q", message) }
func (h *harness) Log(line string)                { h.printf("log: %s", line) }

func (h *harness) printf(format string, args ...any) {
	if !h.quiet {
		fmt.Printf("%5dms %s\n", h.now/millisecond, fmt.Sprintf(format, args...))
	}
}

// smallSettings is a small deployment: two gateways, a plan with a reservation, one without, one with a limit.
func smallSettings() Settings {
	return Settings{Seed: 1, Gateways: 2, CanCancel: true, MaxAttempts: 4, TimerResolution: 2 * millisecond, MaxListAge: 10 * time.Second,
		SlowStartShare: 0.2, SlowStartTime: 10 * time.Second, SlowStartUnits: 8, OverloadFactor: 2, OverloadWindow: time.Second, TypicalUnits: 2,
		DrainGrace: 250 * millisecond, MaxRetryAfter: time.Second, OrderingCooldown: 300 * millisecond,
		Classes: []RequestClass{
			{Name: "read", LatencyObjective: 200 * millisecond, Timeout: time.Second, PriorityWeight: 1, Idempotency: Idempotent},
			{Name: "tag", LatencyObjective: 200 * millisecond, Timeout: time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey,
				IdempotencyScope: "cell", IdempotencyWindow: 500 * millisecond},
			{Name: "once", LatencyObjective: 200 * millisecond, Timeout: time.Second, PriorityWeight: 1, Idempotency: NotIdempotent},
			{Name: "row", LatencyObjective: 500 * millisecond, Timeout: time.Second, PriorityWeight: 1, Idempotency: Idempotent,
				Ordered: true}},
		Plans: []ServicePlan{{Name: "gold", NominalRate: 10, Reservation: 10, Weight: 3},
			{Name: "plain", NominalRate: 10, Weight: 1},
			{Name: "capped", NominalRate: 2, Limit: 8, Burst: 32, InitialBurst: 4, Weight: 1}}}
}

func startScheduler(settings Settings, names ...string) *harness {
	return startSchedulerAt(0, settings, names...)
}

func startSchedulerAt(now time.Duration, settings Settings, names ...string) *harness {
	h := &harness{now: now, volumes: map[string]*Volume{}, endpoints: map[string]*Endpoint{}}
	h.scheduler = New(h, settings)
	h.scheduler.BeginEndpointList(true)
	for i, n := range names {
		h.update(n, i, true, 0)
	}
	h.scheduler.EndEndpointList()
	return h
}

func (h *harness) update(name string, shard int, serving bool, startedAt time.Duration) {
	if h.endpoints[name] == nil {
		h.endpoints[name] = &Endpoint{Name: name}
	}
	h.scheduler.UpdateEndpoint(h.endpoints[name], EndpointUpdate{Zone: "hall", Shard: shard, Serving: serving, StartedAt: startedAt})
}

func (h *harness) receive(class, plan, object string, shard int, units float64) *Request {
	h.lastID++
	volume := h.volumes[plan+object]
	if volume == nil {
		volume = &Volume{}
		h.volumes[plan+object] = volume
	}
	request := &Request{ID: h.lastID, Volume: volume}
	if err := h.scheduler.RequestReceived(request, RequestArrival{Class: class, Plan: plan, Object: object, Shard: shard, Gateways: 2, Units: units, Deadline: h.now + time.Second}); err != nil {
		h.printf("error: %v", err)
	}
	return request
}

// endOldestAttempt ends the oldest attempt in flight with an outcome.
func (h *harness) endOldestAttempt(outcome Outcome, over bool) {
	attempt := h.sent[0]
	h.sent = h.sent[1:]
	h.scheduler.AttemptEnded(attempt, AttemptResult{Outcome: outcome, Duration: h.now - attempt.sentAt, RequestOver: over})
}

func (h *harness) advance(d time.Duration) {
	for until := h.now + d; ; {
		sort.Slice(h.timers, func(i, j int) bool {
			x, y := h.timers[i], h.timers[j]
			return x.at < y.at || x.at == y.at && x.sequence < y.sequence
		})
		if len(h.timers) == 0 || h.timers[0].at > until {
			h.now = until
			return
		}
		t := h.timers[0]
		h.timers = h.timers[1:]
		h.now = max(h.now, t.at)
		t.f()
	}
}
