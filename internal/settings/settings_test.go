package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/pb"
)

const good = `name: "host-0"
listen: "127.0.0.1:0"
hosts: 2
fleet {
  max_dispatches: 3
  resolution: "10ms"
  usual_units: 2
  most_units: 8
}
queue_type { name: "read" service_target: "200ms" command_timeout: "1s" importance: 3 }
plan { name: "basic" nominal: 4 limit: 8 depth: 10 weight: 1 }
volume { name: "v1" plan: "basic" hosts: 2 }
`

// Each mistake in a settings file must be reported with its file, line, field, value and the allowed values, and all mistakes at once.
func TestFaultText(t *testing.T) {
	for _, c := range []struct{ old, new, says string }{
		{"", "", ""},
		{"hosts: 2\nfleet", "hosts: 0\nfleet", "e.txtpb:3: hosts: 0: must be given; allowed: 1 to 65535"},
		{"nominal: 4 limit", "nominal: -1 limit", "e.txtpb:11: plan[0].nominal: -1: out of range; allowed: 0.001 to 1e9"},
		{"nominal: 4 limit", "nominal: nan limit", "e.txtpb:11: plan[0].nominal: NaN: out of range"},
		{`"10ms"`, `"10"`, `e.txtpb:6: fleet.resolution: "10": not a duration such as "250ms"; allowed: 100us to 1s`},
		{`"10ms"`, `"10s"`, `e.txtpb:6: fleet.resolution: "10s": out of range; allowed: 100us to 1s`},
		{`"127.0.0.1:0"`, `"here"`, `e.txtpb:2: listen: "here": not an address`},
		{`"host-0"`, `"host 0"`, `e.txtpb:1: name: "host 0": not a name`},
		{`plan: "basic" hosts: 2`, `plan: "gold" hosts: 2`, `e.txtpb:12: volume[0].plan: "gold": no plan of that name`},
		{`plan: "basic" hosts: 2`, `plan: "basic" hosts: 3`, "e.txtpb:12: volume[0].hosts: 3: more than there are; allowed: 1 to 2"},
		{`service_target: "200ms"`, `service_target: "2s"`, "e.txtpb:10: queue_type[0].service_target: 2s: longer than the command timeout 1s"},
		{`importance: 3 }`, `importance: 3 semantics: TAGGED }`, "e.txtpb:10: queue_type[0].tag_window: missing"},
		{`limit: 8`, `limit: 8 reservation: 9`, "e.txtpb:11: plan[0].reservation: 9: over the plan's limit; allowed: at most 8"},
		{"max_dispatches: 3", "max_dispatches: 3 list_asked: true", "fleet.ask_within: missing"},
		{"max_dispatches: 3", "max_dispatches: 3 cold_for: \"9s\"", "e.txtpb:5: fleet.cold_for: 9s: needs cold_from"},
		{"max_dispatches: 3", "max_dispatchs: 3", "e.txtpb:5: unknown field: max_dispatchs"},
		{"semantics", "", ""},
		{`volume { name: "v1"`, `volume { name: "v1" plan: "basic" hosts: 1 } volume { name: "v1"`, `volume[1].name: "v1": duplicate name`},
		{"hosts: 2\nfleet", "hosts: 2 ordinal: 2\nfleet", "e.txtpb:3: ordinal: 2: out of range; allowed: 0 to 1"},
		{"hosts: 2\nfleet", "hosts: 2 log { level: \"loud\" }\nfleet", `log.level: "loud": allowed: debug, info, warn, error`},
		{"hosts: 2\nfleet", "hosts: 2 }\nfleet", "e.txtpb:3:"},
	} {
		_, err := ParseGateway("e.txtpb", []byte(strings.Replace(good, c.old, c.new, 1)))
		if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s -> %s: %v\nwanted %q", c.old, c.new, err, c.says)
		}
	}
	if _, err := ParseGateway("e.txtpb", nil); err == nil || strings.Count(err.Error(), "\n") < 4 {
		t.Errorf("an empty file must be reported with all its missing fields: %v", err)
	}
}

// Each scheduler setting must arrive in the field of policy.Settings that it is mapped to.
func TestPolicy(t *testing.T) {
	text := strings.Replace(good, "max_dispatches: 3", `max_dispatches: 3 list_asked: true ask_within: "5s" second_copies: true
		cancel: true probe: true peers: true max_pause: "1s" clients_mark_repeats: true answer_slack: "30ms" drain_grace: "250ms"
		cold_from: 0.2 cold_for: "4s" cold_units: 40 fall_multiple: 2 fall_after: "1s" budget { free: 3 share: 0.25 span: "3s" }
		key_rest: "200ms" meter: "500ms" tells_elsewhere: true`, 1) + `peer_listen: "127.0.0.1:0" zone: "north" ordinal: 1`
	e, err := ParseGateway("e", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s := Policy(e, 42)
	if s.Seed != 42 || s.Ordinal != 1 || s.Gateways != 2 || !s.PollEndpointList || !s.Hedging || !s.CanCancel || !s.HealthChecks || !s.Gossip ||
		s.MaxRetryAfter != time.Second || !s.ClientsMarkRetries || s.MaxAttempts != 3 ||
		s.TimerResolution != 10*time.Millisecond || s.MaxListAge != 5*time.Second || s.DrainGrace != 250*time.Millisecond || s.SlowStartShare != 0.2 ||
		s.SlowStartTime != 4*time.Second || s.SlowStartUnits != 40 || s.OverloadFactor != 2 || s.OverloadWindow != time.Second || !s.RetryBudget ||
		s.RetryBudgetFree != 3 || s.RetryBudgetRatio != 0.25 || s.RetryBudgetWindow != 3*time.Second || s.OrderingCooldown != 200*time.Millisecond ||
		s.TypicalUnits != 2 || len(s.Classes) != 1 || len(s.Plans) != 1 {
		t.Errorf("%+v", s)
	}
}

func FuzzEdge(f *testing.F) {
	f.Add(good)
	f.Add("fleet {} plan { name: 'x' } plan [{}, {}]")
	f.Add("queue_type: [ { name: \"a\" } ] # end")
	f.Fuzz(func(t *testing.T, text string) {
		if e, err := ParseGateway("fuzz", []byte(text)); err == nil {
			Policy(e, 1)
			if again, err := Text(e); err != nil {
				t.Fatal(err)
			} else if _, err := ParseGateway("again", again); err != nil {
				t.Fatalf("%s\nthe written settings can't be read: %v", again, err)
			}
		}
	})
}

// Load must fail if the file does not exist, and LoadGateway must read a file that does.
func TestLoad(t *testing.T) {
	if err := Load(filepath.Join(t.TempDir(), "none"), &pb.Edge{}); err == nil {
		t.Error("Load of a file that does not exist did not fail")
	}
	file := filepath.Join(t.TempDir(), "e.txtpb")
	os.WriteFile(file, []byte(good), 0o600)
	if e, err := LoadGateway(file); err != nil || e.Name != "host-0" {
		t.Error(err)
	}
}
