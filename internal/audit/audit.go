// Package audit judges seven rules from a record of what crossed the sockets, one rule a file. It knows nothing of how a gateway
// decides: only the settings that state the rules' figures, and what clients, endpoints and discovery saw. An observer sees a
// thing a little late; each rule allows for the header's blur, the tolerance for observation delay, in the gateway's favor.
package audit

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"weirhaven/internal/pb"
)

// The numbers of the rules.
const (
	ruleFinalAnswer = iota + 1
	ruleEffectOnce
	ruleDraining
	ruleSlowStart
	ruleOrdering
	ruleRetryBudget
	ruleRateLimit
)

// Rules names the rules, from 1.
var Rules = [8]string{
	ruleFinalAnswer: "no request lost",
	ruleEffectOnce:  "no effect twice",
	ruleDraining:    "drains kept",
	ruleSlowStart:   "no warming endpoint overloaded",
	ruleOrdering:    "key order",
	ruleRetryBudget: "retry budget",
	ruleRateLimit:   "rate limits",
}

// Violation is one breaking of a rule.
type Violation struct {
	Rule        int
	At          time.Duration // on the record's clock
	Description string        `json:"What"`
	Trace       []string      // what was seen of it, as Describe spells it
}

// Verdict is what a record shows. Its JSON form keeps the names that earlier versions gave it.
type Verdict struct {
	Violations [8]int        `json:"Breaches"` // how many, by rule
	First      [8]*Violation // by rule; nil: kept
	Totals     Totals        `json:"Sums"`
	Service    []Service     // by plan and request class, sorted
}

// Kept tells whether all rules are kept.
func (v *Verdict) Kept() bool { return v.Violations == [8]int{} }

// Judge reads a whole record. It changes nothing of what it is given.
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

// Startup is the service at the beginning of a run.
type Startup struct {
	FirstServed time.Duration // from the first request to the first one served; negative: none was
	Share       float64       // of the value due for the requests first sent within the span
	Pressure    float64       // the most that a warming endpoint was sent, as a part of what overloads it
}

// JudgeStartup tells how a day began; the span counts from its first request.
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

// violation counts a violation and keeps the earliest one of each rule.
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
