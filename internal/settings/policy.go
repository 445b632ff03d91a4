package settings

import (
	"weirhaven/internal/pb"
	"weirhaven/policy"
)

var idempotencies = map[pb.Semantics]policy.Idempotency{
	pb.Semantics_RETRYABLE:     policy.Idempotent,
	pb.Semantics_TAGGED:        policy.IdempotentByKey,
	pb.Semantics_NON_RETRYABLE: policy.NotIdempotent,
}

var scopes = map[pb.Group]policy.IdempotencyScope{
	pb.Group_ALL:  policy.ScopeFleet,
	pb.Group_ZONE: policy.ScopeZone,
	pb.Group_CELL: policy.ScopeShard,
}

// Policy converts validated settings into those of the scheduler. seed is used if the settings have none.
func Policy(conf *pb.Edge, seed int64) policy.Settings {
	if conf.Seed != 0 {
		seed = conf.Seed
	}
	f := conf.Fleet
	s := policy.Settings{
		Seed: seed, Ordinal: int(conf.Ordinal), Gateways: int(conf.Hosts),
		PollEndpointList: f.ListAsked, Hedging: f.SecondCopies, CanCancel: f.Cancel, HealthChecks: f.Probe, Gossip: f.Peers,
		MaxRetryAfter: Duration(f.MaxPause, 0), ClientsMarkRetries: f.ClientsMarkRepeats, MaxAttempts: int(f.MaxDispatches),
		TimerResolution: Duration(f.Resolution, 0),
		MaxListAge:      Duration(f.AskWithin, 0), DrainGrace: Duration(f.DrainGrace, 0),
		SlowStartShare: f.ColdFrom, SlowStartTime: Duration(f.ColdFor, 0), SlowStartUnits: f.ColdUnits,
		OverloadFactor: f.FallMultiple, OverloadWindow: Duration(f.FallAfter, 0),
		OrderingCooldown: Duration(f.KeyRest, 0),
		TypicalUnits:     f.UsualUnits,
	}
	if b := f.Budget; b != nil {
		s.RetryBudget, s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow = true, b.Free, b.Share, Duration(b.Span, 0)
	}
	for _, class := range conf.QueueType {
		s.Classes = append(s.Classes, requestClass(class))
	}
	for _, plan := range conf.Plan {
		s.Plans = append(s.Plans, servicePlan(plan))
	}
	return s
}

func requestClass(q *pb.QueueType) policy.RequestClass {
	return policy.RequestClass{Name: q.Name,
		LatencyObjective: Duration(q.ServiceTarget, 0), Timeout: Duration(q.CommandTimeout, 0),
		PriorityWeight: q.Importance, LateValue: q.LateShare,
		Idempotency: idempotencies[q.Semantics], IdempotencyScope: scopes[q.Group], IdempotencyWindow: Duration(q.TagWindow, 0),
		Ordered: q.InOrder, Writes: q.Writes}
}

func servicePlan(p *pb.Plan) policy.ServicePlan {
	return policy.ServicePlan{Name: p.Name, NominalRate: p.Nominal, Reservation: p.Reservation, Limit: p.Limit,
		Burst: p.Depth, InitialBurst: p.Slack, Weight: p.Weight}
}
