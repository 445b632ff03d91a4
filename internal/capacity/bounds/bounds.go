// Package bounds tells from sums alone how far a load may grow before a limit is reached: quick, and a check on what the forecast
// finds. It has no I/O, clock or goroutine.
//
// Every bound looks at the worst stretch of the load, as long as the longest command timeout: what is asked for within it can't
// be put off past it. A mean over the capture hides a surge; this does not.
package bounds

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"weirhaven/internal/capacity/place"
	"weirhaven/internal/capacity/wants"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Limit is one that the load meets as it grows.
type Limit struct {
	Kind   string // brick, zone, fleet, host, plan limit, reserve, in flight, budget, cold ramp
	Which  string
	Factor float64 // times the load at which it is reached; +Inf: never
	Used   float64 // now, in the worst stretch
	Most   float64
	Unit   string
	At     time.Duration // begin of the worst stretch
	// When is empty where the limit holds on a usual day; else what must have happened.
	When string
}

func (l Limit) String() string {
	return fmt.Sprintf("%s %s: %.3g of %.3g %s, reached at %.2f times the load", l.Kind, l.Which, l.Used, l.Most, l.Unit, l.Factor)
}

// Input is what the bounds are of.
type Input struct {
	Fleet *pb.CapacityFleet
	Model *pb.CapacityModel
	Wants []wants.Want
	// Further dispatches and commands, as captured; and the mean time that a host holds a command.
	Further, Commands float64
	Held              time.Duration
	Span              time.Duration
}

// Speeds tells each brick's capacity in core seconds a second, pauses taken off.
func Speeds(f *pb.CapacityFleet, m *pb.CapacityModel) func(b *pb.Server) float64 {
	by, cores, stated := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, b := range m.Brick {
		by[b.Name+" "+b.Kind] = b.Speed
	}
	for _, k := range f.Kind {
		cores[k.Name], stated[k.Name] = math.Max(float64(k.Cores), 1), k.Speed
	}
	left, known := map[string]float64{}, map[string]bool{}
	for _, k := range m.Kind {
		known[k.Name], left[k.Name] = true, 1
		if k.PauseEvery > 0 {
			left[k.Name] = k.PauseEvery / (k.PauseEvery + k.Pause)
		}
	}
	return func(b *pb.Server) float64 {
		s := by[b.Name+" "+b.Kind]
		if s == 0 {
			if s = 1; !known[b.Kind] && stated[b.Kind] > 0 {
				s = stated[b.Kind]
			}
		}
		if l := left[b.Kind]; l > 0 {
			s *= l
		}
		return s * cores[b.Kind]
	}
}

// Window is the stretch that the bounds look at.
func Window(f *pb.CapacityFleet) time.Duration {
	w := time.Second
	for _, q := range f.QueueType {
		w = max(w, settings.Duration(q.CommandTimeout, 0))
	}
	return w
}

// peak is the most of a series in any stretch, and where it begins.
type peak struct {
	window time.Duration
	at     []time.Duration
	x      []float64
	from   int
	sum    float64
	most   float64
	where  time.Duration
}

func (p *peak) add(at time.Duration, x float64) {
	p.at, p.x = append(p.at, at), append(p.x, x)
	p.sum += x
	for at-p.at[p.from] >= p.window {
		p.sum -= p.x[p.from]
		p.from++
	}
	if p.sum > p.most {
		p.most, p.where = p.sum, p.at[p.from]
	}
}

// Limits are all bounds, the nearest first.
func Limits(in Input) []Limit {
	f, window := in.Fleet, Window(in.Fleet)
	cost, speed := place.CostOf(in.Model, f), Speeds(f, in.Model)
	peaks := map[string]*peak{}
	add := func(key string, at time.Duration, x float64) {
		p := peaks[key]
		if p == nil {
			p = &peak{window: window}
			peaks[key] = p
		}
		p.add(at, x)
	}
	byCell, zones := map[int][]*pb.Server{}, map[string]float64{}
	capacity := 0.0
	for _, b := range f.Brick {
		byCell[int(b.Cell)] = append(byCell[int(b.Cell)], b)
		zones[b.Zone] += speed(b)
		capacity += speed(b)
	}
	plans := map[string]*pb.Plan{}
	for _, p := range f.Plan {
		plans[p.Name] = p
	}
	var total peak
	total.window = window
	units, work := map[string]float64{}, map[string]float64{} // by plan
	volumes := map[string]string{}
	lone := 0.0 // what lies nowhere
	for i := range in.Wants {
		w := &in.Wants[i]
		c := cost(w)
		volumes[w.Volume] = w.Plan
		total.add(w.At, c)
		units[w.Plan], work[w.Plan] = units[w.Plan]+w.Units, work[w.Plan]+c
		volumes[w.Volume] = w.Plan
		add("volume "+w.Volume, w.At, w.Units)
		add("host "+w.Host, w.At, float64(max(w.Asked, 1)))
		if w.Cell < 0 {
			continue // goes where there is room: it counts against the fleet only
		}
		at := byCell[w.Cell]
		if len(at) == 0 {
			lone += c
		}
		for _, b := range at {
			add("brick "+b.Name, w.At, c/float64(len(at)))
			add("zone "+b.Zone, w.At, c/float64(len(at)))
		}
	}
	var all []Limit
	put := func(kind, which string, used, most float64, unit string, at time.Duration) {
		factor := math.Inf(1)
		if used > 0 {
			factor = most / used
		}
		all = append(all, Limit{Kind: kind, Which: which, Factor: factor, Used: used, Most: most, Unit: unit, At: at})
	}
	get := func(key string) (float64, time.Duration) {
		if p := peaks[key]; p != nil {
			return p.most / window.Seconds(), p.where
		}
		return 0, 0
	}
	put("fleet", "all bricks", total.most/window.Seconds(), capacity, "cores", total.where)
	worst := Limit{Factor: math.Inf(1)}
	for _, b := range f.Brick {
		used, at := get("brick " + b.Name)
		put("brick", b.Name, used, speed(b), "cores", at)
		if from := f.Rules.ColdFrom; from > 0 && from < 1 && used > 0 && len(byCell[int(b.Cell)]) == 1 {
			if x := speed(b) * from / used; x < worst.Factor {
				worst = Limit{Kind: "cold ramp", Which: b.Name, Factor: x, Used: used, Most: speed(b) * from, Unit: "cores", At: at,
					When: "its replacement has just come up"}
			}
		}
	}
	if worst.Which != "" {
		all = append(all, worst)
	}
	for z, most := range zones {
		used, at := get("zone " + z)
		put("zone", z, used, most, "cores", at)
	}
	for _, h := range f.Host {
		if h.Commands > 0 {
			used, at := get("host " + h.Name)
			put("host", h.Name, used, h.Commands, "commands/s", at)
		}
	}
	// A plan's limit: the volume that comes nearest. The store lets a surge through, the longer the stretch the less it helps.
	for _, p := range f.Plan {
		if p.Limit <= 0 {
			continue
		}
		near := Limit{Factor: math.Inf(1)}
		for v, plan := range volumes {
			if plan != p.Name {
				continue
			}
			used, at := get("volume " + v)
			most := p.Limit + p.Depth/window.Seconds()
			if x := most / math.Max(used, 1e-12); x < near.Factor || x == near.Factor && v < near.Which {
				near = Limit{Kind: "plan limit", Which: v, Factor: x, Used: used, Most: most, Unit: "units/s of plan " + p.Name, At: at}
			}
		}
		if near.Which != "" {
			all = append(all, near)
		}
	}
	if promised, which := reserved(in, volumes, units, work); promised > 0 {
		all = append(all, Limit{Kind: "reserve", Which: which, Factor: capacity / promised, Used: promised, Most: capacity, Unit: "cores promised",
			When: "all volumes with a reservation use it at once"})
	}
	if b := f.Bounds; b != nil && b.CommandsAConnection > 0 && b.Connections > 0 && in.Held > 0 {
		for _, h := range f.Host {
			used, at := get("host " + h.Name)
			put("in flight", h.Name, used*in.Held.Seconds(), float64(b.CommandsAConnection)*float64(b.Connections), "commands", at)
		}
	}
	if b := f.Rules.Budget; b != nil && in.Commands > 0 && in.Span > 0 {
		span := settings.Duration(b.Span, time.Second).Seconds() / in.Span.Seconds() / math.Max(float64(len(f.Host)), 1)
		used, share := in.Further*span, b.Share*in.Commands*span
		factor := math.Inf(1)
		if used > share {
			factor = b.Free / (used - share)
		}
		all = append(all, Limit{Kind: "budget", Which: "further dispatches", Factor: factor, Used: used, Most: b.Free + share, Unit: "a host within " + b.Span})
	}
	if lone > 0 {
		all = append(all, Limit{Kind: "cell", Which: "data on no brick", Factor: 0, Used: lone, Unit: "core seconds",
			When: "the fleet has no brick for some cells of the load"})
	}
	slices.SortStableFunc(all, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Factor, b.Factor), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Which, b.Which))
	})
	return all
}

// reserved is the work that all reservations together promise, by what a unit of each plan costs in this load.
func reserved(in Input, volumes map[string]string, units, work map[string]float64) (promised float64, which string) {
	count := map[string]int{}
	named := map[string]bool{}
	for _, v := range in.Fleet.Volume {
		count[v.Plan]++
		named[v.Name] = true
	}
	for v, p := range volumes {
		if !named[v] {
			count[p]++
		}
	}
	all, sum := 0.0, 0.0
	for p := range units {
		all, sum = all+work[p], sum+units[p]
	}
	top := 0.0
	for _, p := range in.Fleet.Plan {
		each := all / math.Max(sum, 1e-12)
		if units[p.Name] > 0 {
			each = work[p.Name] / units[p.Name]
		}
		x := p.Reservation * float64(count[p.Name]) * each
		if promised += x; x > top {
			top, which = x, "plan "+p.Name+" and others"
		}
	}
	return promised, which
}

// Usual are the limits of a usual day.
func Usual(all []Limit) []Limit {
	return slices.DeleteFunc(slices.Clone(all), func(l Limit) bool { return l.When != "" })
}
