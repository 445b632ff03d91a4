package audit

import (
	"math"
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Rule 5: at each gateway, requests of an ordered class that have the same key run one at a time, in the order in which the gateway
// received them. After an attempt that may still be running, the next request with the key waits for a cooldown.

// orderKey identifies a sequence of ordered requests: those with one key at one gateway.
type orderKey struct {
	gateway gateway
	object  string
}

// maxPredecessors is the number of preceding requests with the same key that a request is checked against.
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

// judgeOrder checks an attempt of a request against a request with the same key that the gateway received earlier.
func (a *auditor) judgeOrder(before, r *request, t *attempt) {
	now, end := at(t.reached), before.end()
	trace := append(slices.Clone(before.trace), r.trace...)
	served := false // the endpoint's answer ends a request before its client has read it
	for _, other := range before.attempts {
		if at(other.reached) > now {
			if at(other.reached) > now+a.observationTolerance {
				a.violation(ruleOrdering, now, trace, "request %d ran before request %d, which was received earlier with the same key",
					r.sent.Command, before.sent.Command)
			}
			continue
		}
		served = served || other.answered != nil && other.answered.How == statusServed && at(other.answered) <= now
		a.judgeCooldown(before, r, other, now, end, trace)
	}
	if !served && now < end-a.observationTolerance {
		a.violation(ruleOrdering, now, trace, "request %d was sent before request %d, received earlier with the same key, had ended",
			r.sent.Command, before.sent.Command)
	}
}

// judgeCooldown checks that the cooldown after an attempt of the earlier request was kept.
func (a *auditor) judgeCooldown(before, r *request, other *attempt, now, end time.Duration, trace []*pb.Seen) {
	cooldown := settings.Duration(a.header.Fleet.KeyRest, 0)
	switch {
	case other.answered != nil && at(other.answered) <= now:
	case other.ended != nil && now < at(other.ended)+cooldown-a.observationTolerance:
		a.violation(ruleOrdering, now, trace, "request %d was sent within the cooldown of its key after request %d", r.sent.Command, before.sent.Command)
	case other.ended == nil && now < end+cooldown-a.observationTolerance:
		a.violation(ruleOrdering, now, trace, "request %d was sent while an attempt of request %d with the same key had no outcome", r.sent.Command, before.sent.Command)
	}
}

// end returns the time at which a request ended for the next request with its key.
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
