package scenario

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/audit"
	"weirhaven/internal/controlplane/server"
	"weirhaven/internal/engine"
	"weirhaven/internal/gateway"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

// TestMain lets the test binary also run as a gateway or a controller, so that scenarios start both as processes. The variable
// WRONG is the number of the audit rule that the gateway breaks on purpose.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "planner" { // exits in any case, so that a child process never runs the tests
		c := server.Command{Config: os.Args[len(os.Args)-1], Bound: true}
		if err := c.Execute(gateway.Logger); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	if len(os.Args) > 1 && os.Args[1] == "edge" {
		wrong, _ := strconv.Atoi(os.Getenv("WRONG"))
		c := gateway.Command{Config: os.Args[len(os.Args)-1], Bound: true}
		start := gateway.NewScheduler
		if wrong > 0 {
			start = func(runtime policy.Runtime, s policy.Settings) engine.Scheduler {
				return newFaultyScheduler(wrong, runtime, s)
			}
		}
		if err := c.Execute(start); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// faultyScheduler wraps the scheduler and breaks one rule of the audit.
type faultyScheduler struct {
	*policy.Scheduler
	policy.Runtime
	rule int
	n    int
}

func newFaultyScheduler(rule int, h policy.Runtime, s policy.Settings) *faultyScheduler {
	w := &faultyScheduler{Runtime: h, rule: rule}
	switch rule {
	case 6:
		s.RetryBudget = false
	case 7:
		for i := range s.Plans {
			s.Plans[i].Limit *= 8
			s.Plans[i].Burst *= 8
			s.Plans[i].InitialBurst *= 8
		}
	}
	w.Scheduler = policy.New(w, s)
	return w
}

// Reject drops one rejection in 20, so that the request gets no final answer: rule 1.
func (w *faultyScheduler) Reject(c *policy.Request, pause time.Duration) {
	if w.n++; w.rule == 1 && w.n%20 == 1 {
		return
	}
	w.Runtime.Reject(c, pause)
}

// AttemptEnded reports an error response as a failed connect, so that a request that may have run is sent again: rule 2.
func (w *faultyScheduler) AttemptEnded(attempt *policy.Attempt, result policy.AttemptResult) {
	if w.rule == 2 && result.Outcome == policy.ErrorResponse {
		result.Outcome = policy.ConnectFailed
	}
	w.Scheduler.AttemptEnded(attempt, result)
}

// UpdateEndpoint reports a draining endpoint as serving (rule 3) or hides that an endpoint is in slow start (rule 4).
func (w *faultyScheduler) UpdateEndpoint(endpoint *policy.Endpoint, update policy.EndpointUpdate) {
	switch w.rule {
	case 3:
		update.Serving, update.Removed = true, false
	case 4:
		update.StartedAt = 0
	}
	w.Scheduler.UpdateEndpoint(endpoint, update)
}

// RequestReceived removes the request's ordering key: rule 5.
func (w *faultyScheduler) RequestReceived(request *policy.Request, arrival policy.RequestArrival) error {
	if w.rule == 5 {
		arrival.Object = ""
	}
	return w.Scheduler.RequestReceived(request, arrival)
}

func (w *faultyScheduler) Log(line string) { w.Runtime.Log(line) }

func options(seed int64, rule int) Options {
	return Options{Seed: seed, Gateway: []string{os.Args[0], "edge"}, Env: []string{"WRONG=" + strconv.Itoa(rule)}, ObservationTolerance: 100 * time.Millisecond}
}

// shortened returns the scenario bad-day with another length and the given faults.
func shortened(t testing.TB, length string, faults string) *pb.Drill {
	t.Helper()
	d, err := Load("bad-day")
	if err != nil {
		t.Fatal(err)
	}
	extra := &pb.Drill{}
	if err := settings.Parse("troubles", []byte(faults), extra); err != nil && extra.Trouble == nil && faults != "" {
		t.Fatal(err)
	}
	d.Length, d.Trouble = length, extra.Trouble
	return d
}

func play(t *testing.T, d *pb.Drill, o Options) *Result {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	r, err := Run(ctx, d, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func reportViolations(t *testing.T, r *Result) {
	t.Helper()
	for _, b := range r.Verdict.First {
		if b != nil {
			t.Errorf("rule %d (%s) broken %d times; first: %s\n%s", b.Rule, audit.Rules[b.Rule], r.Verdict.Violations[b.Rule], b.Description,
				strings.Join(b.Trace, "\n"))
		}
	}
	for _, x := range r.FailedExits {
		t.Error(x)
	}
}

// No rule is broken while gateways are killed and restarted, an endpoint is drained and replaced, another one crashes and restarts in
// slow start at its address, endpoints return errors, responses are lost and clients reconnect.
func TestNoViolationsUnderFaults(t *testing.T) {
	t.Parallel()
	r := play(t, shortened(t, "4s", `
		trouble { kind: ANSWER_LOST at: "300ms" length: "1s" size: 0.2 part: 0.3 }
		trouble { kind: HOST_CRASH at: "600ms" on: 1 back: "300ms" }
		trouble { kind: PREEMPT at: "1s" length: "500ms" on: 0 back: "200ms" }
		trouble { kind: BRICK_CRASH at: "1200ms" on: 2 back: "300ms" }
		trouble { kind: RECONNECT at: "1800ms" size: 0.7 }
		trouble { kind: FAST_ERRORS at: "2s" length: "1s" size: 0.5 part: 0.4 }
		trouble { kind: HOST_ROLL at: "2200ms" length: "1500ms" part: 0.34 back: "100ms" }`), options(1, 0))
	reportViolations(t, r)
	if s := r.Verdict.Totals; s.Served < 300 || s.Rejected == 0 || s.Retries == 0 {
		t.Errorf("too few requests were served, rejected or retried: %+v", s)
	}
}

// A gateway that is killed and restarted within a second does not know how much of a plan's rate limit it has used. The limit must hold
// all the same.
func TestRateLimitHoldsWhenGatewaysAreKilled(t *testing.T) {
	t.Parallel()
	r := play(t, shortened(t, "3s", `
		trouble { kind: PLAN_BURST at: "100ms" length: "3s" size: 6 plan: "basic" }
		trouble { kind: HOST_CRASH at: "700ms" part: 1 back: "100ms" }
		trouble { kind: HOST_CRASH at: "1600ms" part: 1 back: "100ms" }`), options(2, 0))
	reportViolations(t, r)
}

// Gateways start without the discovery service, from stored endpoint lists in which neither a drained endpoint nor one in slow start is
// marked as such.
func TestStartWithoutDiscovery(t *testing.T) {
	for _, age := range []string{"5s", "720h"} {
		t.Run(age, func(t *testing.T) {
			t.Parallel()
			d, err := Load("no-discovery")
			if err != nil {
				t.Fatal(err)
			}
			d.Length, d.List.SavedAge, d.Trouble = "2500ms", age, d.Trouble[:0]
			r := play(t, d, options(3, 0))
			reportViolations(t, r)
			if s := r.Verdict.Totals; s.Served < 300 {
				t.Errorf("served too few requests: %+v", s)
			}
		})
	}
}

// Gateways learn of endpoints from the controller alone. No rule is broken and requests are still served while the controller is killed
// repeatedly, restarts with an old store and with an empty one, and stalls. The full scenario with a comparison run is
// weirhavenctl scenario run planner-killed --without-controller-faults.
func TestControllerFaults(t *testing.T) {
	t.Parallel()
	d, err := Load("planner-killed")
	if err != nil {
		t.Fatal(err)
	}
	extra := &pb.Drill{}
	settings.Parse("troubles", []byte(`
		trouble { kind: PLANNER_KILL at: "300ms" length: "4s" extra: 1.2 back: "100ms" }
		trouble { kind: PREEMPT at: "1500ms" length: "600ms" on: 1 back: "300ms" }
		trouble { kind: PLANNER_OLD at: "5s" extra: 0.4 back: "100ms" }
		trouble { kind: PLANNER_OLD at: "6200ms" back: "100ms" }
		trouble { kind: PLANNER_STALL at: "7s" length: "800ms" }`), extra)
	d.Length, d.Trouble = "8s", extra.Trouble
	r := play(t, d, Options{Seed: 2, Gateway: []string{os.Args[0], "edge"}, Controller: []string{os.Args[0], "planner"}})
	reportViolations(t, r)
	if s := r.Verdict.Total().Share(); s < 0.85 || r.Controller.Kills < 5 || r.Controller.Rollbacks != 2 || r.Controller.Stalls != 1 {
		t.Errorf("service %.3f, %+v", s, r.Controller)
	}
}

// No object read over HTTP has wrong bytes and no acknowledged object is lost while gateways are killed, an endpoint is replaced and
// responses are lost.
func TestObjectDay(t *testing.T) {
	t.Parallel()
	d, err := Load("object-day")
	if err != nil {
		t.Fatal(err)
	}
	extra := &pb.Drill{}
	settings.Parse("troubles", []byte(`
		trouble { kind: ANSWER_LOST at: "500ms" length: "1s" size: 0.1 part: 0.4 }
		trouble { kind: HOST_CRASH at: "1s" on: 1 back: "300ms" }
		trouble { kind: PREEMPT at: "2s" length: "400ms" on: 2 back: "300ms" }
		trouble { kind: HOST_CRASH at: "3s" on: 0 back: "300ms" }`), extra)
	d.Length, d.Trouble = "5s", extra.Trouble
	r := play(t, d, Options{Seed: 3, Gateway: []string{os.Args[0], "edge"}})
	reportViolations(t, r)
	if o := r.Objects; !o.Good() || o.Checked != 54 || o.Puts < 100 || o.Failed > o.Requests()/10 {
		t.Error(o)
	}
	// The check itself reports mixed and truncated contents as wrong and a missing object as lost.
	w := &objectClients{}
	a, b := &content{1, 1000}, &content{2, 1000}
	n := &object{candidates: []*content{a, b}}
	w.verify(n, a.bytes(), true, 0, 0)
	w.verify(n, b.bytes()[10:30], true, 10, 20)
	if w.totals.Wrong+w.totals.Lost != 0 {
		t.Error(w.totals)
	}
	w.verify(n, append(a.bytes()[:500], b.bytes()[500:]...), true, 0, 0)
	w.verify(n, a.bytes()[:999], true, 0, 0)
	w.verify(n, nil, false, 0, 0)
	if w.totals.Wrong != 2 || w.totals.Lost != 1 {
		t.Error(w.totals)
	}
}

// While the discovery service is down and returns partial, empty and outdated lists, and an endpoint is drained and replaced, no rule
// is broken and requests are still served.
func TestDiscoveryFlapping(t *testing.T) {
	t.Parallel()
	r := play(t, shortened(t, "3s", `
		trouble { kind: LIST_FLAPS at: "300ms" length: "2500ms" }
		trouble { kind: PREEMPT at: "1s" length: "500ms" on: 0 back: "200ms" }`), options(4, 0))
	reportViolations(t, r)
	if w := r.Verdict.Total(); w.Share() < 0.6 {
		t.Errorf("service fell to %.3f, want at least 0.6", w.Share())
	}
}

// The audit must report the rule that the gateways break on purpose.
func TestAuditCatchesWrongHosts(t *testing.T) {
	for rule, c := range map[int]string{
		1: ``,
		2: `trouble { kind: FAST_ERRORS at: "200ms" length: "2s" size: 0.5 part: 1 }`,
		3: `trouble { kind: PREEMPT at: "300ms" length: "1500ms" part: 0.5 back: "100ms" }`,
		4: `trouble { kind: PREEMPT at: "200ms" on: 0 on: 1 length: "100ms" back: "100ms" } trouble { kind: BURST at: "100ms" length: "3s" size: 3 }`,
		5: ``,
		6: `trouble { kind: FAST_ERRORS at: "200ms" length: "2s" size: 0.6 part: 1 }`,
		7: `trouble { kind: PLAN_BURST at: "100ms" length: "3s" size: 6 plan: "basic" }`,
	} {
		t.Run(fmt.Sprintf("rule %d", rule), func(t *testing.T) {
			t.Parallel()
			d := shortened(t, "2500ms", c)
			switch rule {
			case 1:
				d.Fleet.Cancel = false
			case 4: // an endpoint in slow start that little load overloads
				d.Fleet.ColdFrom, d.Fleet.ColdUnits, d.Kind[0].ColdFrom = 0.05, 2, 0.05
				d.Fleet.FallAfter = "300ms"
			case 5: // many writes to few objects
				d.Load.Mix, d.Load.Objects, d.Load.NewObjects = []float64{0.3, 0, 0, 0.7}, 2, 0
			}
			r := play(t, d, options(int64(rule), rule))
			if r.Verdict.Violations[rule] == 0 {
				t.Errorf("no violation reported; %+v, violations %v", r.Verdict.Totals, r.Verdict.Violations)
			}
		})
	}
}

// If a gateway exits at its start, Run returns an error with the reason that it logged.
func TestGatewayStartErrorIsReported(t *testing.T) {
	d := shortened(t, "1s", "")
	d.Plan[0].Weight = 0
	_, err := Run(context.Background(), d, options(1, 0))
	if err == nil || !strings.Contains(err.Error(), "plan[0].weight") {
		t.Errorf("error = %v, want one that names plan[0].weight", err)
	}
}
