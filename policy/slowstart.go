package policy

import (
	"math"
	"slices"
	"time"
)

// Slow start: a recently started endpoint breaks down if all gateways together send much more than its capacity within the overload
// window. Each gateway therefore limits its units in flight there to its share of a budget that rises as the endpoint warms up, or
// to a fraction of the units that the endpoint served within the window, whichever is more.

// slowStartBudget holds the parameters of the budget and this gateway's share.
type slowStartBudget struct {
	duration   time.Duration // time from an endpoint's start until it is warm
	window     time.Duration // sliding window in which overload counts
	fleetUnits float64       // units that all gateways together may have in flight right after an endpoint's start
	units      float64       // this gateway's share of fleetUnits
	growth     float64       // relative growth of the share over duration: a warm endpoint takes 1+growth times as much
	perServed  float64       // units in flight allowed per unit served within the window
}

// minSlowStartShare keeps growth finite if the settings have no share.
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

// split sets this gateway's share of the budget; with 0 shares it sends nothing to a warming endpoint.
func (b *slowStartBudget) split(shares int) {
	b.units = 0
	if shares > 0 {
		b.units = b.fleetUnits / float64(shares)
	}
}

// warming reports whether an endpoint is in slow start.
func (b *slowStartBudget) warming(e *Endpoint, now time.Duration) bool {
	return e.startedAt > 0 && now-e.startedAt < b.duration
}

// slowStartAllowance returns the units that an endpoint may still take from this gateway; infinite once it is warm.
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
		return 0 // attempts from before the gateway's restart may still use its share of the budget
	}
	inFlight, served := 0.0, 0.0
	for _, attempt := range e.slowStartAttempts {
		if attempt.served {
			served += attempt.Request.units
		} else { // a failed attempt may still be running
			inFlight += attempt.Request.units
		}
	}
	warmUpProgress := (now - e.startedAt).Seconds() / budget.duration.Seconds()
	return math.Max(budget.units*(1+budget.growth*warmUpProgress), budget.perServed*served) - inFlight
}
