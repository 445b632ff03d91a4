package decide

import (
	"cmp"
	"math"
	"slices"
)

// Share is the work of a plan and a queue type that a fleet carries.
type Share struct {
	Plan        string
	Class       string  `json:"Type"`
	Work        float64 // cores, in the worst window
	Reserved    float64 // of it, what reservations promise, at most Work
	Weight      float64 `json:"Worth"`    // priority weight of plan times queue type, a request
	RequestRate float64 `json:"Commands"` // a second
}

// value is the weight that the share earns with a core.
func (s Share) value() float64 { return s.Weight * s.RequestRate / math.Max(s.Work, 1e-12) }

// Shed is a share that is shed, and how much of it.
type Shed struct {
	Share
	Fraction float64 // of its work, 0 to 1
	Work     float64 // cores it frees
}

// negligible is work too small to be shed, in cores.
const negligible = 1e-9

// ShedToFit returns what to shed, in order, so that the remaining work fits the capacity, in cores. What earns least for its work
// goes first, and nothing reserved goes while anything unreserved remains. reservesMet is false where reserved work must go too.
func ShedToFit(shares []Share, capacity float64) (shed []Shed, reservesMet bool) {
	excess := -capacity
	for _, s := range shares {
		excess += s.Work
	}
	if excess <= 0 {
		return nil, true
	}
	order := slices.Clone(shares)
	slices.SortStableFunc(order, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.value(), b.value()), cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Class, b.Class))
	})
	shed, excess = shedFrom(order, excess, func(s Share) float64 { return s.Work - s.Reserved })
	if excess <= negligible {
		return shed, true
	}
	reserved, _ := shedFrom(order, excess, func(s Share) float64 { return s.Reserved })
	return append(shed, reserved...), false
}

// shedFrom sheds up to what sheddable allows of each share in turn, and returns the excess that remains.
func shedFrom(shares []Share, excess float64, sheddable func(s Share) float64) (shed []Shed, remaining float64) {
	for _, s := range shares {
		work := math.Min(sheddable(s), excess)
		if work <= negligible {
			continue
		}
		shed = append(shed, Shed{Share: s, Fraction: work / s.Work, Work: work})
		excess -= work
	}
	return shed, excess
}
