package downstream

import (
	"testing"
	"time"
)

// The wait in the accept queue must follow the queue and the rate of accepts, also when they come in bursts.
func TestAcceptWait(t *testing.T) {
	now := time.Now()
	var rate acceptRate
	rate.count(now, 200)
	if got := rate.wait(now, 123*time.Millisecond); got != 123*time.Millisecond {
		t.Errorf("%v before anything is known but that the queue began 123 ms ago", got)
	}
	rate.reset()
	for range 20 { // bursts of ten accepts, 100 ms apart
		for range 10 {
			rate.count(now, 49)
		}
		now = now.Add(100 * time.Millisecond)
	}
	const long = 10 * time.Second
	if got := rate.wait(now, long); got < 350*time.Millisecond || got > 750*time.Millisecond {
		t.Errorf("waited %v behind 49 others at 10 ms each", got)
	}
	if got := rate.wait(now.Add(5*time.Second), long); got < 5*time.Second {
		t.Errorf("waited %v with a stall of 5 s", got)
	}
}
