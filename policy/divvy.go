package policy

import "math"

// Divvy, as in the paper: an amount is divided among claims by weight, each between its minimum and its maximum. If the amount
// exceeds the sum of all maximums, the remainder is divided by weight, too.

// claim is one party in a divvy.
type claim struct {
	minimum float64
	maximum float64
	weight  float64
	granted float64 // amount granted by divvy
}

const (
	// divvySteps is the number of bisection steps that find the common level of all claims.
	divvySteps = 40
	// minVolumeWeight is the minimum weight of a volume; a weight of zero would divide by zero.
	minVolumeWeight = 0.01
	// epsilon is the minimum divisor where a divisor may be zero.
	epsilon = 1e-9
)

// divvy sets what each claim is granted, and returns the claims.
func divvy(amount float64, claims []claim) []claim {
	var weight, demand float64
	for _, c := range claims {
		weight += c.weight
		demand += c.maximum
	}
	if demand <= amount {
		for i, c := range claims {
			claims[i].granted = c.maximum + (amount-demand)*c.weight/math.Max(weight, epsilon)
		}
		return claims
	}
	level := fairLevel(amount, claims)
	for i, c := range claims {
		claims[i].granted = c.grantAt(level)
	}
	return claims
}

// fairLevel finds the amount per unit of weight at which the grants add up to the whole amount.
func fairLevel(amount float64, claims []claim) float64 {
	low, high := 0.0, 0.0
	for _, c := range claims {
		high = math.Max(high, c.maximum/math.Max(c.weight, epsilon))
	}
	for range divvySteps {
		level, sum := (low+high)/2, 0.0
		for _, c := range claims {
			sum += c.grantAt(level)
		}
		if sum > amount {
			high = level
		} else {
			low = level
		}
	}
	return high
}

// grantAt returns what a claim is granted at a level.
func (c claim) grantAt(level float64) float64 {
	return math.Min(math.Max(level*c.weight, c.minimum), c.maximum)
}
