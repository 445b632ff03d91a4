package audit

import (
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Rule 6: within a window, a gateway makes no more retries than the retry budget allows for the requests that it received.

func (a *auditor) judgeRetryBudget() {
	budget := a.header.Fleet.Budget
	if budget == nil {
		return
	}
	window := settings.Duration(budget.Span, 0)
	received, retries := map[gateway][]*pb.Seen{}, map[gateway][]*pb.Seen{}
	for _, s := range a.seen {
		r := a.byID[s.Command]
		switch {
		case r == nil:
		case s.What == pb.Seen_ASKED && s.How == "":
			received[r.gateway] = append(received[r.gateway], s)
		case s.What == pb.Seen_REACHED && s.Dispatch > 0:
			inWindow := since(append(retries[r.gateway], s), at(s)-window+a.observationTolerance)
			earned := since(received[r.gateway], at(s)-window-a.observationTolerance)
			retries[r.gateway], received[r.gateway] = inWindow, earned
			allowed := budget.Free + budget.Share*float64(len(earned))
			if float64(len(inWindow)) > allowed {
				a.violation(ruleRetryBudget, at(s), inWindow[max(0, len(inWindow)-traceLength):],
					"gateway %d made %d retries within %v, for %d requests received; %.1f are allowed",
					r.gateway.number, len(inWindow), window, len(earned), allowed)
			}
		}
	}
}

// since returns the observations from a given time on.
func since(seen []*pb.Seen, start time.Duration) []*pb.Seen {
	for len(seen) > 0 && at(seen[0]) < start {
		seen = seen[1:]
	}
	return seen
}
