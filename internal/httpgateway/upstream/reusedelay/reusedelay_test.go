package reusedelay

import (
	"fmt"
	"time"
)

// A duplicate that arrives 40 ms after its response increases the delay; one that arrives with its response does not. The delay
// decays to its minimum.
func Example() {
	const ms = time.Millisecond
	d, now := New(), time.Hour
	fmt.Println(d.Duration(now))
	d.RecordUnsolicited(0, now)
	fmt.Println(d.Duration(now))
	d.RecordUnsolicited(40*ms, now)
	d.RecordUnsolicited(3*ms, now)
	fmt.Println(d.Duration(now))
	fmt.Println(d.Duration(now + 19*time.Second))
	fmt.Println(d.Duration(now + 20*time.Second))
	fmt.Println(d.Duration(now + time.Hour))
	d.RecordUnsolicited(time.Minute, now+2*time.Hour)
	fmt.Println(d.Duration(now + 2*time.Hour))
	// Output:
	// 10ms
	// 10ms
	// 160ms
	// 160ms
	// 80ms
	// 10ms
	// 250ms
}
