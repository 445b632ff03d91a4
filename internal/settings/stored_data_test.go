package settings

import (
	"net/netip"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
	"weirhaven/policy"
)

func storedEdge() *pb.Edge {
	return &pb.Edge{Name: "edge-a", Listen: "127.0.0.1:7001", ListService: "127.0.0.1:7002", PeerListen: "127.0.0.1:7003",
		Peer: []*pb.Peer{{Address: "127.0.0.1:7103"}, {Ordinal: 1, Address: "[::1]:7203"}},
		Brick: []*pb.BrickLine{{Name: "brick-1", Address: "127.0.0.1:7301", Zone: "north", Cell: 3},
			{Name: "brick-2", Address: "127.0.0.1:7302", Zone: "south", Cell: 4}},
		Zone: "north", Ordinal: 2, Hosts: 3, Seed: -42,
		Fleet: &pb.Fleet{ListAsked: true, AskWithin: "5s", SecondCopies: true, Cancel: true, Probe: true, Peers: true, MaxPause: "500ms",
			ClientsMarkRepeats: true, MaxDispatches: 3, AnswerSlack: "30ms", Resolution: "10ms", DrainGrace: "250ms", ColdFrom: 0.2, ColdFor: "4s",
			ColdUnits: 40, FallMultiple: 2, FallAfter: "1s", Budget: &pb.Budget{Free: 3, Share: 0.25, Span: "3s"}, KeyRest: "200ms",
			Meter: "500ms", TellsElsewhere: true, UsualUnits: 2, MostUnits: 8.5},
		QueueType: []*pb.QueueType{
			{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3, LateShare: 0.15, Streaming: true},
			{Name: "order", ServiceTarget: "250ms", CommandTimeout: "1200ms", TagWindow: "2s", Importance: 4, LateShare: 0.1,
				Semantics: pb.Semantics_TAGGED, Group: pb.Group_CELL, Writes: true},
			{Name: "log", ServiceTarget: "400ms", CommandTimeout: "1500ms", Importance: 2, LateShare: 0.2,
				Semantics: pb.Semantics_NON_RETRYABLE, Group: pb.Group_ZONE, InOrder: true, Writes: true}},
		Plan: []*pb.Plan{{Name: "basic", Nominal: 14, Reservation: 1.5, Limit: 24, Depth: 40, Slack: 8, Weight: 1, Importance: 0.8},
			{Name: "priority", Nominal: 24, Reservation: 24, Weight: 4, Importance: 1.5}},
		Volume: []*pb.Volume{{Name: "volume-1", Plan: "basic", Hosts: 2}, {Name: "volume-2", Plan: "priority", Hosts: 3}},
		Bounds: &pb.Bounds{CommandsAConnection: 100, Connections: 200, LoopQueue: 300, BrickQueue: 400, Body: 500000, Idle: "31s", Stall: "6s",
			Connect: "260ms", Probe: "270ms"},
		Log: &pb.Log{Level: "debug", Form: "json", State: "10s"}, Store: "/var/lib/weirhaven/fleet.db", ListFresh: "6m", ListDead: "2000h",
		Network: []string{"127.0.0.0/8", "::1/128"},
		Capture: &pb.Capture{Folder: "/var/lib/weirhaven/capture", MostBytes: 1 << 40, Key: "/etc/weirhaven/capture.key", On: true, Queue: 9000},
		Planner: &pb.Planner{Address: []string{"127.0.0.1:7401", "127.0.0.1:7402"}, Keys: &pb.Keys{Certificate: "/etc/weirhaven/edge-a.pem",
			Key: "/etc/weirhaven/edge-a.key", Trusted: "/etc/weirhaven/trusted.pem", Peer: []string{"weirplan*"}}, Plain: true, ServerName: "weirplan"},
		Objects: &pb.ObjectApi{Listen: "127.0.0.1:7501", Index: "/var/lib/weirhaven/index.db", Access: "/etc/weirhaven/access", ReadType: "read",
			WriteType: "order", Extent: 262144, Unit: 65536, Window: 9, Requests: 257, UploadAge: "25h", LooseAge: "2h", Skew: "16m"}}
}

func storedPolicy() policy.Settings {
	return policy.Settings{Seed: -42, Ordinal: 2, Gateways: 3,
		Classes: []policy.RequestClass{
			{Name: "read", LatencyObjective: 200 * time.Millisecond, Timeout: time.Second, PriorityWeight: 3, LateValue: 0.15,
				Idempotency: policy.Idempotent, IdempotencyScope: "all"},
			{Name: "order", LatencyObjective: 250 * time.Millisecond, Timeout: 1200 * time.Millisecond, IdempotencyWindow: 2 * time.Second, PriorityWeight: 4,
				LateValue: 0.1, Idempotency: policy.IdempotentByKey, IdempotencyScope: "cell", Writes: true},
			{Name: "log", LatencyObjective: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond, PriorityWeight: 2, LateValue: 0.2,
				Idempotency: policy.NotIdempotent, IdempotencyScope: "zone", Ordered: true, Writes: true}},
		Plans: []policy.ServicePlan{{Name: "basic", NominalRate: 14, Reservation: 1.5, Limit: 24, Burst: 40, InitialBurst: 8, Weight: 1},
			{Name: "priority", NominalRate: 24, Reservation: 24, Weight: 4}},
		PollEndpointList: true, Hedging: true, CanCancel: true, HealthChecks: true, Gossip: true, MaxRetryAfter: 500 * time.Millisecond, ClientsMarkRetries: true, MaxAttempts: 3,
		TimerResolution: 10 * time.Millisecond, MaxListAge: 5 * time.Second, DrainGrace: 250 * time.Millisecond,
		SlowStartShare: 0.2, SlowStartTime: 4 * time.Second, SlowStartUnits: 40, OverloadFactor: 2, OverloadWindow: time.Second, RetryBudget: true, RetryBudgetFree: 3,
		RetryBudgetRatio: 0.25, RetryBudgetWindow: 3 * time.Second, OrderingCooldown: 200 * time.Millisecond,
		TypicalUnits: 2}
}

// The settings of a gateway of version a32f63c, written by hand (edge.txtpb) and by its programs (edge-written.txtpb). Every later
// version must read the same from both: each field, and the scheduler settings, endpoint rules and limits derived from them.
func TestStoredEdgeSettingsAreRead(t *testing.T) {
	for _, name := range []string{"edge.txtpb", "edge-written.txtpb"} {
		e, err := LoadGateway(filepath.Join("testdata", "stored", name))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if !proto.Equal(e, storedEdge()) {
			t.Errorf("%s: %v\nwanted %v", name, e, storedEdge())
		}
		if got := Policy(e, 7); !reflect.DeepEqual(got, storedPolicy()) {
			t.Errorf("%s: %+v\nwanted %+v", name, got, storedPolicy())
		}
		if got, want := LimitsOf(e.Bounds), (Limits{RequestsPerConnection: 100, Connections: 200, LoopQueue: 300, EndpointQueue: 400, MaxBody: 500000, IdleTimeout: 31 * time.Second,
			StallTimeout: 6 * time.Second, ConnectTimeout: 260 * time.Millisecond, HealthCheckTimeout: 270 * time.Millisecond}); got != want {
			t.Errorf("%s: %+v\nwanted %+v", name, got, want)
		}
		r, err := EndpointRules(e)
		if err != nil || r.Fresh != 6*time.Minute || r.Expire != 2000*time.Hour || !r.Networks.Contains(netip.MustParseAddr("127.0.0.9")) ||
			!r.Networks.Contains(netip.MustParseAddr("::1")) || r.Networks.Contains(netip.MustParseAddr("10.0.0.1")) {
			t.Errorf("%s: %v %+v", name, err, r)
		}
	}
}

// A controller's settings of version a32f63c. Every later version must read each field.
func TestStoredPlannerSettingsAreRead(t *testing.T) {
	want := &pb.PlannerConf{Name: "planner-b", Listen: "127.0.0.1:7401", ListService: "127.0.0.1:7002", Store: "/var/lib/weirhaven/plan.db",
		Keys: &pb.Keys{Certificate: "/etc/weirhaven/weirplan.pem", Key: "/etc/weirhaven/weirplan.key", Trusted: "/etc/weirhaven/trusted.pem",
			Peer: []string{"edge-*", "weirctl"}},
		Plain: true, Fleet: &pb.Fleet{MaxDispatches: 3, Resolution: "10ms", UsualUnits: 2, MostUnits: 8},
		Plan:   []*pb.Plan{{Name: "basic", Nominal: 14, Limit: 24, Depth: 40, Weight: 1}},
		Volume: []*pb.PlannedVolume{{Name: "volume-1", Plan: "basic", Hosts: 2, Cell: []uint32{4, 3, 1_000_000}}},
		Edges:  3, Lease: "4s", AtOnce: 17, Recover: "6s", Log: &pb.Log{Level: "warn", Form: "text", State: "1m"}}
	got := &pb.PlannerConf{}
	if err := Load(filepath.Join("testdata", "stored", "planner.txtpb"), got); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(got, want) {
		t.Errorf("%v\nwanted %v", got, want)
	}
}

func storedCapacityFleet() *pb.CapacityFleet {
	return &pb.CapacityFleet{Rules: &pb.Fleet{MaxDispatches: 3, Resolution: "10ms", UsualUnits: 2, MostUnits: 8},
		QueueType: []*pb.QueueType{{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3, LateShare: 0.15}},
		Plan:      []*pb.Plan{{Name: "basic", Nominal: 14, Limit: 24, Depth: 40, Weight: 1}},
		Kind: []*pb.ServerKind{{Name: "single", Cores: 2, Queue: 40, Cost: 1.5, Cancel: pb.BrickCancel_CANCEL_DROPS_WAITING, Speed: 1.25, DropsExpired: true},
			{Name: "double", Cancel: pb.BrickCancel_CANCEL_STOPS}},
		Brick:  []*pb.Server{{Name: "brick-1", Kind: "single", Zone: "north", Cell: 3}, {Name: "brick-2", Kind: "double", Zone: "south", Cell: 4}},
		Host:   []*pb.HostLine{{Name: "edge-a", Zone: "north", Commands: 5000}},
		Volume: []*pb.PlacedVolume{{Name: "volume-1", Plan: "basic", Hosts: 2, Cell: []uint32{4, 3}}},
		Bounds: &pb.Bounds{Connections: 200},
		Client: &pb.CapacityModel_ClientModel{Repeats: 0.5, Wait: 0.08, Firsts: 100, Folded: 7, Leaves: 0.03, Most: 2, Stays: true}}
}

func storedCapacityModel() *pb.CapacityModel {
	return &pb.CapacityModel{Version: 1, Capture: "0123456789abcdef",
		Kind: []*pb.CapacityModel_KindModel{{Name: "single", Way: 0.0004, Remembers: 2, Saves: 0.4, Deferred: 0.3, Flush: 0.9, Pause: 0.12, PauseEvery: 0.6,
			Errors: 0.001, Work: []*pb.CapacityModel_Work{{QueueType: "read", Base: 0.0005, Unit: 0.004, Vary: 0.5, Samples: 1000}},
			Fit: &pb.CapacityModel_Fit{Samples: 1000, Busy: 400, Explained: 0.93, UseSeen: 0.55, UseTold: 0.56}}},
		Brick:  []*pb.CapacityModel_BrickSpeed{{Name: "brick-1", Kind: "single", Speed: 1.3, Samples: 500}},
		Client: &pb.CapacityModel_ClientModel{Repeats: 0.5, Wait: 0.08, Firsts: 100, Folded: 7, Leaves: 0.03, Most: 2, Stays: true}}
}

// A fleet description and a model learned from it, as written by weirctl of version a32f63c. Every later version must read each field.
func TestStoredCapacityFilesAreRead(t *testing.T) {
	fleet, model := &pb.CapacityFleet{}, &pb.CapacityModel{}
	if err := Load(filepath.Join("testdata", "stored", "fleet.txtpb"), fleet); err != nil {
		t.Error(err)
	}
	if !proto.Equal(fleet, storedCapacityFleet()) {
		t.Errorf("%v\nwanted %v", fleet, storedCapacityFleet())
	}
	if err := Load(filepath.Join("testdata", "stored", "model.txtpb"), model); err != nil {
		t.Error(err)
	}
	if !proto.Equal(model, storedCapacityModel()) {
		t.Errorf("%v\nwanted %v", model, storedCapacityModel())
	}
}
