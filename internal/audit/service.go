package audit

import (
	"cmp"
	"slices"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Totals count the requests that clients sent, by their end, and the attempts that reached endpoints.
type Totals struct {
	Sent        int `json:"Asked"`
	Received    int `json:"Taken"` // by a gateway that was there
	Served      int `json:"Completed"`
	Rejected    int `json:"BusyReplied"`
	Failed      int `json:"Aborted"`
	Late        int // answered after the client's timeout, whatever the answer
	Unanswered  int // the client or the gateway went away
	NotReceived int `json:"Unreached"` // no gateway was there
	Attempts    int `json:"Dispatches"`
	Retries     int `json:"Further"`
}

// Service is what the clients of a plan and request class got. A client's retries count with its first request.
type Service struct {
	Plan        string
	Class       string  `json:"QueueType"`
	ValueDue    float64 `json:"Due"` // priority weights of all requests
	ValueServed float64 `json:"Got"` // of what was served, less where it was late
	InTime      int
	Requests    int `json:"Wants"`
}

// Share is the value served as a part of the value due; 0 where nothing was due.
func (s Service) Share() float64 {
	if s.ValueDue == 0 {
		return 0
	}
	return s.ValueServed / s.ValueDue
}

// Total is the service of all plans and request classes together.
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

// serviceKey is the key by which service is grouped.
type serviceKey struct{ plan, class uint32 }

// minPlanWeight keeps plans without a weight from counting nothing.
const minPlanWeight = 1e-9

// measureService counts requests and sets the service of each plan and class.
func (a *auditor) measureService() {
	firsts := map[uint64]*request{} // by the first request of a client's retries
	served := map[uint64]float64{}  // the best answer among them: 1 in time, less if late
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
	byKind := map[serviceKey]*Service{}
	for id, first := range firsts {
		a.addService(byKind, first, served[id])
	}
	for _, s := range byKind {
		a.verdict.Service = append(a.verdict.Service, *s)
	}
	slices.SortFunc(a.verdict.Service, func(x, y Service) int {
		return cmp.Or(cmp.Compare(x.Plan, y.Plan), cmp.Compare(x.Class, y.Class))
	})
}

func (a *auditor) addService(byKind map[serviceKey]*Service, first *request, served float64) {
	kind := serviceKey{first.sent.Plan, first.sent.QueueType}
	s := byKind[kind]
	if s == nil {
		s = &Service{Plan: a.header.Plan[kind.plan].Name, Class: first.class.Name}
		byKind[kind] = s
	}
	value := first.class.Importance * max(a.header.Plan[kind.plan].Importance, minPlanWeight) * first.sent.Units
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

// answer is what ended a request, where that was an answer.
func (r *request) answer() *pb.Seen {
	if len(r.ends) == 0 || r.ends[0].What != pb.Seen_ANSWERED {
		return nil
	}
	return r.ends[0]
}

// servedValue is what a request's answer is worth, 1 within the latency objective of the client's first request; ok is false where
// it was not served before its timeout.
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
