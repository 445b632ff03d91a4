package audit

import (
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Rule 4: all gateways together do not overload an endpoint in slow start. An overload is a violation if at least two thirds of the
// work came from gateways that had been notified of the endpoint's start.

const (
	// Share of the work that notified gateways must have sent for an overload to be a violation.
	notifiedNumerator, notifiedDenominator = 2, 3
	// traceLength is the number of last observations that a violation shows.
	traceLength = 12
)

// arrival is work that reached an endpoint in slow start.
type arrival struct {
	seen     *pb.Seen
	notified bool // its gateway had been notified of the start
}

func (a *auditor) judgeSlowStart() {
	window := settings.Duration(a.header.Fleet.FallAfter, 0)
	starts, recent := map[string]*pb.Seen{}, map[string][]arrival{}
	for _, s := range a.seen {
		switch s.What {
		case pb.Seen_BRICK_UP:
			starts[s.Brick], recent[s.Brick] = s, nil
		case pb.Seen_REACHED:
			start := starts[s.Brick]
			if start == nil || start.ColdFor == 0 || window == 0 || at(s)-at(start) >= time.Duration(start.ColdFor) {
				continue
			}
			arrivals := slices.DeleteFunc(recent[s.Brick], func(earlier arrival) bool { return at(earlier.seen) <= at(s)-window })
			recent[s.Brick] = append(arrivals, arrival{s, a.notifiedOfStart(s, start)})
			a.judgeArrivals(recent[s.Brick], start, s, window)
		}
	}
}

// notifiedOfStart reports whether the gateway that sent an attempt had been notified of the endpoint's start.
func (a *auditor) notifiedOfStart(reached, start *pb.Seen) bool {
	r := a.byID[reached.Command]
	if r == nil {
		return false
	}
	return slices.ContainsFunc(a.listings[r.gateway][reached.Brick], func(l listing) bool {
		return l.startKnown && l.at <= at(reached) && l.startedAt >= at(start)-a.observationTolerance
	})
}

// judgeArrivals checks the work that reached an endpoint within the window before an observation against the endpoint's capacity at
// that time.
func (a *auditor) judgeArrivals(arrivals []arrival, start, now *pb.Seen, window time.Duration) {
	work, notified := 0.0, 0.0
	for _, x := range arrivals {
		work += x.seen.Work
		if x.notified {
			notified += x.seen.Work
		}
	}
	age := at(now) - at(start)
	multiple := a.header.Fleet.FallMultiple
	capacity := start.Capacity * (start.ColdFrom + (1-start.ColdFrom)*age.Seconds()/time.Duration(start.ColdFor).Seconds())
	overload := multiple * capacity * window.Seconds()
	a.pressure = max(a.pressure, work/overload)
	if work <= overload || notified < work*notifiedNumerator/notifiedDenominator {
		return
	}
	var trace []*pb.Seen
	for _, x := range arrivals[max(0, len(arrivals)-traceLength):] {
		trace = append(trace, x.seen)
	}
	a.violation(ruleSlowStart, at(now), trace, "%s, in slow start for %v, was sent %.3f s of work within %v; it can do %.3f", now.Brick, age,
		work, window, capacity*window.Seconds())
}
