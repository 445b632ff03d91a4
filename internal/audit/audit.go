// Package audit checks the record of a run against seven rules, each in a file of its own. Its input is the record, which holds the
// observations of clients, endpoints and the discovery service, and the settings that set the rules' limits; it does not depend on
// the scheduler. Observations are recorded with a small delay, so each rule tolerates a delay of up to the header's blur in the
// gateway's favor.
package audit

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"weirhaven/internal/pb"
)

// Rule numbers.
const (
	ruleFinalAnswer = iota + 1
	ruleEffectOnce
	ruleDraining
	ruleSlowStart
	ruleOrdering
	ruleRetryBudget
	ruleRateLimit
)

// Rules holds the name of each rule by its number, from 1.
var Rules = [8]string{
	ruleFinalAnswer: "no request lost",
	ruleEffectOnce:  "no effect twice",
	ruleDraining:    "drains kept",
	ruleSlowStart:   "no warming endpoint overloaded",
	ruleOrdering:    "key order",
	ruleRetryBudget: "retry budget",
	ruleRateLimit:   "rate limits",
}

// Violation is one violation of a rule.
type Violation struct {
	Rule        int
	At          time.Duration // on the record's clock
	Description string        `json:"What"`
	Trace       []string      // the observations that show it, formatted by Describe
}

// Verdict is the result of auditing a record. Its JSON form keeps the field names of earlier versions.
type Verdict struct {
	Violations [8]int        `json:"Breaches"` // number of violations by rule
	First      [8]*Violation // earliest violation by rule; nil if there is none
	Totals     Totals        `json:"Sums"`
	Service    []Service     // by plan and request class, sorted
}

// Kept reports whether no rule is violated.
func (v *Verdict) Kept() bool { return v.Violations == [8]int{} }

// Judge audits a whole record. It does not modify its arguments.
func Judge(header *pb.Header, seen []*pb.Seen) *Verdict {
	a := newAuditor(header, seen)
	for _, r := range a.requests {
		a.judgeFinalAnswer(r)
		a.judgeEffects(r)
	}
	a.judgeDraining()
	a.judgeSlowStart()
	a.judgeOrdering()
	a.judgeRetryBudget()
	a.judgeRateLimits()
	a.measureService()
	return a.verdict
}

// Startup describes the service at the beginning of a run.
type Startup struct {
	FirstServed time.Duration // time from the first request to the first served response; negative if there was none
	Share       float64       // value served as a share of the value due, for requests first sent within the span
	Pressure    float64       // peak load of an endpoint in slow start, as a share of the load that overloads it
}

// JudgeStartup measures the start of a run: the given time span from its first request.
func JudgeStartup(header *pb.Header, seen []*pb.Seen, span time.Duration) Startup {
	a := newAuditor(header, seen)
	a.judgeSlowStart()
	if len(a.requests) == 0 {
		return Startup{Pressure: a.pressure}
	}
	begin := at(a.requests[0].sent)
	a.requests = slices.DeleteFunc(a.requests, func(r *request) bool {
		first := a.byID[r.sent.First]
		return first == nil || at(first.sent) > begin+span
	})
	a.measureService()
	return Startup{FirstServed: a.firstServed(begin), Share: a.verdict.Total().Share(), Pressure: a.pressure}
}

func (a *auditor) firstServed(begin time.Duration) time.Duration {
	for _, s := range a.seen {
		if s.What == pb.Seen_ANSWERED && s.How == statusServed {
			return at(s) - begin
		}
	}
	return -1
}

// violation counts a violation and keeps the earliest violation of each rule.
func (a *auditor) violation(rule int, when time.Duration, trace []*pb.Seen, format string, args ...any) {
	a.verdict.Violations[rule]++
	if first := a.verdict.First[rule]; first != nil && first.At <= when {
		return
	}
	v := &Violation{Rule: rule, At: when, Description: fmt.Sprintf(format, args...)}
	for _, s := range trace {
		v.Trace = append(v.Trace, Describe(s))
	}
	a.verdict.First[rule] = v
}

func newAuditor(header *pb.Header, seen []*pb.Seen) *auditor {
	a := &auditor{
		header:               header,
		seen:                 slices.Clone(seen),
		observationTolerance: time.Duration(header.Blur),
		verdict:              &Verdict{},
		byID:                 map[uint64]*request{},
		gatewaysDown:         map[gateway]*pb.Seen{},
		listings:             map[gateway]map[string][]listing{},
	}
	sort.SliceStable(a.seen, func(i, j int) bool { return a.seen[i].At < a.seen[j].At })
	a.index()
	return a
}
