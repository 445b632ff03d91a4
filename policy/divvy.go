package policy

import "math"

// The paper's divvy: an amount is split among claims by weight, each between its minimum and its maximum. Where all demand is met
// what is left is split by weight, too.

// claim is one part of a divvy.
type claim struct {
	minimum float64
	maximum float64
	weight  float64
	granted float64 // the result
}

const (
	// divvySteps halve the interval in which the level of equal shares lies.
	divvySteps = 40
	// minVolumeWeight keeps weights away from zero.
	minVolumeWeight = 0.01
	// tiny keeps divisors away from zero.
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

// fairLevel finds the amount for each unit of weight at which the claims together take the whole amount.
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

// at is what a claim takes at a level.
func (c claim) grantAt(level float64) float64 {
	return math.Min(math.Max(level*c.weight, c.minimum), c.maximum)
}
