package idle

import (
	"fmt"
	"math/rand"
	"time"
)

const ms = time.Millisecond

// simulate records uses of connections with exponentially distributed idle times (mean 100 ms), on a path that drops idle
// connections after lifetime and breaks a share of all connections regardless of idle time.
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

// The path drops connections that were idle for 150 ms, and a tenth of the connections break regardless of idle time. The limit
// adapts within a second and returns to the maximum after the drops stop. Failures unrelated to idle time don't change the limit.
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
