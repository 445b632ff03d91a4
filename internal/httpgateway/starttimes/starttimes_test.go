package starttimes

import (
	"testing"
	"time"

	"weirhaven/internal/engine"
)

// The wall clock equals the process's clock, apart from the step given in a test case.
const (
	now  = 1_000_000 * time.Second
	hour = time.Hour
)

// oneEntry returns a list of one endpoint, s.
func oneEntry(started time.Duration) []engine.EndpointEntry {
	return []engine.EndpointEntry{{Name: "s", StartedAt: started, Serving: true}}
}

// The wall clock is stepped by an hour before or after an endpoint restarts. If the reported start were used unchanged, an
// endpoint that has just started would seem old and get its full share, or an old one would seem new. The translated start
// must be within the tolerance of the test case and must not change when the same start is reported again.
func TestStartTimeAfterClockStep(t *testing.T) {
	for _, row := range []struct {
		name             string
		before, reported time.Duration // before: former start; 0: not listed before
		step, confirmed  time.Duration
		want, tolerance  time.Duration
	}{
		{"long ago", 0, 0, 0, 0, 0, 0},
		{"no step: as reported, to the nanosecond", 0, now - 5*time.Second, 0, 0, now - 5*time.Second, 0},
		{"in the future: now", 0, now + hour, 0, 0, now, 0},
		{"reported before the clock was set forward", 0, now - time.Second, hour, 0, now - time.Second, 0},
		{"reported after the clock was set forward", 0, now - time.Second + hour, hour, 0, now, time.Second},
		{"reported before the clock was set back", 0, now - time.Second, -hour, 0, now, time.Second},
		{"reported after the clock was set back", 0, now - time.Second - hour, -hour, 0, now - time.Second, 0},
		{"an old endpoint stays old after a step", 0, now - 24*hour, hour, 0, now - 24*hour, hour},
		{"restarted: not earlier than the last list with the former start", now - 24*hour, now - hour, 0, now - 2*time.Second, now - 2*time.Second, 0},
		{"restarted, reported within the maximum delay: as reported", now - 24*hour, now - 7*time.Second, 0, now - 2*time.Second, now - 7*time.Second, 0},
		{"restarted, after a long silence: as reported", now - 24*hour, now - time.Minute, 0, now - hour, now - time.Minute, 0},
	} {
		d := New()
		if row.before != 0 {
			d.Translate(true, oneEntry(row.before), ClockReadings{Now: now - hour, Wall: now - hour})
		}
		got := d.Translate(false, oneEntry(row.reported), ClockReadings{Now: now, Wall: now + row.step, Confirmed: row.confirmed})[0].StartedAt
		if diff := got - row.want; diff < -row.tolerance || diff > row.tolerance {
			t.Errorf("%s: %v before now, wanted %v", row.name, now-got, now-row.want)
		}
		again := d.Translate(true, oneEntry(row.reported), ClockReadings{Now: now + time.Minute, Wall: now + time.Minute - hour})[0].StartedAt
		if again != got {
			t.Errorf("%s: moved by %v when reported again after a step", row.name, again-got)
		}
	}
}

// Endpoints are added and removed over months. The start times of removed endpoints, and of those missing from a complete
// list, must be dropped, or the map would grow without bound.
func TestRemovedEndpointsAreDropped(t *testing.T) {
	d := New()
	d.Translate(true, append(oneEntry(now), engine.EndpointEntry{Name: "other"}), ClockReadings{Now: now, Wall: now})
	d.Translate(false, []engine.EndpointEntry{{Name: "s", Removed: true}}, ClockReadings{Now: now, Wall: now})
	if d.Translate(true, nil, ClockReadings{Now: now, Wall: now}); len(d.endpoints) != 0 {
		t.Errorf("%d start times are left, wanted 0", len(d.endpoints))
	}
}
