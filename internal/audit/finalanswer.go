package audit

import (
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Rule 1: each request that a gateway received gets exactly one final answer in time. No attempt is sent after the answer, and the
// gateway passes an endpoint's answer on without delay. The rule does not apply once the gateway was killed or the client left.

// holdBackTolerances limits the time from an endpoint's answer to the client's reading it, in observation tolerances.
const holdBackTolerances = 5

func (a *auditor) judgeFinalAnswer(r *request) {
	if !r.received() {
		return
	}
	due := r.deadline() + settings.Duration(a.header.Fleet.AnswerSlack, 0)
	a.judgeAnswerCount(r, due)
	a.judgeAfterEnd(r, due)
	a.judgeHeldBack(r)
}

// judgeAnswerCount checks that a request got exactly one answer and got it in time.
func (a *auditor) judgeAnswerCount(r *request, due time.Duration) {
	answers := 0
	for _, end := range r.ends {
		if end.What == pb.Seen_ANSWERED {
			answers++
		}
	}
	if answers > 1 {
		a.violation(ruleFinalAnswer, at(r.ends[1]), r.trace, "request %d got %d final answers", r.sent.Command, answers)
		return
	}
	down := a.gatewaysDown[r.gateway]
	if len(r.ends) == 0 {
		if down == nil || at(down) > due+a.observationTolerance {
			a.violation(ruleFinalAnswer, due, r.trace, "request %d got no final answer", r.sent.Command)
		}
		return
	}
	first := r.ends[0]
	if answers == 1 {
		if first.What == pb.Seen_ANSWERED && at(first) > due+a.observationTolerance {
			a.violation(ruleFinalAnswer, at(first), r.trace, "the answer of request %d came %v after its timeout", r.sent.Command, at(first)-due)
		}
		return
	}
	if first.How != "client" && !a.endedWithGateway(r, first, down) && at(first) <= due {
		a.violation(ruleFinalAnswer, at(first), r.trace, "request %d: its gateway ended the connection without an answer", r.sent.Command)
	}
}

// endedWithGateway reports whether a connection ended because its gateway was killed, or was told to stop before the request was sent.
func (a *auditor) endedWithGateway(r *request, end, down *pb.Seen) bool {
	if down == nil || at(down) > at(end)+a.observationTolerance {
		return false
	}
	return down.How != "stopping" || at(r.sent) >= at(down)-a.observationTolerance
}

// judgeAfterEnd checks that no attempt reached an endpoint after the request had ended.
func (a *auditor) judgeAfterEnd(r *request, due time.Duration) {
	end := due
	if len(r.ends) > 0 && r.ends[0].What == pb.Seen_ANSWERED {
		end = min(end, at(r.ends[0]))
	}
	for _, t := range r.attempts {
		if at(t.reached) > end+a.observationTolerance {
			a.violation(ruleFinalAnswer, at(t.reached), r.trace, "request %d was sent to %s %v after its end", r.sent.Command,
				t.reached.Brick, at(t.reached)-end)
		}
	}
}

// judgeHeldBack checks that the client got an endpoint's answer without delay.
func (a *auditor) judgeHeldBack(r *request) {
	if len(r.ends) == 0 || r.ends[0].What != pb.Seen_ANSWERED {
		return
	}
	answer := r.ends[0]
	for _, t := range r.attempts {
		if t.answered == nil || t.resetAfterAnswer || t.answered.How != statusServed {
			continue
		}
		if at(answer) > at(t.answered)+holdBackTolerances*a.observationTolerance {
			a.violation(ruleFinalAnswer, at(answer), r.trace, "the answer of request %d was held back for %v", r.sent.Command,
				at(answer)-at(t.answered))
		}
	}
}
