package soak

import (
	"fmt"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed        int64
	Processes   int
	Requests    int // number of requests that clients sent
	Completed   int // number of requests that succeeded
	Faults      int // number of faults that were injected
	Overlapping int // number of faults that began while another one was active
	PeakMemory  int // highest private memory of a process, in KiB
	Limits      Deployment
	Violations  []Violation
}

// String returns the last line that the command prints. Scripts parse it, so its text must not change.
func (r *Report) String() string {
	return fmt.Sprintf("soak seed %d: %d processes, %d requests, %d troubles (%d overlapping), %d violations", r.Seed, r.Processes, r.Requests,
		r.Faults, r.Overlapping, len(r.Violations))
}

// Violation is one broken invariant.
type Violation struct {
	Rule    string        // rule of package audit or check of this package
	Request uint64        // number of the request; 0 if it concerns no single request
	Process string        // name of the process; may be empty
	At      time.Duration // time since the beginning of the run; 0: at its end
	Detail  string
	Log     string // log file or directory with the details
}

// String returns a line with the violation and the log file to read.
func (v Violation) String() string {
	return fmt.Sprintf("VIOLATION %s: request %d, process %s, at %.3f s: %s (log: %s)", v.Rule, v.Request, v.Process, v.At.Seconds(), v.Detail, v.Log)
}
