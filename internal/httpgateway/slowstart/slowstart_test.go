package slowstart

import (
	"testing"
	"time"

	"weirhaven/internal/engine"
)

// Times at which the wall clock read the same as the process's clock, apart from the step that a row names.
const (
	now  = 1_000_000 * time.Second
	hour = time.Hour
)

func one(started time.Duration) []engine.EndpointEntry {
	return []engine.EndpointEntry{{Name: "s", Started: started, Serving: true}}
}

func TestStart(t *testing.T) {
	for _, x := range []struct {
		name              string
		before, told      time.Duration // before 0: not listed before
		step, confirmed   time.Duration
		wanted, tolerance time.Duration
	}{
		{"long ago", 0, 0, 0, 0, 0, 0},
		{"no step: as told, to the nanosecond", 0, now - 5*time.Second, 0, 0, now - 5*time.Second, 0},
		{"in the future: now", 0, now + hour, 0, 0, now, 0},
		{"told before the clock was set forward", 0, now - time.Second, hour, 0, now - time.Second, 0},
		{"told after the clock was set forward", 0, now - time.Second + hour, hour, 0, now, time.Second},
		{"told before the clock was set back", 0, now - time.Second, -hour, 0, now, time.Second},
		{"told after the clock was set back", 0, now - time.Second - hour, -hour, 0, now - time.Second, 0},
		{"an old one after a step stays old", 0, now - 24*hour, hour, 0, now - 24*hour, hour},
		{"restarted: not before it was last listed with its former start", now - 24*hour, now - hour, 0, now - 2*time.Second, now - 2*time.Second, 0},
		{"restarted, told as late as may be: as told", now - 24*hour, now - 7*time.Second, 0, now - 2*time.Second, now - 7*time.Second, 0},
		{"restarted, after a long silence: as told", now - 24*hour, now - time.Minute, 0, now - hour, now - time.Minute, 0},
	} {
		d := New()
		if x.before != 0 {
			d.Translate(true, one(x.before), ClockReadings{Now: now - hour, Wall: now - hour})
		}
		got := d.Translate(false, one(x.told), ClockReadings{Now: now, Wall: now + x.step, Confirmed: x.confirmed})[0].Started
		if diff := got - x.wanted; diff < -x.tolerance || diff > x.tolerance {
			t.Errorf("%s: %v before now, wanted %v", x.name, now-got, now-x.wanted)
		}
		again := d.Translate(true, one(x.told), ClockReadings{Now: now + time.Minute, Wall: now + time.Minute - hour})[0].Started
		if again != got {
			t.Errorf("%s: moved by %v when told again after a step", x.name, again-got)
		}
	}
}

func TestForgets(t *testing.T) {
	d := New()
	d.Translate(true, append(one(now), engine.EndpointEntry{Name: "other"}), ClockReadings{Now: now, Wall: now})
	d.Translate(false, []engine.EndpointEntry{{Name: "s", Gone: true}}, ClockReadings{Now: now, Wall: now})
	if d.Translate(true, nil, ClockReadings{Now: now, Wall: now}); len(d.endpoints) != 0 {
		t.Errorf("%d servers are remembered", len(d.endpoints))
	}
}
