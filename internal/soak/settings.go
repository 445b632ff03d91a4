package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"weirhaven/internal/fake/agent"
	"weirhaven/internal/pb"
)

// The fleet of a run.
const (
	cells        = 8
	volumeHosts  = 3 // processes through which a volume's requests come
	requestTime  = time.Second
	drainGrace   = 250 * time.Millisecond
	answerSlack  = 500 * time.Millisecond // a later answer is a lost request
	tagWindow    = 500 * time.Millisecond
	fallMultiple = 2
	fallAfter    = time.Second
	coldFor      = 8 * time.Second
	coldFrom     = 0.05
	coldUnits    = 40
	unitWork     = 2 * time.Millisecond
	usualUnits   = 1.5
	maxAttempts  = 3
	sockets      = 96
	memoryMB     = 64
	killGrace    = 700 * time.Millisecond
)

var serverKind = &pb.BrickKind{Name: "usual", UnitWork: unitWork.String(), Vary: 0.3, Queue: 200, ColdFrom: coldFrom, ColdFor: coldFor.String(),
	Cancel: pb.BrickKind_DROPS_WAITING, DropsExpired: true}

// class is one class of requests.
type class struct {
	name      string
	method    string
	semantics string
	judged    pb.Semantics
	tagged    bool
	share     float64
}

var classes = []class{
	{name: "read", method: "GET", semantics: "repeatable", judged: pb.Semantics_RETRYABLE, share: 0.6},
	{name: "write", method: "PUT", semantics: "once", judged: pb.Semantics_NON_RETRYABLE, share: 0.25},
	{name: "append", method: "PUT", semantics: "by_key", judged: pb.Semantics_TAGGED, tagged: true, share: 0.15},
}

func writes() map[string]bool {
	m := map[string]bool{}
	for _, c := range classes {
		m[c.name] = c.method == "PUT"
	}
	return m
}

const limitedPlan = 1

var plans = []*pb.Plan{
	{Name: "open", Nominal: 20, Reservation: 4, Weight: 1, Importance: 1},
	{Name: "limited", Nominal: 10, Limit: 12, Depth: 36, Slack: 12, Weight: 1, Importance: 1},
}

// header is what the audit judges by.
func header(seed int64, processes int) *pb.Header {
	h := &pb.Header{Seed: seed, Drill: "soak", Hosts: uint32(processes), Plan: plans, Blur: int64(blur),
		Fleet: &pb.Fleet{Cancel: true, MaxDispatches: maxAttempts, AnswerSlack: answerSlack.String(), Resolution: "2ms", DrainGrace: drainGrace.String(),
			ColdFrom: coldFrom, ColdFor: coldFor.String(), ColdUnits: coldUnits, FallMultiple: fallMultiple, FallAfter: fallAfter.String(), UsualUnits: usualUnits, MostUnits: 8}}
	for _, c := range classes {
		h.QueueType = append(h.QueueType, &pb.QueueType{Name: c.name, ServiceTarget: "400ms", CommandTimeout: requestTime.String(), TagWindow: tagWindow.String(),
			Importance: 1, Semantics: c.judged, Writes: c.method == "PUT"})
	}
	return h
}

type object = map[string]any

// configuration is a process's configuration file.
func configuration(p *process, known agent.List, processes int) ([]byte, error) {
	var kinds, tiers []object
	changes := []bool{}
	for _, c := range classes {
		kinds = append(kinds, object{"name": c.name, "aim_us": micros(400 * time.Millisecond), "give_up_us": micros(requestTime), "window_us": micros(tagWindow),
			"worth": 1, "late_value": 0.5, "semantics": c.semantics, "group": "all"})
		changes = append(changes, c.method == "PUT")
	}
	for _, t := range plans {
		tiers = append(tiers, object{"name": t.Name, "nominal": t.Nominal, "guaranteed": t.Reservation, "never_over": t.Limit, "cap_depth": t.Depth,
			"cap_slack": t.Slack, "parts": t.Weight, "worth_factor": 1})
	}
	return json.Marshal(object{"name": p.name(), "listen": p.address, "discovery": p.agent.Address(), "seed": fmt.Sprintf("%016x", 7919*(p.number+1)),
		"limits": object{"cores": 0.5, "memory_mb": memoryMB, "sockets": sockets}, "known": known,
		"settings": object{"balancers": processes, "zone": "a", "discovery": "push", "resolution_us": 2000, "classes": kinds, "plans": tiers,
			"limits": object{"second_copies": false, "cancel": true, "max_attempts": maxAttempts, "connect_timeout_us": micros(250 * time.Millisecond),
				"conn_idle_us": micros(20 * time.Second), "retry_after": true, "max_retry_after_us": micros(time.Second)},
			"client_habits": object{"marks_retry": true},
			"contract": object{"drain_grace_us": micros(drainGrace), "cold_from": coldFrom, "cold_us": micros(coldFor), "fall_multiple": fallMultiple,
				"overload_for_us": micros(fallAfter), "answer_slack_us": 8000, "ask_within_us": micros(10 * time.Second)},
			"family_info": object{"cold_units": coldUnits, "changes_data": changes, "tells_elsewhere": true, "usual_units": usualUnits, "units_top": 8}}})
}

func micros(d time.Duration) int64 { return d.Microseconds() }
