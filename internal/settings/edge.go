package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"go4.org/netipx"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
	"weirhaven/policy"
)

// LoadEdge reads and checks a host's settings.
func LoadEdge(file string) (*pb.Edge, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseEdge(file, text)
}

// ParseEdge is LoadEdge on a text.
func ParseEdge(file string, text []byte) (*pb.Edge, error) {
	e := &pb.Edge{}
	c, err := parse(file, text, e)
	if err != nil {
		return nil, err
	}
	c.edge(e)
	if err = errors.Join(c.faults...); err != nil {
		return nil, err
	}
	return e, nil
}

// edge checks what no single field tells.
func (c *checker) edge(e *pb.Edge) {
	plans := map[string]bool{}
	for i, p := range e.Plan {
		plans[p.Name] = true
		if p.Limit > 0 && p.Reservation > p.Limit {
			c.across(fmt.Sprintf("plan[%d].reservation", i), fmt.Sprint(p.Reservation),
				"over the plan's limit; allowed: at most %v", p.Limit)
		}
		if p.Limit > 0 && p.Depth <= 0 {
			c.across(fmt.Sprintf("plan[%d].depth", i), "", "missing; a plan with a limit needs a store above 0")
		}
	}
	for i, v := range e.Volume {
		if !plans[v.Plan] {
			c.across(fmt.Sprintf("volume[%d].plan", i), strconv.Quote(v.Plan), "no plan of that name")
		}
		if v.Hosts > e.Hosts {
			c.across(fmt.Sprintf("volume[%d].hosts", i), fmt.Sprint(v.Hosts), "more than there are; allowed: 1 to %d", e.Hosts)
		}
	}
	if e.Hosts > 0 && e.Ordinal >= e.Hosts {
		c.across("ordinal", fmt.Sprint(e.Ordinal), "out of range; allowed: 0 to %d", e.Hosts-1)
	}
	for i, n := range e.Network {
		if _, err := netip.ParsePrefix(n); err != nil {
			c.across(fmt.Sprintf("network[%d]", i), strconv.Quote(n), "not a network such as 127.0.0.0/8")
		}
	}
	if o := e.Objects; o != nil {
		for field, name := range map[string]string{"objects.read_type": o.ReadType, "objects.write_type": o.WriteType} {
			i := slices.IndexFunc(e.QueueType, func(q *pb.QueueType) bool { return q.Name == name })
			if i < 0 {
				c.across(field, strconv.Quote(name), "no queue type of that name")
			} else if e.QueueType[i].Writes != (field == "objects.write_type") {
				c.across(field, strconv.Quote(name), "allowed: a queue type that reads for read_type, one that writes for write_type")
			}
		}
	}
	if e.Planner != nil && e.Store == "" {
		c.across("store", "", "missing; a planner's view is kept beside it")
	}
	f := e.Fleet
	if f == nil {
		return
	}
	resolution := Duration(f.Resolution, 0)
	for i, q := range e.QueueType {
		field := fmt.Sprintf("queue_type[%d].", i)
		target, timeout := Duration(q.ServiceTarget, 0), Duration(q.CommandTimeout, 0)
		if target > timeout {
			c.across(field+"service_target", q.ServiceTarget, "longer than the command timeout %s", q.CommandTimeout)
		}
		if idle := Bounds(e.Bounds).Idle; idle <= timeout { // else a connection ends under a command that waits
			c.across("bounds.idle", idle.String(), "allowed: longer than the command timeout %s of %s", q.CommandTimeout, q.Name)
		}
		if timeout <= 4*resolution {
			c.across(field+"command_timeout", q.CommandTimeout, "allowed: more than four times the resolution %s", f.Resolution)
		}
		if q.Semantics == pb.Semantics_TAGGED && Duration(q.TagWindow, 0) <= 0 {
			c.across(field+"tag_window", "", "missing; a tagged queue type needs one")
		}
	}
	if f.ListAsked && Duration(f.AskWithin, 0) <= 0 {
		c.across("fleet.ask_within", "", "missing; a list that is asked for needs it")
	}
	if Duration(f.ColdFor, 0) > 0 && (f.ColdFrom <= 0 || f.ColdUnits <= 0 || f.FallMultiple <= 0 || Duration(f.FallAfter, 0) <= 0) {
		c.across("fleet.cold_for", f.ColdFor, "needs cold_from, cold_units, fall_multiple and fall_after too")
	}
	if f.MostUnits < f.UsualUnits {
		c.across("fleet.most_units", fmt.Sprint(f.MostUnits), "less than usual_units %v", f.UsualUnits)
	}
	if f.Peers && e.PeerListen == "" {
		c.across("peer_listen", "", "missing; fleet.peers needs it")
	}
	if e.Log != nil {
		if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, e.Log.Level) {
			c.across("log.level", strconv.Quote(e.Log.Level), "allowed: debug, info, warn, error")
		}
		if !slices.Contains([]string{"", "text", "json"}, e.Log.Form) {
			c.across("log.form", strconv.Quote(e.Log.Form), "allowed: text, json")
		}
	}
}

var marshal = prototext.MarshalOptions{Multiline: true}

var semantics = map[pb.Semantics]policy.Idempotency{pb.Semantics_RETRYABLE: policy.Idempotent,
	pb.Semantics_TAGGED: policy.IdempotentByKey, pb.Semantics_NON_RETRYABLE: policy.NotIdempotent}

var groups = map[pb.Group]policy.IdempotencyScope{pb.Group_ALL: policy.ScopeFleet, pb.Group_ZONE: policy.ScopeZone, pb.Group_CELL: policy.ScopeShard}

// Policy hands checked settings over to the module; seed is used where they name none.
func Policy(e *pb.Edge, seed int64) policy.Settings {
	f := e.Fleet
	if e.Seed != 0 {
		seed = e.Seed
	}
	s := policy.Settings{
		Seed: seed, Ordinal: int(e.Ordinal), Gateways: int(e.Hosts),
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
	for _, q := range e.QueueType {
		s.Classes = append(s.Classes, policy.RequestClass{Name: q.Name,
			LatencyObjective: Duration(q.ServiceTarget, 0), Timeout: Duration(q.CommandTimeout, 0),
			IdempotencyWindow: Duration(q.TagWindow, 0), PriorityWeight: q.Importance, LateValue: q.LateShare,
			Idempotency: semantics[q.Semantics], IdempotencyScope: groups[q.Group],
			Ordered: q.InOrder, Writes: q.Writes})
	}
	for _, p := range e.Plan {
		s.Plans = append(s.Plans, policy.ServicePlan{Name: p.Name, NominalRate: p.Nominal, Reservation: p.Reservation,
			Limit: p.Limit, Burst: p.Depth, InitialBurst: p.Slack, Weight: p.Weight})
	}
	return s
}

// DefaultListFresh is the setting list_fresh where it is absent.
const DefaultListFresh = 5 * time.Minute

// Beliefs are the rules by which a host believes lines about bricks.
func Beliefs(e *pb.Edge) (endpointstate.Rules, error) {
	r := endpointstate.Rules{Fresh: Duration(e.ListFresh, DefaultListFresh), Expire: Duration(e.ListDead, 90*24*time.Hour), StartTolerance: 500 * time.Millisecond,
		GreetingValid: 5 * time.Second}
	if len(e.Network) == 0 {
		return r, nil
	}
	var b netipx.IPSetBuilder
	for i, n := range e.Network {
		p, err := netip.ParsePrefix(n)
		if err != nil {
			return r, fmt.Errorf("network[%d]: %q is not a network such as 127.0.0.0/8", i, n)
		}
		b.AddPrefix(p)
	}
	set, err := b.IPSet()
	r.Networks = set
	return r, err
}

// Limits are a host's bounds with the defaults filled in.
type Limits struct {
	Commands, Connections, LoopQueue, BrickQueue, Body int
	Idle, Stall, Connect, Probe                        time.Duration
}

// Bounds fills in what is absent.
func Bounds(b *pb.Bounds) Limits {
	if b == nil {
		b = &pb.Bounds{}
	}
	or := func(n uint32, none int) int {
		if n > 0 {
			return int(n)
		}
		return none
	}
	return Limits{Commands: or(b.CommandsAConnection, 1024), Connections: or(b.Connections, 1024),
		LoopQueue: or(b.LoopQueue, 8192), BrickQueue: or(b.BrickQueue, 1024), Body: or(b.Body, 1<<20),
		Idle: Duration(b.Idle, 30*time.Second), Stall: Duration(b.Stall, 5*time.Second),
		Connect: Duration(b.Connect, 250*time.Millisecond), Probe: Duration(b.Probe, 250*time.Millisecond)}
}

// Text spells settings as they are read.
func Text(m proto.Message) ([]byte, error) { return marshal.Marshal(m) }
