package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/policy"
)

var semantics = map[string]policy.Idempotency{"repeatable": policy.Idempotent, "by_key": policy.IdempotentByKey,
	"once": policy.NotIdempotent}

// Settings reads the settings object, the one that a simulated instance gets in its first message and a real host finds
// in its configuration. A key that this page doesn't read is skipped.
func Settings(p *fastjson.Value, seed int64) (policy.Settings, error) {
	if p == nil || p.Type() != fastjson.TypeObject {
		return policy.Settings{}, errors.New("not an object")
	}
	s := policy.Settings{
		Seed: seed, Ordinal: p.GetInt("ordinal"), Gateways: p.GetInt("balancers"),
		PollEndpointList:   string(p.GetStringBytes("discovery")) == "ask",
		Hedging:            p.GetBool("limits", "second_copies"),
		CanCancel:          p.GetBool("limits", "cancel"),
		HealthChecks:       p.GetBool("limits", "may_probe"),
		Gossip:             p.GetBool("limits", "peers"),
		ClientsMarkRetries: p.GetBool("client_habits", "marks_retry"),
		MaxAttempts:        p.GetInt("limits", "max_attempts"),
		TimerResolution:    micros(p, "resolution_us"),
		MaxListAge:         micros(p, "contract", "ask_within_us"),
		DrainGrace:         micros(p, "contract", "drain_grace_us"),
		SlowStartShare:     p.GetFloat64("contract", "cold_from"),
		SlowStartTime:      micros(p, "contract", "cold_us"),
		SlowStartUnits:     p.GetFloat64("family_info", "cold_units"),
		OverloadFactor:     p.GetFloat64("contract", "fall_multiple"),
		OverloadWindow:     micros(p, "contract", "overload_for_us"),
		RetryBudget:        p.Exists("contract", "resend_ratio") || p.Exists("contract", "free_resends"),
		RetryBudgetFree:    p.GetFloat64("contract", "free_resends"),
		RetryBudgetRatio:   p.GetFloat64("contract", "resend_ratio"),
		RetryBudgetWindow:  micros(p, "contract", "budget_span_us"),
		OrderingCooldown:   micros(p, "contract", "key_rest_us"),
		TypicalUnits:       p.GetFloat64("family_info", "usual_units"),
	}
	if p.GetBool("limits", "retry_after") {
		s.MaxRetryAfter = micros(p, "limits", "max_retry_after_us")
	}
	writes := p.GetArray("family_info", "changes_data")
	for i, c := range p.GetArray("classes") {
		if _, ok := semantics[string(c.GetStringBytes("semantics"))]; !ok {
			return s, fmt.Errorf("class %s: unknown semantics %s", c.Get("name"), c.Get("semantics"))
		}
		q := policy.RequestClass{
			Name:              string(c.GetStringBytes("name")),
			LatencyObjective:  micros(c, "aim_us"),
			Timeout:           micros(c, "give_up_us"),
			IdempotencyWindow: micros(c, "window_us"),
			PriorityWeight:    c.GetFloat64("worth"),
			LateValue:         c.GetFloat64("late_value"),
			Idempotency:       semantics[string(c.GetStringBytes("semantics"))],
			IdempotencyScope:  policy.IdempotencyScope(c.GetStringBytes("group")),
			Ordered:           c.GetBool("in_order"),
			Writes:            i < len(writes) && writes[i].Type() == fastjson.TypeTrue,
		}
		s.Classes = append(s.Classes, q)
	}
	for _, c := range p.GetArray("plans") {
		s.Plans = append(s.Plans, policy.ServicePlan{
			Name:         string(c.GetStringBytes("name")),
			NominalRate:  c.GetFloat64("nominal"),
			Reservation:  c.GetFloat64("guaranteed"),
			Limit:        c.GetFloat64("never_over"),
			Burst:        c.GetFloat64("cap_depth"),
			InitialBurst: c.GetFloat64("cap_slack"),
			Weight:       c.GetFloat64("parts"),
		})
	}
	return s, nil
}

func micros(v *fastjson.Value, keys ...string) time.Duration {
	return time.Duration(v.GetFloat64(keys...)) * time.Microsecond
}
