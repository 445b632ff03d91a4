package idle

import (
	"fmt"
	"math/rand"
	"time"
)

const ms = time.Millisecond

// simulate uses connections that are idle for up to a second, on a path that drops them after lifetime and breaks a share
// of them at any age.
func simulate(l *Limit, from time.Duration, uses int, lifetime time.Duration, brokenShare float64) (now time.Duration) {
	rng := rand.New(rand.NewSource(1))
	for now = from; uses > 0; uses-- {
		now += 5 * ms
		idle := time.Duration(rng.ExpFloat64() * float64(100*ms))
		broken := rng.Float64() < brokenShare
		if rng.Float64() < 0.2 || idle > l.Duration() {
			l.RecordFirstUse(broken, now)
			continue
		}
		l.RecordReuse(idle, broken || idle > lifetime, now)
	}
	return now
}

// A machine on the path drops connections that were idle for 150 ms, and some connections break at any age. The drop is
// learnt within a second, and unlearnt once it no longer happens; what breaks at any age leaves the limit as it was.
func Example() {
	l := New(15 * time.Second)
	now := simulate(l, time.Hour, 300, time.Hour, 0.1)
	fmt.Println(l.Duration())
	now = simulate(l, now, 200, 150*ms, 0.1)
	fmt.Println(l.Duration())
	now = simulate(l, now, 20000, 150*ms, 0.1)
	fmt.Println(l.Duration())
	simulate(l, now, 40000, time.Hour, 0.1)
	fmt.Println(l.Duration())
	// Output:
	// 15s
	// 128ms
	// 128ms
	// 15s
}
