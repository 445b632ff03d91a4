package config

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"weirhaven/policy"
)

var idempotencyBySemantics = map[string]policy.Idempotency{"repeatable": policy.Idempotent, "by_key": policy.IdempotentByKey,
	"once": policy.NotIdempotent}

// ParseSettings parses the settings object, which a simulated gateway gets in its first message and a real one in its
// configuration. It ignores unknown keys; a missing key leaves the setting at 0 or off. It returns an error if v is not an
// object or a class has unknown semantics; it doesn't check the values themselves.
func ParseSettings(v *fastjson.Value, seed int64) (policy.Settings, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return policy.Settings{}, errors.New("not an object")
	}
	settings := policy.Settings{
		Seed:             seed,
		Ordinal:          v.GetInt("ordinal"),
		Gateways:         v.GetInt("balancers"),
		PollEndpointList: stringAt(v, "discovery") == "ask",
		TimerResolution:  microseconds(v, "resolution_us"),
		TypicalUnits:     v.GetFloat64("family_info", "usual_units"),
	}
	readCapabilities(v, &settings)
	readContract(v, &settings)
	for _, value := range v.GetArray("plans") {
		settings.Plans = append(settings.Plans, parsePlan(value))
	}
	writes := v.GetArray("family_info", "changes_data")
	for i, value := range v.GetArray("classes") {
		class, err := parseClass(value)
		if err != nil {
			return settings, err
		}
		class.Writes = i < len(writes) && writes[i].Type() == fastjson.TypeTrue
		settings.Classes = append(settings.Classes, class)
	}
	return settings, nil
}

// readCapabilities reads which features the gateway may use, and whether clients mark retries.
func readCapabilities(v *fastjson.Value, settings *policy.Settings) {
	settings.Hedging = v.GetBool("limits", "second_copies")
	settings.CanCancel = v.GetBool("limits", "cancel")
	settings.HealthChecks = v.GetBool("limits", "may_probe")
	settings.Gossip = v.GetBool("limits", "peers")
	settings.MaxAttempts = v.GetInt("limits", "max_attempts")
	settings.ClientsMarkRetries = v.GetBool("client_habits", "marks_retry")
	if v.GetBool("limits", "retry_after") {
		settings.MaxRetryAfter = microseconds(v, "limits", "max_retry_after_us")
	}
}

// readContract reads the limits and guarantees of the endpoints and the platform.
func readContract(v *fastjson.Value, settings *policy.Settings) {
	settings.MaxListAge = microseconds(v, "contract", "ask_within_us")
	settings.DrainGrace = microseconds(v, "contract", "drain_grace_us")
	settings.SlowStartShare = v.GetFloat64("contract", "cold_from")
	settings.SlowStartTime = microseconds(v, "contract", "cold_us")
	settings.SlowStartUnits = v.GetFloat64("family_info", "cold_units")
	settings.OverloadFactor = v.GetFloat64("contract", "fall_multiple")
	settings.OverloadWindow = microseconds(v, "contract", "overload_for_us")
	settings.RetryBudget = v.Exists("contract", "resend_ratio") || v.Exists("contract", "free_resends")
	settings.RetryBudgetFree = v.GetFloat64("contract", "free_resends")
	settings.RetryBudgetRatio = v.GetFloat64("contract", "resend_ratio")
	settings.RetryBudgetWindow = microseconds(v, "contract", "budget_span_us")
	settings.OrderingCooldown = microseconds(v, "contract", "key_rest_us")
}

func parseClass(v *fastjson.Value) (policy.RequestClass, error) {
	idempotency, ok := idempotencyBySemantics[stringAt(v, "semantics")]
	if !ok {
		return policy.RequestClass{}, fmt.Errorf("class %s: unknown semantics %s", v.Get("name"), v.Get("semantics"))
	}
	return policy.RequestClass{
		Name:              stringAt(v, "name"),
		LatencyObjective:  microseconds(v, "aim_us"),
		Timeout:           microseconds(v, "give_up_us"),
		PriorityWeight:    v.GetFloat64("worth"),
		LateValue:         v.GetFloat64("late_value"),
		Idempotency:       idempotency,
		IdempotencyWindow: microseconds(v, "window_us"),
		IdempotencyScope:  policy.IdempotencyScope(stringAt(v, "group")),
		Ordered:           v.GetBool("in_order"),
	}, nil
}

func parsePlan(v *fastjson.Value) policy.ServicePlan {
	return policy.ServicePlan{
		Name:         stringAt(v, "name"),
		NominalRate:  v.GetFloat64("nominal"),
		Reservation:  v.GetFloat64("guaranteed"),
		Limit:        v.GetFloat64("never_over"),
		Burst:        v.GetFloat64("cap_depth"),
		InitialBurst: v.GetFloat64("cap_slack"),
		Weight:       v.GetFloat64("parts"),
	}
}
