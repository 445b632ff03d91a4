package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/policy"
)

var semantics = map[string]policy.Semantics{"repeatable": policy.Retryable, "by_key": policy.Tagged,
	"once": policy.NonRetryable}

// Settings reads the settings object, the one that a simulated instance gets in its first message and a real host finds
// in its configuration. A key that this page doesn't read is skipped.
func Settings(p *fastjson.Value, seed int64) (policy.Settings, error) {
	if p == nil || p.Type() != fastjson.TypeObject {
		return policy.Settings{}, errors.New("not an object")
	}
	s := policy.Settings{
		Seed: seed, Ordinal: p.GetInt("ordinal"), Hosts: p.GetInt("balancers"),
		Zone:         string(p.GetStringBytes("zone")),
		Asks:         string(p.GetStringBytes("discovery")) == "ask",
		SecondCopies: p.GetBool("limits", "second_copies"),
		Cancel:       p.GetBool("limits", "cancel"),
		Probe:        p.GetBool("limits", "may_probe"),
		Peers:        p.GetBool("limits", "peers"),
		MarksRepeat:  p.GetBool("client_habits", "marks_retry"),
		MaxDispatch:  p.GetInt("limits", "max_attempts"),
		AnswerSlack:  micros(p, "contract", "answer_slack_us"),
		Resolution:   micros(p, "resolution_us"),
		AskWithin:    micros(p, "contract", "ask_within_us"),
		DrainGrace:   micros(p, "contract", "drain_grace_us"),
		ColdFrom:     p.GetFloat64("contract", "cold_from"),
		ColdFor:      micros(p, "contract", "cold_us"),
		ColdUnits:    p.GetFloat64("family_info", "cold_units"),
		FallMultiple: p.GetFloat64("contract", "fall_multiple"),
		FallAfter:    micros(p, "contract", "overload_for_us"),
		Budgeted:     p.Exists("contract", "resend_ratio") || p.Exists("contract", "free_resends"),
		BudgetFree:   p.GetFloat64("contract", "free_resends"),
		BudgetShare:  p.GetFloat64("contract", "resend_ratio"),
		BudgetSpan:   micros(p, "contract", "budget_span_us"),
		KeyRest:      micros(p, "contract", "key_rest_us"),
		Meter:        micros(p, "family_info", "meter_period_us"),
		Elsewhere:    p.GetBool("family_info", "tells_elsewhere"),
		UsualUnits:   p.GetFloat64("family_info", "usual_units"),
		UnitsTop:     p.GetFloat64("family_info", "units_top"),
	}
	if p.GetBool("limits", "retry_after") {
		s.MaxPause = micros(p, "limits", "max_retry_after_us")
	}
	writes := p.GetArray("family_info", "changes_data")
	for i, c := range p.GetArray("classes") {
		if _, ok := semantics[string(c.GetStringBytes("semantics"))]; !ok {
			return s, fmt.Errorf("class %s: unknown semantics %s", c.Get("name"), c.Get("semantics"))
		}
		q := policy.QueueType{
			Name:           string(c.GetStringBytes("name")),
			ServiceTarget:  micros(c, "aim_us"),
			CommandTimeout: micros(c, "give_up_us"),
			Window:         micros(c, "window_us"),
			Importance:     c.GetFloat64("worth"),
			LateShare:      c.GetFloat64("late_value"),
			Semantics:      semantics[string(c.GetStringBytes("semantics"))],
			Group:          string(c.GetStringBytes("group")),
			Streaming:      c.GetBool("streaming"),
			InOrder:        c.GetBool("in_order"),
			Writes:         i < len(writes) && writes[i].Type() == fastjson.TypeTrue,
		}
		s.QueueTypes = append(s.QueueTypes, q)
	}
	for _, c := range p.GetArray("plans") {
		s.Plans = append(s.Plans, policy.Plan{
			Name:        string(c.GetStringBytes("name")),
			Nominal:     c.GetFloat64("nominal"),
			Reservation: c.GetFloat64("guaranteed"),
			Limit:       c.GetFloat64("never_over"),
			Depth:       c.GetFloat64("cap_depth"),
			Slack:       c.GetFloat64("cap_slack"),
			Weight:      c.GetFloat64("parts"),
			Importance:  c.GetFloat64("worth_factor"),
		})
	}
	return s, nil
}

func micros(v *fastjson.Value, keys ...string) time.Duration {
	return time.Duration(v.GetFloat64(keys...)) * time.Microsecond
}
