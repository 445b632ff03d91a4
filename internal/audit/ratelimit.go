package audit

import (
	"time"

	"weirhaven/internal/pb"
)

// Rule 7: all gateways together keep each volume within its plan's rate limit, a token bucket that may be overdrawn by the plan's slack.

// bucket is the token bucket of a volume for all gateways together.
type bucket struct {
	level  float64
	at     time.Duration
	recent []*pb.Seen
}

// rounding is the tolerance for floating-point errors, in units.
const rounding = 1e-9

func (a *auditor) judgeRateLimits() {
	buckets, charged := map[string]*bucket{}, map[uint64]bool{}
	for _, s := range a.seen {
		r := a.byID[s.Command]
		if s.What != pb.Seen_REACHED || r == nil || charged[s.Command] || int(r.sent.Plan) >= len(a.header.Plan) {
			continue
		}
		charged[s.Command] = true
		plan := a.header.Plan[r.sent.Plan]
		if plan.Limit <= 0 {
			continue
		}
		b := buckets[r.sent.Volume]
		if b == nil {
			b = &bucket{level: plan.Depth}
			buckets[r.sent.Volume] = b
		}
		b.charge(plan, r.sent.Units, s)
		if b.level < -plan.Slack-plan.Limit*a.observationTolerance.Seconds()-rounding {
			a.violation(ruleRateLimit, at(s), b.recent, "volume %s: its bucket is at %.2f units, %.2f below its slack", r.sent.Volume, b.level,
				-plan.Slack-b.level)
		}
	}
}

// charge refills the bucket up to the observation's time and takes a request's units from it.
func (b *bucket) charge(plan *pb.Plan, units float64, s *pb.Seen) {
	b.level = min(plan.Depth, b.level+plan.Limit*(at(s)-b.at).Seconds()) - units
	b.at = at(s)
	b.recent = append(b.recent, s)
	if len(b.recent) > traceLength {
		b.recent = b.recent[1:]
	}
}
