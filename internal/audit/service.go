package audit

import (
	"cmp"
	"slices"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Totals counts the requests that clients sent, by outcome, and the attempts that reached endpoints.
type Totals struct {
	Sent        int `json:"Asked"`
	Received    int `json:"Taken"` // by a running gateway
	Served      int `json:"Completed"`
	Rejected    int `json:"BusyReplied"`
	Failed      int `json:"Aborted"`
	Late        int // answered after the client's timeout, with any status
	Unanswered  int // the client or the gateway disconnected first
	NotReceived int `json:"Unreached"` // no gateway was running
	Attempts    int `json:"Dispatches"`
	Retries     int `json:"Further"`
}

// Service is the service for the requests of a plan and request class. A client's retries count as part of its first request.
type Service struct {
	Plan        string
	Class       string  `json:"QueueType"`
	ValueDue    float64 `json:"Due"` // value of all requests: priority weights times units
	ValueServed float64 `json:"Got"` // value of the served requests, reduced for late ones
	InTime      int
	Requests    int `json:"Wants"`
}

// Share returns the value served as a share of the value due, or 0 if no value was due.
func (s Service) Share() float64 {
	if s.ValueDue == 0 {
		return 0
	}
	return s.ValueServed / s.ValueDue
}

// Total returns the service of all plans and request classes together.
func (v *Verdict) Total() Service {
	total := Service{Plan: "all", Class: "all"}
	for _, s := range v.Service {
		total.ValueDue += s.ValueDue
		total.ValueServed += s.ValueServed
		total.InTime += s.InTime
		total.Requests += s.Requests
	}
	return total
}

// serviceKey is the plan and request class by which requests are grouped.
type serviceKey struct{ plan, class uint32 }

// minPlanWeight is the least priority weight of a plan, so that a plan without one still counts.
const minPlanWeight = 1e-9

// measureService sets the verdict's totals and the service of each plan and class.
func (a *auditor) measureService() {
	firsts := map[uint64]*request{} // by the ID of the client's first request
	served := map[uint64]float64{}  // highest value of an answer to a request or its retries: 1 in time, less if late
	for _, r := range a.requests {
		a.countRequest(r)
		first := firsts[r.sent.First]
		if first == nil {
			first = r
			firsts[r.sent.First] = r
		}
		if value, ok := r.servedValue(first); ok {
			served[r.sent.First] = max(served[r.sent.First], value)
		}
	}
	byKey := map[serviceKey]*Service{}
	for id, first := range firsts {
		a.addService(byKey, first, served[id])
	}
	for _, s := range byKey {
		a.verdict.Service = append(a.verdict.Service, *s)
	}
	slices.SortFunc(a.verdict.Service, func(x, y Service) int {
		return cmp.Or(cmp.Compare(x.Plan, y.Plan), cmp.Compare(x.Class, y.Class))
	})
}

func (a *auditor) addService(byKey map[serviceKey]*Service, first *request, served float64) {
	key := serviceKey{first.sent.Plan, first.sent.QueueType}
	s := byKey[key]
	if s == nil {
		s = &Service{Plan: a.header.Plan[key.plan].Name, Class: first.class.Name}
		byKey[key] = s
	}
	value := first.class.Importance * max(a.header.Plan[key.plan].Importance, minPlanWeight) * first.sent.Units
	s.ValueDue += value
	s.ValueServed += value * served
	s.Requests++
	if served == 1 {
		s.InTime++
	}
}

// countRequest adds a request and its attempts to the totals.
func (a *auditor) countRequest(r *request) {
	n := &a.verdict.Totals
	n.Sent++
	if r.received() {
		n.Received++
	} else {
		n.NotReceived++
	}
	n.Attempts += len(r.attempts)
	n.Retries += max(len(r.attempts)-1, 0)
	answer := r.answer()
	switch {
	case answer == nil:
		if r.received() {
			n.Unanswered++
		}
	case at(answer) > r.deadline():
		n.Late++
	case answer.How == statusServed:
		n.Served++
	case answer.How == statusRejected:
		n.Rejected++
	default:
		n.Failed++
	}
}

// answer returns the answer that ended a request, or nil if it ended without one.
func (r *request) answer() *pb.Seen {
	if len(r.ends) == 0 || r.ends[0].What != pb.Seen_ANSWERED {
		return nil
	}
	return r.ends[0]
}

// servedValue returns the value of a request's answer: 1 within the latency objective, counted from the client's first request, and
// the class's late share afterwards. ok is false if the request was not served before its timeout.
func (r *request) servedValue(first *request) (value float64, ok bool) {
	answer := r.answer()
	if answer == nil || answer.How != statusServed || at(answer) > r.deadline() {
		return 0, false
	}
	if at(answer) <= at(first.sent)+settings.Duration(r.class.ServiceTarget, 0) {
		return 1, true
	}
	return r.class.LateShare, true
}
