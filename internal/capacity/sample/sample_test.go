package sample

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Choose must return the heaviest interval, weights that add up to the number of intervals, and no overlaps.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 400).Draw(t, "work")
		per, n := rapid.IntRange(1, 40).Draw(t, "per"), rapid.IntRange(1, 12).Draw(t, "n")
		all := Choose(work, time.Duration(per)*time.Second, n)
		if len(all) == 0 || len(all) > n {
			t.Fatal(all)
		}
		heaviest, weight := 0, 0.0
		for i, s := range all {
			weight += s.Weight
			if s.Heaviest {
				heaviest++
			}
			if s.To <= s.From || i > 0 && s.From < all[i-1].To || s.To > time.Duration(len(work))*time.Second {
				t.Fatal(all)
			}
		}
		if most := (len(work) + per - 1) / per; heaviest != 1 || weight > float64(most)+0.5 || weight < float64(most)-1.5 {
			t.Fatalf("%d heaviest, weights add up to %.1f of %d", heaviest, weight, most)
		}
	})
	work := make([]float64, 3600) // 1 h with a surge of 1 min
	for i := range work {
		if work[i] = 1; i >= 3000 && i < 3060 {
			work[i] = 9
		}
	}
	for _, s := range Choose(work, 20*time.Second, 5) {
		if s.Heaviest && (s.From < 3000*time.Second || s.To > 3060*time.Second) {
			t.Error(s)
		}
	}
}
