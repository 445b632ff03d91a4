package decide

import (
	"cmp"
	"math"
	"slices"
)

// Share is the work of a plan and a request class.
type Share struct {
	Plan        string
	Class       string  `json:"Type"`
	Work        float64 // cores, in the worst window
	Reserved    float64 // the part of Work that reservations cover, cores
	Weight      float64 `json:"Worth"`    // importance of the plan times that of the request class, per request
	RequestRate float64 `json:"Commands"` // per second
}

// value returns the weight of the share's requests per core.
func (s Share) value() float64 { return s.Weight * s.RequestRate / math.Max(s.Work, 1e-12) }

// Shed is the part of a share that is shed.
type Shed struct {
	Share
	Fraction float64 `json:"Part"` // of the work of the share, 0 to 1
	Work     float64 // cores freed
}

// negligible is the work, in cores, that is too small to be shed.
const negligible = 1e-9

// ShedToFit returns what to shed, in order, so that the remaining work fits the capacity, in cores. Shares of the least value are shed
// first, and reserved work only after all unreserved work. reservationsMet is false if reserved work must be shed.
func ShedToFit(shares []Share, capacity float64) (shed []Shed, reservationsMet bool) {
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

// shedFrom sheds up to sheddable cores of each share in turn, and returns the excess that remains.
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
