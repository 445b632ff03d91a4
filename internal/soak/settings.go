package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"weirhaven/internal/fake/agent"
	"weirhaven/internal/pb"
)

// Settings of the fleet of a run.
const (
	shardCount        = 8
	gatewaysPerVolume = 3 // number of processes that receive the requests of a volume
	drainGrace        = 250 * time.Millisecond
	answerSlack       = 500 * time.Millisecond // time after the deadline; a request without a response by then is lost
	idempotencyWindow = 500 * time.Millisecond // time for which an endpoint remembers an idempotency key
	collapseMultiple  = 2                      // multiple of its capacity at which an endpoint in slow start collapses ...
	collapseAfter     = time.Second            // ... if the work arrives within this time
	slowStartDuration = 8 * time.Second
	slowStartFraction = 0.05 // share of its capacity that an endpoint has at its start
	slowStartUnits    = 40   // most units of a request that an endpoint in slow start may receive
	unitWork          = 2 * time.Millisecond
	meanUnits         = 1.5 // mean units of a request
	maxAttempts       = 3
	killGrace         = 700 * time.Millisecond // time between the longest deadline and SIGKILL
	// newClientsAfterStop is how long after SIGTERM clients still open new connections.
	newClientsAfterStop = 400 * time.Millisecond
)

var nodeKind = &pb.BrickKind{Name: "usual", UnitWork: unitWork.String(), Vary: 0.3, Queue: 200, ColdFrom: slowStartFraction, ColdFor: slowStartDuration.String(),
	Cancel: pb.BrickKind_DROPS_WAITING, DropsExpired: true}

// class is a request class.
type class struct {
	name           string
	method         string
	semantics      string
	auditSemantics pb.Semantics
	idempotencyKey bool    // requests carry an idempotency key
	requestShare   float64 // share of all requests, 0 to 1
}

var classes = []class{
	{name: "read", method: "GET", semantics: "repeatable", auditSemantics: pb.Semantics_RETRYABLE, requestShare: 0.6},
	{name: "write", method: "PUT", semantics: "once", auditSemantics: pb.Semantics_NON_RETRYABLE, requestShare: 0.25},
	{name: "append", method: "PUT", semantics: "by_key", auditSemantics: pb.Semantics_TAGGED, idempotencyKey: true, requestShare: 0.15},
}

// writeClasses returns, by class name, whether the requests of a class change data.
func writeClasses() map[string]bool {
	m := map[string]bool{}
	for _, c := range classes {
		m[c.name] = c.method == "PUT"
	}
	return m
}

// limitedPlanIndex is the index of the plan with a limit.
const limitedPlanIndex = 1

var plans = []*pb.Plan{
	{Name: "open", Nominal: 20, Reservation: 4, Weight: 1, Importance: 1},
	{Name: "limited", Nominal: 10, Limit: 12, Depth: 36, Slack: 12, Weight: 1, Importance: 1},
}

// auditHeader returns the header of the record, with the settings that the audit judges by.
func auditHeader(seed int64, processes int, limits Deployment) *pb.Header {
	header := &pb.Header{Seed: seed, Drill: "soak", Hosts: uint32(processes), Plan: plans, Blur: int64(observationDelay),
		Fleet: &pb.Fleet{Cancel: true, MaxDispatches: maxAttempts, AnswerSlack: answerSlack.String(), Resolution: "2ms", DrainGrace: drainGrace.String(),
			ColdFrom: slowStartFraction, ColdFor: slowStartDuration.String(), ColdUnits: slowStartUnits, FallMultiple: collapseMultiple, FallAfter: collapseAfter.String(), UsualUnits: meanUnits, MostUnits: 8}}
	for _, c := range classes {
		header.QueueType = append(header.QueueType, &pb.QueueType{Name: c.name, ServiceTarget: limits.latencyObjective().String(), CommandTimeout: limits.RequestTimeout.String(), TagWindow: idempotencyWindow.String(),
			Importance: 1, Semantics: c.auditSemantics, Writes: c.method == "PUT"})
	}
	return header
}

// object is a JSON object of the configuration file.
type object = map[string]any

// configuration encodes a process's configuration file.
func configuration(p *process, known agent.List, processes int) ([]byte, error) {
	limits := p.run.deployment
	var classObjects, planObjects []object
	changesData := []bool{}
	for _, c := range classes {
		classObjects = append(classObjects, object{"name": c.name, "aim_us": micros(limits.latencyObjective()), "give_up_us": micros(limits.RequestTimeout), "window_us": micros(idempotencyWindow),
			"worth": 1, "late_value": 0.5, "semantics": c.semantics, "group": "all"})
		changesData = append(changesData, c.method == "PUT")
	}
	for _, plan := range plans {
		planObjects = append(planObjects, object{"name": plan.Name, "nominal": plan.Nominal, "guaranteed": plan.Reservation, "never_over": plan.Limit, "cap_depth": plan.Depth,
			"cap_slack": plan.Slack, "parts": plan.Weight, "worth_factor": 1})
	}
	return json.Marshal(object{"name": p.name(), "listen": p.address, "discovery": p.agent.Address(), "seed": fmt.Sprintf("%016x", 7919*(p.number+1)),
		"limits": object{"cores": limits.cores(), "memory_mb": limits.MemoryMB, "sockets": limits.Sockets}, "known": known,
		"settings": object{"balancers": processes, "zone": "a", "discovery": "push", "resolution_us": 2000, "classes": classObjects, "plans": planObjects,
			"limits": object{"second_copies": false, "cancel": true, "max_attempts": maxAttempts, "connect_timeout_us": micros(250 * time.Millisecond),
				"conn_idle_us": micros(20 * time.Second), "retry_after": true, "max_retry_after_us": micros(time.Second)},
			"client_habits": object{"marks_retry": true},
			"contract": object{"drain_grace_us": micros(drainGrace), "cold_from": slowStartFraction, "cold_us": micros(slowStartDuration), "fall_multiple": collapseMultiple,
				"overload_for_us": micros(collapseAfter), "answer_slack_us": 8000, "ask_within_us": micros(10 * time.Second)},
			"family_info": object{"cold_units": slowStartUnits, "changes_data": changesData, "tells_elsewhere": true, "usual_units": meanUnits, "units_top": 8}}})
}

func micros(d time.Duration) int64 { return d.Microseconds() }
