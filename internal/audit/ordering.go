package audit

import (
	"math"
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Rule 5: requests of an ordered class with one key run one at a time at each gateway, in the order in which it received them, and
// the key rests after an attempt that may still run.

// orderKey is what is ordered: one key at one gateway.
type orderKey struct {
	gateway gateway
	object  string
}

// maxPredecessors is how many of the last requests with a key a request is held against.
const maxPredecessors = 16

func (a *auditor) judgeOrdering() {
	earlier := map[orderKey][]*request{}
	for _, r := range a.requests {
		if !r.class.InOrder || r.sent.Object == "" || !r.received() {
			continue
		}
		key := orderKey{r.gateway, r.sent.Object}
		for _, before := range earlier[key] {
			for _, t := range r.attempts {
				a.judgeOrder(before, r, t)
			}
		}
		earlier[key] = append(earlier[key], r)
		if n := len(earlier[key]); n > maxPredecessors {
			earlier[key] = earlier[key][n-maxPredecessors:]
		}
	}
}

// judgeOrder judges an attempt of a request against a request with the same key that was received before.
func (a *auditor) judgeOrder(before, r *request, t *attempt) {
	now, end := at(t.reached), before.end()
	trace := append(slices.Clone(before.trace), r.trace...)
	served := false // what is served at the endpoint ends a request before its client has read the answer
	for _, other := range before.attempts {
		if at(other.reached) > now {
			if at(other.reached) > now+a.observationTolerance {
				a.violation(ruleOrdering, now, trace, "request %d ran before %d, which was received earlier with the same key",
					r.sent.Command, before.sent.Command)
			}
			continue
		}
		served = served || other.answered != nil && other.answered.How == statusServed && at(other.answered) <= now
		a.judgeCooldown(before, r, other, now, end, trace)
	}
	if !served && now < end-a.observationTolerance {
		a.violation(ruleOrdering, now, trace, "request %d was sent before %d, received earlier with the same key, was over",
			r.sent.Command, before.sent.Command)
	}
}

// judgeCooldown judges whether a key had to rest after an attempt of the request before.
func (a *auditor) judgeCooldown(before, r *request, other *attempt, now, end time.Duration, trace []*pb.Seen) {
	rest := settings.Duration(a.header.Fleet.KeyRest, 0)
	switch {
	case other.answered != nil && at(other.answered) <= now:
	case other.ended != nil && now < at(other.ended)+rest-a.observationTolerance:
		a.violation(ruleOrdering, now, trace, "request %d was sent while the key of %d had to rest", r.sent.Command, before.sent.Command)
	case other.ended == nil && now < end+rest-a.observationTolerance:
		a.violation(ruleOrdering, now, trace, "request %d was sent while an attempt of %d had no outcome", r.sent.Command, before.sent.Command)
	}
}

// end is when a request was over, for whoever waits behind it.
func (r *request) end() time.Duration {
	switch {
	case len(r.ends) > 0:
		return at(r.ends[0])
	case r.disconnected != nil:
		return at(r.disconnected)
	default:
		return math.MaxInt64
	}
}
