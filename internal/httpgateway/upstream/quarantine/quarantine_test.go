package quarantine

import (
	"fmt"
	"time"
)

// A copy that came 40 ms late makes connections rest for longer; one that came at once changes nothing; what was learnt
// fades, never below the least.
func Example() {
	const ms = time.Millisecond
	t, now := New(), time.Hour
	fmt.Println(t.Duration(now))
	t.RecordUnsolicited(0, now)
	fmt.Println(t.Duration(now))
	t.RecordUnsolicited(40*ms, now)
	t.RecordUnsolicited(3*ms, now)
	fmt.Println(t.Duration(now))
	fmt.Println(t.Duration(now + 19*time.Second))
	fmt.Println(t.Duration(now + 20*time.Second))
	fmt.Println(t.Duration(now + time.Hour))
	t.RecordUnsolicited(time.Minute, now+2*time.Hour)
	fmt.Println(t.Duration(now + 2*time.Hour))
	// Output:
	// 10ms
	// 10ms
	// 160ms
	// 160ms
	// 80ms
	// 10ms
	// 250ms
}
