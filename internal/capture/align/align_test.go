package align

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Hosts whose clocks are off by any amount come out aligned to within what their words took on the way, though some marks are wrong
// and not every pair of hosts knows a brick in common.
func TestOffsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "hosts")
		off := make([]time.Duration, n)
		hosts := map[string]Marks{}
		for i := range n {
			off[i] = time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "off"))
			m := Marks{}
			for b := i; b < i+9; b++ { // overlaps with its neighbours
				late := time.Duration(rapid.Int64Range(0, int64(2*time.Millisecond)).Draw(t, "late"))
				m[fmt.Sprint("b", b)] = time.Duration(b)*time.Minute + off[i] + late
			}
			hosts[fmt.Sprint("h", i)] = m
		}
		hosts["h0"]["b8"] = 7 * 24 * time.Hour // nonsense
		all, err := Offsets(hosts)
		if err != nil {
			t.Fatal(err)
		}
		for i, o := range all {
			if d := o.Add + off[i] - off[0]; d < -20*time.Millisecond || d > 20*time.Millisecond {
				t.Fatalf("%s: %v, off by %v", o.Host, o.Add, d)
			}
		}
	})
}

func TestNothingShared(t *testing.T) {
	all, err := Offsets(map[string]Marks{"a": {"x": 1}, "b": {"x": 3}, "c": {"y": 1}})
	if err == nil || len(all) != 3 || all[1].Add != -2 || all[2].Add != 0 {
		t.Errorf("%v %v", all, err)
	}
	if all, err := Offsets(nil); len(all) != 0 || err != nil {
		t.Error(all, err)
	}
}
