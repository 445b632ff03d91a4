package audit

import (
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Rule 2: no request takes effect twice. A rejection tells the client that a retry is safe, so no request may be rejected that may
// have run, unless running it again is harmless.

func (a *auditor) judgeEffects(r *request) {
	for i, t := range r.attempts {
		for _, earlier := range r.attempts[:i] {
			a.judgeRetry(r, earlier, t)
		}
	}
	a.judgeRejection(r)
	a.judgeChanges(r)
}

// judgeRetry checks an attempt against an earlier attempt of the same request.
func (a *auditor) judgeRetry(r *request, earlier, t *attempt) {
	now := at(t.reached)
	over := earlier.answered != nil && at(earlier.answered) <= now || earlier.ended != nil && at(earlier.ended) <= now+a.observationTolerance
	if !over && !a.header.Fleet.SecondCopies {
		a.violation(ruleEffectOnce, now, r.trace, "request %d: two attempts in flight at once", r.sent.Command)
	}
	if !earlier.mayHaveRun(now) {
		return
	}
	switch r.class.Semantics {
	case pb.Semantics_NON_RETRYABLE:
		a.violation(ruleEffectOnce, now, r.trace, "request %d, which is not idempotent, was sent again though it may have run", r.sent.Command)
	case pb.Semantics_TAGGED:
		if a.keyUnknown(r.class, earlier, t, now) {
			a.violation(ruleEffectOnce, now, r.trace, "request %d was sent again where its idempotency key is not known", r.sent.Command)
		}
	}
}

// keyUnknown reports whether the endpoint of an attempt can't know the idempotency key of an earlier attempt.
func (a *auditor) keyUnknown(class *pb.QueueType, earlier, t *attempt, now time.Duration) bool {
	switch {
	case class.Group == pb.Group_ZONE && earlier.reached.Zone != t.reached.Zone:
		return true
	case class.Group == pb.Group_CELL && earlier.reached.Cell != t.reached.Cell:
		return true
	default:
		return now > at(earlier.reached)+settings.Duration(class.TagWindow, 0)+a.observationTolerance
	}
}

// judgeRejection checks that a request was not rejected after an attempt that may have run.
func (a *auditor) judgeRejection(r *request) {
	harmless := r.class.Semantics == pb.Semantics_RETRYABLE || r.class.Semantics == pb.Semantics_TAGGED && r.class.Group == pb.Group_ALL
	if harmless {
		return
	}
	for _, end := range r.ends {
		if end.What != pb.Seen_ANSWERED || end.How != statusRejected {
			continue
		}
		for _, t := range r.attempts {
			if at(t.reached) < at(end) && t.mayHaveRun(at(end)) {
				a.violation(ruleEffectOnce, at(end), r.trace, "request %d was rejected though it may have run", r.sent.Command)
			}
		}
	}
}

// judgeChanges checks that endpoints changed data at most once for a request that is not idempotent.
func (a *auditor) judgeChanges(r *request) {
	if r.class.Semantics != pb.Semantics_NON_RETRYABLE {
		return
	}
	changes := 0
	for _, s := range r.trace {
		if s.What == pb.Seen_EFFECT {
			changes++
		}
	}
	if changes > 1 {
		a.violation(ruleEffectOnce, at(r.sent), r.trace, "request %d, which is not idempotent, changed data %d times", r.sent.Command, changes)
	}
}
