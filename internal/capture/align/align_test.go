package align

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Offsets must align clocks that differ by up to an hour to within 20 ms, although notifications are delayed, one mark is wrong and not every pair
// of gateways shares an endpoint.
func TestOffsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "hosts")
		clockOffset := make([]time.Duration, n)
		gateways := map[string]Marks{}
		for i := range n {
			clockOffset[i] = time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "off"))
			marks := Marks{}
			for b := i; b < i+9; b++ { // shared with the next gateways
				delay := time.Duration(rapid.Int64Range(0, int64(2*time.Millisecond)).Draw(t, "late"))
				marks[fmt.Sprint("b", b)] = time.Duration(b)*time.Minute + clockOffset[i] + delay
			}
			gateways[fmt.Sprint("h", i)] = marks
		}
		gateways["h0"]["b8"] = 7 * 24 * time.Hour // one wrong mark
		all, err := Offsets(gateways)
		if err != nil {
			t.Fatal(err)
		}
		for i, o := range all {
			if d := o.Add + clockOffset[i] - clockOffset[0]; d < -20*time.Millisecond || d > 20*time.Millisecond {
				t.Fatalf("%s: %v, off by %v", o.Gateway, o.Add, d)
			}
		}
	})
}

// A gateway that shares no mark with the others must keep its clock and cause an error.
func TestNoSharedMarks(t *testing.T) {
	all, err := Offsets(map[string]Marks{"a": {"x": 1}, "b": {"x": 3}, "c": {"y": 1}})
	if err == nil || len(all) != 3 || all[1].Add != -2 || all[2].Add != 0 {
		t.Errorf("%v %v", all, err)
	}
	if all, err := Offsets(nil); len(all) != 0 || err != nil {
		t.Error(all, err)
	}
}
