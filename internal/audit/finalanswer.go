package audit

import (
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Rule 1: each request that a gateway received gets exactly one final answer in time, nothing is sent for it afterwards, and an
// answer is not held back. A gateway that was killed, or a client that left, ends what is owed.

// holdBackTolerances is how many observation tolerances an answer may take from the endpoint's writing to the client's reading.
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

// judgeAnswerCount looks for an answer that is missing, late or one too many.
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

// endedWithGateway tells whether a connection ended because its gateway was killed, or was asked to stop before the request came.
func (a *auditor) endedWithGateway(r *request, end, down *pb.Seen) bool {
	if down == nil || at(down) > at(end)+a.observationTolerance {
		return false
	}
	return down.How != "stopping" || at(r.sent) >= at(down)-a.observationTolerance
}

// judgeAfterEnd looks for attempts that began after the request was over.
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

// judgeHeldBack looks for answers that an endpoint gave long before the client got one.
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
