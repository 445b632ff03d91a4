package soak

import (
	"fmt"
	"time"

	"weirhaven/internal/audit"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
)

const (
	// heldUp is how long a process may be held up between reading its clock and writing.
	heldUp = 150 * time.Millisecond
	// blur is how late the observer may see what happened, on a machine that runs the whole fleet.
	blur = 150 * time.Millisecond
	// leftGrace is how long after its client left an attempt may begin.
	leftGrace = 100 * time.Millisecond
)

// judge judges the whole record, and the processes' own checks.
func (r *run) judge() *Report {
	seen, rules := r.rec.All(), header(r.options.Seed, len(r.processes))
	if err := record.Write(r.folder, rules, seen); err != nil { // weirhavenctl audit judges it again
		r.violated(Violation{Rule: "soak", Detail: err.Error()})
	}
	verdict := audit.Judge(rules, seen)
	for rule, breach := range verdict.First {
		if breach != nil {
			detail := fmt.Sprintf("%s, %d times; first: %s", audit.Rules[rule], verdict.Violations[rule], breach.Description)
			for _, line := range breach.Trace {
				detail += "\n    " + line
			}
			r.violated(Violation{Rule: fmt.Sprintf("rule %d", rule), At: breach.At, Detail: detail, Process: "-", Log: r.folder})
		}
	}
	r.judgeTimes(seen)
	for _, p := range r.processes {
		r.violations = append(r.violations, p.counters()...)
	}
	return &Report{Seed: r.options.Seed, Processes: len(r.processes), Requests: verdict.Totals.Sent, Completed: verdict.Totals.Served, Troubles: r.troubles.played,
		Overlapping: r.troubles.overlapping, Violations: r.violations}
}

// judgeTimes checks each attempt against the time that its client had left, and against the moment at which it left.
func (r *run) judgeTimes(seen []*pb.Seen) {
	asked := map[uint64]*pb.Seen{}
	for _, s := range seen {
		switch s.What {
		case pb.Seen_ASKED:
			asked[s.Command] = s
		case pb.Seen_REACHED:
			if q := asked[s.Command]; q != nil {
				r.judgeAttempt(q, s)
			}
		}
	}
}

func (r *run) judgeAttempt(asked, reached *pb.Seen) {
	at := time.Duration(reached.At)
	left := time.Duration(asked.At+asked.Timeout) - at
	p := r.processes[asked.Host]
	slack := heldUp + blur + p.heldBeyond(time.Duration(asked.At), at)
	found := func(rule, format string, args ...any) {
		r.violated(Violation{Rule: rule, Request: asked.Command, Process: p.name(), At: at, Detail: fmt.Sprintf(format, args...), Log: p.file(".log")})
	}
	if told := time.Duration(reached.Timeout); told > max(left, 0)+slack {
		found("deadline told", "%v, but its client had %v left", told, left)
	}
	if left < -slack {
		found("sent in time", "an attempt reached %s %v after the deadline", reached.Brick, -left)
	}
	r.load.mu.Lock()
	leftAt, hasLeft := r.load.left[asked.Command]
	r.load.mu.Unlock()
	if hasLeft && at > leftAt+leftGrace+slack {
		found("sent in time", "an attempt reached %s %v after its client had left", reached.Brick, at-leftAt)
	}
}
