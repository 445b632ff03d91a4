package policy

import (
	"math"
	"slices"
	"time"
)

// Slow start: an endpoint that has just started breaks down when it is sent much more than it can do, by all gateways together,
// within the overload window. Each gateway keeps what it has in flight there to its share of a budget that starts low and rises
// as the endpoint warms up, or to a part of what the endpoint has served within the window, if that is more.

// slowStartBudget is the budget by settings and the number of gateways.
type slowStartBudget struct {
	duration   time.Duration // from an endpoint's start until it is warm
	window     time.Duration // in which overload counts
	fleetUnits float64       // that an endpoint bears from all gateways right after its start
	units      float64       // this gateway's share of them
	growth     float64       // of the share over the duration: a warm endpoint bears 1+growth times as much
	perServed  float64       // units in flight for each unit served within the window
}

// minSlowStartShare keeps growth finite where settings give no share.
const minSlowStartShare = 0.01

func newSlowStartBudget(settings Settings) slowStartBudget {
	overload := math.Max(settings.OverloadFactor-1, 0)
	return slowStartBudget{
		duration:   settings.SlowStartTime,
		window:     settings.OverloadWindow,
		fleetUnits: settings.SlowStartUnits * overload / math.Max(settings.OverloadFactor, 1),
		growth:     1/math.Max(settings.SlowStartShare, minSlowStartShare) - 1,
		perServed:  overload / 2,
	}
}

// split sets this gateway's share; with no share nothing goes to a warming endpoint.
func (b *slowStartBudget) split(shares int) {
	b.units = 0
	if shares > 0 {
		b.units = b.fleetUnits / float64(shares)
	}
}

// warming tells whether an endpoint is in slow start.
func (b *slowStartBudget) warming(e *Endpoint, now time.Duration) bool {
	return e.startedAt > 0 && now-e.startedAt < b.duration
}

// slowStartAllowance is how many units an endpoint may still take from this gateway; without limit once it is warm.
func (s *Scheduler) slowStartAllowance(e *Endpoint, now time.Duration) float64 {
	budget := &s.slowStart
	if !budget.warming(e, now) {
		e.slowStartAttempts = nil
		return math.Inf(1)
	}
	e.slowStartAttempts = slices.DeleteFunc(e.slowStartAttempts, func(attempt *Attempt) bool {
		return attempt.ended && attempt.sentAt <= now-budget.window
	})
	if e.startedAt <= s.startedAt && now < s.startedAt+budget.window {
		return 0 // a gateway that has just started can't know what it sent before its start: its share may be in flight
	}
	inFlight, served := 0.0, 0.0
	for _, attempt := range e.slowStartAttempts {
		if attempt.served {
			served += attempt.Request.units
		} else { // a failure is no proof that its work is done
			inFlight += attempt.Request.units
		}
	}
	warmUpProgress := (now - e.startedAt).Seconds() / budget.duration.Seconds()
	return math.Max(budget.units*(1+budget.growth*warmUpProgress), budget.perServed*served) - inFlight
}
