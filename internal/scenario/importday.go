package scenario

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"weirhaven/internal/pb"
)

// Scale limits the size of a scenario that is made of an imported day file.
type Scale struct {
	Gateways, Endpoints int
	Length              time.Duration
}

// day holds the fields of a bench day file that a scenario can be made of. Times are in microseconds.
type day struct {
	Site    string
	Kind    string
	Length  float64
	Zones   []any
	Traffic struct{ Load float64 }
	Clients struct {
		Retries       int
		BackoffUS     float64 `json:"backoff_us"`
		Honour        float64
		MaxRetryAfter float64 `json:"max_retry_after"`
		Impatient     float64
		MarksRetry    bool `json:"marks_retry"`
	}
	Discovery struct {
		Ask    bool
		Notice float64
	}
	Allow struct {
		Probes, Peers, Cancel bool
		SecondCopies          bool `json:"second_copies"`
		RetryAfter            bool `json:"retry_after"`
		MaxAttempts           int  `json:"max_attempts"`
	}
	DrainGrace   float64 `json:"drain_grace"`
	FallMultiple float64 `json:"fall_multiple"`
	FallFor      float64 `json:"fall_for"`
	Budget       *struct{ Share, Free, Window float64 }
	Classes      []struct {
		Name          string
		Share         float64
		Aim, Deadline float64
		Worth         float64
		LateWorth     float64 `json:"late_worth"`
		Effect, Group string
		Window        float64
		Stream, Write bool
		CV            float64
		InOrder       bool `json:"in_order"`
	}
	Tenants []struct{ Name string }
	Tiers   []struct {
		Kinds []struct {
			Name         string
			Cores        float64
			Queue        int
			ColdFrom     float64 `json:"cold_from"`
			Cold         float64
			PauseEvery   float64 `json:"pause_every"`
			ErrorRate    float64 `json:"error_rate"`
			Cancel       string
			DropsExpired bool `json:"drops_expired"`
			Thrash       float64
		}
		ProbeWork float64 `json:"probe_work"`
		ProbeDeep bool    `json:"probe_deep"`
	}
	Servers []struct {
		Zone, Kind int
		Speed      float64
		Up         bool
	}
	Balancers []any
	Troubles  []struct {
		Kind        string
		At, Len     float64
		Size, Extra float64
		On          []int
		Which       int
		How         string
		Steps       []struct{ Stop []int }
	}
	Fam *struct {
		Defer, Flush        float64
		MeanUnits           float64 `json:"mean_units"`
		MostUnits           float64 `json:"most_units"`
		Meter, Reread, Seek float64
		Remembers           int
		Tells               string
		UnitWork            float64 `json:"unit_work"`
		Plans               []struct {
			Limit                float64
			LimitBurst           float64 `json:"limit_burst"`
			Price, Rate, Reserve float64
			Slack, Weight        float64
		}
		Volumes []struct {
			Base, High float64
			Hosts      int
			Nodes      []int
			Plan       int
		}
	}
}

var faultKinds = map[string]pb.Trouble_Kind{"ageing": pb.Trouble_AGEING, "answer_lost": pb.Trouble_ANSWER_LOST,
	"balancer_crash": pb.Trouble_HOST_CRASH, "balancer_roll": pb.Trouble_HOST_ROLL, "burst": pb.Trouble_BURST,
	"tenant_burst": pb.Trouble_PLAN_BURST, "fast_errors": pb.Trouble_FAST_ERRORS, "heavy_tail": pb.Trouble_HEAVY_TAIL,
	"hot_key": pb.Trouble_HOT_KEY, "neighbour": pb.Trouble_NEIGHBOUR, "pauses": pb.Trouble_PAUSES, "preempt": pb.Trouble_PREEMPT,
	"reconnect": pb.Trouble_RECONNECT, "retry_abuse": pb.Trouble_REPEAT_ABUSE, "slow": pb.Trouble_SLOW}

// Import converts a bench day file into a scenario, scaled down to s. The notes that it returns name each part of the day file
// that the scenario omits or changes.
func Import(file string, s Scale) (*pb.Drill, []string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("import: %w", err)
	}
	var d day
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, nil, fmt.Errorf("import %s: not a day file: %w", file, err)
	}
	if d.Fam == nil || len(d.Tiers) == 0 || len(d.Servers) == 0 || len(d.Classes) == 0 || len(d.Fam.Plans) == 0 ||
		len(d.Tenants) < len(d.Fam.Plans) || len(d.Balancers) == 0 || d.Length <= 0 {
		return nil, nil, fmt.Errorf("import %s: a day file needs volumes, plans, servers, classes and balancers", file)
	}
	im := &importer{day: &d, scale: s}
	return im.scenario(), im.notes, im.err
}

type importer struct {
	*day
	scale     Scale
	timeScale float64 // length of the scenario divided by that of the day; at most 1
	notes     []string
	err       error
}

func (im *importer) note(format string, args ...any) {
	im.notes = append(im.notes, fmt.Sprintf(format, args...))
}

func microseconds(x float64) string {
	return (time.Duration(math.Round(x)) * time.Microsecond).String()
}

// scaled converts a time of the day, in microseconds, into the scenario's time.
func (im *importer) scaled(x float64) string { return microseconds(x * im.timeScale) }

func (im *importer) scenario() *pb.Drill {
	im.timeScale = min(1, float64(im.scale.Length.Microseconds())/im.Length)
	if im.timeScale < 1 {
		im.note("the day's %s are shortened to %s: fault times, slow starts and changes of the busiest gateway are scaled; latency objectives and timeouts are not",
			microseconds(im.Length), im.scale.Length)
	}
	gateways := min(len(im.Balancers), im.scale.Gateways)
	if gateways < len(im.Balancers) {
		im.note("%d of %d gateways", gateways, len(im.Balancers))
	}
	d := &pb.Drill{Name: strings.Trim(im.Site+"-"+im.Kind, "-"), Length: im.scaled(im.Length), Hosts: uint32(gateways)}
	d.Bricks, d.Kind = im.endpoints()
	im.fleet(d)
	im.requestClasses(d)
	im.plansAndVolumes(d)
	d.List = &pb.ListHabits{Notice: microseconds(im.Discovery.Notice * im.timeScale)}
	d.Load.NewObjects, d.Load.Objects = 0.3, 50
	d.Load.Repeats, d.Load.RepeatAfter = uint32(max(im.Clients.Retries, 0)), microseconds(im.Clients.BackoffUS)
	d.Load.LeadMoves, d.Load.Impatient, d.Load.Body = "5s", im.Clients.Impatient, 64
	im.faults(d)
	im.note("omitted: noise of load reports, network delays between zones, thrashing, slots beside cores and the price list")
	im.note("omitted: load surges of single volumes; only the day's scripted bursts are kept")
	return d
}

func (im *importer) endpoints() (groups []*pb.BrickGroup, kinds []*pb.BrickKind) {
	t := im.Tiers[0]
	cv := 0.0
	for _, c := range im.Classes {
		cv += c.CV * c.Share
	}
	cancels := map[string]pb.BrickKind_Cancel{"queued": pb.BrickKind_DROPS_WAITING,
		"all": pb.BrickKind_STOPS, "running": pb.BrickKind_STOPS}
	for _, k := range t.Kinds {
		if k.Cores > 1 {
			im.note("kind %s: its %v cores become one core of %v times the speed", k.Name, k.Cores, k.Cores)
		}
		kinds = append(kinds, &pb.BrickKind{Name: k.Name, UnitWork: microseconds(im.Fam.UnitWork), Vary: cv, Queue: uint32(max(k.Queue, 1)),
			Remembers: uint32(im.Fam.Remembers), RememberedSaves: min(im.Fam.Seek, 1), Deferred: min(im.Fam.Defer, 1),
			FlushEvery: microseconds(max(im.Fam.Flush, 10000)), ColdFrom: max(k.ColdFrom, 0.01), ColdFor: microseconds(k.Cold * im.timeScale),
			Cancel: cancels[k.Cancel], DropsExpired: k.DropsExpired, ProbeWork: microseconds(t.ProbeWork), ProbeWaits: t.ProbeDeep,
			Errors: min(k.ErrorRate, 1)})
		if k.PauseEvery > 0 {
			im.note("omitted: the regular short pauses of kind %s", k.Name)
		}
	}
	n := 0
	for _, s := range im.Servers {
		if !s.Up || n == im.scale.Endpoints || s.Kind < 0 || s.Kind >= len(t.Kinds) {
			continue
		}
		n++
		groups = append(groups, &pb.BrickGroup{Kind: t.Kinds[s.Kind].Name, Count: 1, Zone: fmt.Sprintf("zone-%d", s.Zone),
			Speed: s.Speed * max(t.Kinds[s.Kind].Cores, 1)})
	}
	if n < len(im.Servers) {
		im.note("%d of %d endpoints", n, len(im.Servers))
	}
	return groups, kinds
}

func (im *importer) fleet(d *pb.Drill) {
	k := im.Tiers[0].Kinds
	slowest, from, cold := math.Inf(1), 1.0, 0.0
	for _, g := range d.Bricks {
		slowest = min(slowest, g.Speed)
	}
	for _, x := range k {
		from, cold = min(from, x.ColdFrom), max(cold, x.Cold)
	}
	f := &pb.Fleet{ListAsked: im.Discovery.Ask, SecondCopies: im.Allow.SecondCopies, Cancel: im.Allow.Cancel, Probe: im.Allow.Probes,
		Peers: im.Allow.Peers, ClientsMarkRepeats: im.Clients.MarksRetry, MaxDispatches: uint32(max(im.Allow.MaxAttempts, 1)),
		AnswerSlack: "30ms", Resolution: "10ms", DrainGrace: microseconds(im.DrainGrace), ColdFrom: max(from, 0.01), ColdFor: microseconds(cold * im.timeScale),
		FallMultiple: max(im.FallMultiple, 1), FallAfter: microseconds(max(im.FallFor*im.timeScale, 500000)), TellsElsewhere: im.Fam.Tells != "",
		UsualUnits: im.Fam.MeanUnits, MostUnits: im.Fam.MostUnits}
	if f.ListAsked {
		f.AskWithin = "5s"
	}
	if im.Allow.RetryAfter {
		f.MaxPause = microseconds(im.Clients.MaxRetryAfter)
	}
	if im.Fam.Meter > 0 {
		f.Meter = microseconds(im.Fam.Meter)
	}
	if b := im.Budget; b != nil {
		f.Budget = &pb.Budget{Free: b.Free, Share: b.Share, Span: microseconds(b.Window)}
	}
	// Units that an endpoint in slow start always accepts within fall_after: 80% of those that overload the slowest one.
	after, _ := time.ParseDuration(f.FallAfter)
	f.ColdUnits = 0.8 * f.FallMultiple * f.ColdFrom * slowest * after.Seconds() / (im.Fam.UnitWork / 1e6)
	d.Fleet = f
}

func (im *importer) requestClasses(d *pb.Drill) {
	semantics := map[string]pb.Semantics{"keyed": pb.Semantics_TAGGED, "unsafe": pb.Semantics_NON_RETRYABLE}
	groups := map[string]pb.Group{"zone": pb.Group_ZONE, "cell": pb.Group_CELL}
	d.Load = &pb.Load{}
	for _, c := range im.Classes {
		q := &pb.QueueType{Name: c.Name, ServiceTarget: microseconds(c.Aim), CommandTimeout: microseconds(c.Deadline), Importance: c.Worth,
			LateShare: c.LateWorth, Semantics: semantics[c.Effect], Group: groups[c.Group], Streaming: c.Stream, InOrder: c.InOrder,
			Writes: c.Write}
		if q.Streaming {
			q.Streaming = false
			im.note("request class %s: its streamed responses are sent whole", c.Name)
		}
		if q.Semantics == pb.Semantics_TAGGED {
			q.TagWindow = microseconds(c.Window)
		}
		d.QueueType = append(d.QueueType, q)
		d.Load.Mix = append(d.Load.Mix, c.Share)
	}
}

func (im *importer) plansAndVolumes(d *pb.Drill) {
	capacity := 0.0
	for _, g := range d.Bricks {
		capacity += g.Speed / (im.Fam.UnitWork / 1e6)
	}
	type sum struct {
		volumes, gateways, shards int
		base                      float64
	}
	sums := make([]sum, len(im.Fam.Plans))
	for _, v := range im.Fam.Volumes {
		if v.Plan >= 0 && v.Plan < len(sums) {
			s := &sums[v.Plan]
			s.volumes, s.gateways, s.shards, s.base = s.volumes+1, s.gateways+v.Hosts, s.shards+len(v.Nodes), s.base+v.Base
		}
	}
	// The number of volumes for each endpoint is that of the day.
	endpointShare := float64(len(d.Bricks)) / float64(len(im.Servers))
	demand := 0.0
	for i, p := range im.Fam.Plans {
		d.Plan = append(d.Plan, &pb.Plan{Name: im.Tenants[i].Name, Nominal: p.Rate, Reservation: p.Reserve, Limit: p.Limit,
			Depth: p.LimitBurst, Slack: p.Slack, Weight: p.Weight, Importance: p.Price})
		s := sums[i]
		if s.volumes == 0 {
			continue
		}
		g := &pb.VolumeGroup{Plan: im.Tenants[i].Name, Count: uint32(max(1, math.Round(float64(s.volumes)*endpointShare))),
			Cells: uint32(max(1, s.shards/s.volumes)), Hosts: uint32(min(max(1, s.gateways/s.volumes), int(d.Hosts))), Demand: s.base / float64(s.volumes)}
		demand += float64(g.Count) * g.Demand * p.Rate
		d.Volumes = append(d.Volumes, g)
	}
	for _, g := range d.Volumes { // scale the demand so that the load is the day's share of the endpoints' capacity
		g.Demand *= im.Traffic.Load * capacity / max(demand, 1e-9)
	}
}

func (im *importer) faults(d *pb.Drill) {
	for _, t := range im.Troubles {
		kind, ok := faultKinds[t.Kind]
		if !ok {
			im.note("omitted: fault %s, which scenarios do not have", t.Kind)
			continue
		}
		x := &pb.Trouble{Kind: kind, At: im.scaled(t.At), Length: im.scaled(t.Len), Size: t.Size, Extra: t.Extra}
		total := len(im.Servers)
		switch kind {
		case pb.Trouble_HOST_CRASH:
			total = len(im.Balancers)
			x.Back = im.scaled(max(t.Len, 0))
		case pb.Trouble_HOST_ROLL:
			x.Part, x.Back = min(max(t.Size, 0.01), 1), im.scaled(t.Extra*1e6)
		case pb.Trouble_PREEMPT:
			x.Part, x.Back, x.Length = min(t.Size, 1), im.scaled(t.Extra*1e6), im.scaled(im.DrainGrace*2)
		case pb.Trouble_AGEING:
			x.Back = im.scaled(t.Extra * 1e6)
		case pb.Trouble_PLAN_BURST:
			x.Plan = im.Tenants[min(max(t.Which, 0), len(im.Tenants)-1)].Name
		case pb.Trouble_ANSWER_LOST:
			x.Reset_ = t.How == "reset"
		}
		if len(t.On) > 0 {
			x.Part = min(1, float64(len(t.On))/float64(total))
		}
		x.Size, x.Extra = min(x.Size, 1e6), min(x.Extra, 1e6)
		d.Trouble = append(d.Trouble, x)
	}
	slices.SortStableFunc(d.Trouble, func(a, b *pb.Trouble) int {
		x, _ := time.ParseDuration(a.At)
		y, _ := time.ParseDuration(b.At)
		return cmp.Compare(x, y)
	})
}
