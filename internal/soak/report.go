package soak

import (
	"fmt"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed        int64
	Processes   int
	Requests    int // that clients sent
	Completed   int // that were answered with success
	Faults      int // that were injected
	Overlapping int // of Faults, those that began while another one was up
	Violations  []Violation
}

// String is the last line that the command prints. Scripts read it: its text stays.
func (r *Report) String() string {
	return fmt.Sprintf("soak seed %d: %d processes, %d requests, %d troubles (%d overlapping), %d violations", r.Seed, r.Processes, r.Requests,
		r.Faults, r.Overlapping, len(r.Violations))
}

// Violation is one broken invariant.
type Violation struct {
	Rule    string        // the rule of package audit, or the check of this package
	Request uint64        // 0: not about one request
	Process string        // name; may be empty
	At      time.Duration // since the beginning of the run; 0: at its end
	Detail  string
	Log     string // file or folder to look into
}

// String describes the violation in one line, and the file to look into.
func (v Violation) String() string {
	return fmt.Sprintf("VIOLATION %s: request %d, process %s, at %.3f s: %s (log: %s)", v.Rule, v.Request, v.Process, v.At.Seconds(), v.Detail, v.Log)
}
