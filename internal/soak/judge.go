package soak

import (
	"fmt"
	"time"

	"weirhaven/internal/audit"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
)

const (
	// maxProcessStall is the longest tolerated stall of a process between reading its clock and writing.
	maxProcessStall = 150 * time.Millisecond
	// observationDelay is the longest tolerated delay between an event and its record. One machine runs the whole fleet.
	observationDelay = 150 * time.Millisecond
	// abandonGrace is how long after its client has disconnected a request may still be sent to an endpoint.
	abandonGrace = 100 * time.Millisecond
)

// judge checks the whole record and the processes' logs after the run, and returns the report.
func (r *run) judge() *Report {
	observations, header := r.recorder.All(), auditHeader(r.options.Seed, len(r.processes), r.deployment)
	if err := record.Write(r.directory, header, observations); err != nil { // for weirhavenctl audit, which can judge the record again
		r.report(Violation{Rule: "soak", Detail: err.Error()})
	}
	verdict := audit.Judge(header, observations)
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
		Overlapping: r.faults.overlapping, PeakMemory: r.peakMemory(), Limits: r.deployment, Violations: r.violations}
}

// judgeDeadlines checks each attempt against its client's deadline and against the time at which its client disconnected.
func (r *run) judgeDeadlines(observations []*pb.Seen) {
	requests := map[uint64]*pb.Seen{}
	for _, s := range observations {
		switch s.What {
		case pb.Seen_ASKED:
			requests[s.Command] = s
		case pb.Seen_REACHED:
			if request := requests[s.Command]; request != nil {
				r.judgeAttempt(request, s)
			}
		}
	}
}

// judgeAttempt checks the remaining time that an attempt declares to the endpoint and the time at which it arrived there.
func (r *run) judgeAttempt(request, arrival *pb.Seen) {
	reachedAt := time.Duration(arrival.At)
	if r.load.hasReturned(request.Command, reachedAt) {
		return
	}
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
		violated("sent in time", "an attempt reached %s %v after its client had disconnected", arrival.Brick, reachedAt-abandonedAt)
	}
}

// hasReturned reports whether a client had sent a request again by a time.
func (l *load) hasReturned(number uint64, by time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	returnedAt, returned := l.returned[number]
	return returned && by >= returnedAt
}

// judgeShutdowns checks that each request sent after SIGTERM gets a response, unless the process is killed. The audit doesn't
// check these requests: gateways of the line protocol may refuse new requests during a shutdown.
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
			request := requests[s.Command]
			if request == nil || s.How != "host" || killed[incarnation{request.Host, request.Incarnation}] {
				continue
			}
			signaledAt, stopping := stopSignaled[incarnation{request.Host, request.Incarnation}]
			if !stopping || time.Duration(request.At) < signaledAt-observationDelay {
				continue
			}
			p := r.processes[request.Host]
			r.report(Violation{Rule: "lost while stopping", Request: request.Command, Process: p.name(), At: time.Duration(s.At),
				Detail: fmt.Sprintf("sent %v after SIGTERM, no response %v after SIGTERM", time.Duration(request.At)-signaledAt, time.Duration(s.At)-signaledAt), Log: p.path(".log")})
		}
	}
}
