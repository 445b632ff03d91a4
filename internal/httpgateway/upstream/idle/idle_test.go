package idle

import (
	"fmt"
	"math/rand"
	"time"
)

const ms = time.Millisecond

// play uses connections that lie idle for up to a second, on a way that forgets them after life and breaks some at any age.
func play(l *Limit, from time.Duration, n int, life time.Duration, breaks float64) (now time.Duration) {
	r := rand.New(rand.NewSource(1))
	for now = from; n > 0; n-- {
		now += 5 * ms
		idle := time.Duration(r.ExpFloat64() * float64(100*ms))
		broke := r.Float64() < breaks
		if r.Float64() < 0.2 || idle > l.Duration() {
			l.RecordFirstUse(broke, now)
			continue
		}
		l.RecordReuse(idle, broke || idle > life, now)
	}
	return now
}

// A way that forgets connections after 150 ms is learnt within a second, also where some break at any age, and unlearnt
// once it no longer does; one that only breaks some, at any age, leaves the bound as it was.
func Example() {
	l := New(15 * time.Second)
	now := play(l, time.Hour, 300, time.Hour, 0.1)
	fmt.Println(l.Duration())
	now = play(l, now, 200, 150*ms, 0.1)
	fmt.Println(l.Duration())
	now = play(l, now, 20000, 150*ms, 0.1)
	fmt.Println(l.Duration())
	play(l, now, 40000, time.Hour, 0.1)
	fmt.Println(l.Duration())
	// Output:
	// 15s
	// 128ms
	// 128ms
	// 15s
}
