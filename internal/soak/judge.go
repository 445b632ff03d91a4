package soak

import (
	"fmt"
	"time"

	"weirhaven/internal/audit"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
)

const (
	// maxProcessStall is how long a process may be held up between reading its clock and writing.
	maxProcessStall = 150 * time.Millisecond
	// observationDelay is how late the recorder may see what happened, on a machine that runs the whole fleet.
	observationDelay = 150 * time.Millisecond
	// abandonGrace is how long after its client closed an attempt may begin.
	abandonGrace = 100 * time.Millisecond
)

// judge judges the whole record, and the processes' own checks. The run is over.
func (r *run) judge() *Report {
	observations, rules := r.recorder.All(), auditHeader(r.options.Seed, len(r.processes))
	if err := record.Write(r.directory, rules, observations); err != nil { // weirhavenctl audit judges it again
		r.report(Violation{Rule: "soak", Detail: err.Error()})
	}
	verdict := audit.Judge(rules, observations)
	for rule, breach := range verdict.First {
		if breach != nil {
			detail := fmt.Sprintf("%s, %d times; first: %s", audit.Rules[rule], verdict.Violations[rule], breach.Description)
			for _, line := range breach.Trace {
				detail += "\n    " + line
			}
			r.report(Violation{Rule: fmt.Sprintf("rule %d", rule), At: breach.At, Detail: detail, Process: "-", Log: r.directory})
		}
	}
	r.judgeDeadlines(observations)
	r.judgeShutdowns(observations)
	for _, p := range r.processes {
		r.violations = append(r.violations, p.scanLog()...)
	}
	return &Report{Seed: r.options.Seed, Processes: len(r.processes), Requests: verdict.Totals.Sent, Completed: verdict.Totals.Served, Faults: r.faults.injected,
		Overlapping: r.faults.overlapping, Violations: r.violations}
}

// judgeDeadlines checks each attempt against its client's deadline, and against the moment at which the client closed.
func (r *run) judgeDeadlines(observations []*pb.Seen) {
	requests := map[uint64]*pb.Seen{}
	for _, s := range observations {
		switch s.What {
		case pb.Seen_ASKED:
			requests[s.Command] = s
		case pb.Seen_REACHED:
			if q := requests[s.Command]; q != nil {
				r.judgeAttempt(q, s)
			}
		}
	}
}

// judgeAttempt checks one attempt: the time that it declares to the endpoint, and when it reached it.
func (r *run) judgeAttempt(request, arrival *pb.Seen) {
	reachedAt := time.Duration(arrival.At)
	remaining := time.Duration(request.At+request.Timeout) - reachedAt
	p := r.processes[request.Host]
	slack := maxProcessStall + observationDelay + p.excessSuspension(time.Duration(request.At), reachedAt)
	violated := func(rule, format string, args ...any) {
		r.report(Violation{Rule: rule, Request: request.Command, Process: p.name(), At: reachedAt, Detail: fmt.Sprintf(format, args...), Log: p.path(".log")})
	}
	if declared := time.Duration(arrival.Timeout); declared > max(remaining, 0)+slack {
		violated("deadline told", "%v, but its client had %v left", declared, remaining)
	}
	if remaining < -slack {
		violated("sent in time", "an attempt reached %s %v after the deadline", arrival.Brick, -remaining)
	}
	r.load.mu.Lock()
	abandonedAt, abandoned := r.load.abandoned[request.Command]
	r.load.mu.Unlock()
	if abandoned && reachedAt > abandonedAt+abandonGrace+slack {
		violated("sent in time", "an attempt reached %s %v after its client had left", arrival.Brick, reachedAt-abandonedAt)
	}
}

// judgeShutdowns checks requests that came after their process was told to stop: until it is killed it owes each of them an
// answer. The audit excuses them, since gateways of the line protocol may take nothing new then.
func (r *run) judgeShutdowns(observations []*pb.Seen) {
	type incarnation struct {
		process     uint32
		incarnation uint32
	}
	requests, stopSignaled, killed := map[uint64]*pb.Seen{}, map[incarnation]time.Duration{}, map[incarnation]bool{}
	for _, s := range observations {
		switch s.What {
		case pb.Seen_ASKED:
			requests[s.Command] = s
		case pb.Seen_HOST_DOWN:
			if s.How == "stopping" {
				stopSignaled[incarnation{s.Host, s.Incarnation}] = time.Duration(s.At)
			} else {
				killed[incarnation{s.Host, s.Incarnation}] = true
			}
		case pb.Seen_UNANSWERED:
			q := requests[s.Command]
			if q == nil || s.How != "host" || killed[incarnation{q.Host, q.Incarnation}] {
				continue
			}
			signaledAt, stopping := stopSignaled[incarnation{q.Host, q.Incarnation}]
			if !stopping || time.Duration(q.At) < signaledAt-observationDelay {
				continue
			}
			p := r.processes[q.Host]
			r.report(Violation{Rule: "lost while stopping", Request: q.Command, Process: p.name(), At: time.Duration(s.At),
				Detail: fmt.Sprintf("sent %v after SIGTERM, no answer %v after it", time.Duration(q.At)-signaledAt, time.Duration(s.At)-signaledAt), Log: p.path(".log")})
		}
	}
}
