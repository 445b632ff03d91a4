package bounds

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Kind is the kind of resource that a limit applies to. Its text appears in answer.json and in the printed report.
type Kind string

// The kinds of limit.
const (
	KindFleet         Kind = "fleet"      // work of all endpoints together
	KindEndpoint      Kind = "brick"      // work of one endpoint
	KindZone          Kind = "zone"       // work of the endpoints of a zone
	KindSlowStart     Kind = "cold ramp"  // work of an endpoint that is warming up
	KindGateway       Kind = "host"       // requests a second of one gateway
	KindInFlight      Kind = "in flight"  // requests held at once by one gateway
	KindPlanQuota     Kind = "plan limit" // units a second of one volume
	KindReservation   Kind = "reserve"    // work that all reservations guarantee together
	KindAttemptBudget Kind = "budget"     // retries and hedged attempts of one gateway
	KindShard         Kind = "cell"       // data that no endpoint holds
)

// Limit is a resource limit that the load reaches as it grows.
type Limit struct {
	Kind      Kind
	Subject   string        `json:"Which"` // name of the endpoint, zone, gateway, volume or plan
	Factor    float64       // multiple of the present load at which the limit is reached; +Inf: never
	Used      float64       // at the present load, in the worst window, in Unit
	Capacity  float64       `json:"Most"` // in Unit
	Unit      string        // of Used and Capacity
	PeakStart time.Duration `json:"At"` // start of the worst window, since the first request of the capture
	// Condition is the event without which the limit doesn't apply; empty: it always applies.
	Condition string `json:"When"`
}

// String returns the limit as one line of text.
func (l Limit) String() string {
	return fmt.Sprintf("%s %s: %.3g of %.3g %s, reached at %.2f times the load", l.Kind, l.Subject, l.Used, l.Capacity, l.Unit, l.Factor)
}

// Usual returns the limits that apply without a condition, in the same order. It doesn't modify limits.
func Usual(limits []Limit) []Limit {
	return slices.DeleteFunc(slices.Clone(limits), func(l Limit) bool { return l.Condition != "" })
}

// newLimit returns a limit whose factor follows from its usage and capacity.
func newLimit(kind Kind, subject string, p peakRate, capacity float64, unit string) Limit {
	factor := math.Inf(1)
	if p.rate > 0 {
		factor = capacity / p.rate
	}
	return Limit{Kind: kind, Subject: subject, Factor: factor, Used: p.rate, Capacity: capacity, Unit: unit, PeakStart: p.start}
}

// sortNearest sorts limits by the factor at which they are reached, the smallest first.
func sortNearest(limits []Limit) {
	slices.SortStableFunc(limits, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Factor, b.Factor), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
}
