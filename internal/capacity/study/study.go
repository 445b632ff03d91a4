// Package study answers capacity questions: it plays stretches of a captured load on all cores, by the decisions of
// internal/capacity/decide, and puts together what came of them.
package study

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/capacity/place"
	"weirhaven/internal/capacity/sample"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Study is one load, one fleet, one model.
type Study struct {
	Fleet *pb.CapacityFleet
	Model *pb.CapacityModel
	Wants []demand.Request
	Goals []decide.Goal
	Seed  int64
	// Length and Stretches of what is played: 20 s, 5.
	Length    time.Duration
	Stretches int
	Jobs      int // 0: as many as cores
	// Progress is told what is being done; nil: nobody is.
	Progress func(line string)

	Captured bounds.Input // Further, Commands, Held, Span as captured
	stretch  []sample.Stretch
	cost     place.Cost
	speed    func(*pb.Server) float64
}

const warm = 3 * time.Second // played before a stretch, so that hosts know their load; not counted

// Prepare works out what is played.
func (s *Study) Prepare() error {
	if len(s.Wants) == 0 {
		return fmt.Errorf("the capture holds no command")
	}
	if s.Length == 0 {
		s.Length = 20 * time.Second
	}
	if s.Stretches == 0 {
		s.Stretches = 5
	}
	if s.Jobs <= 0 {
		s.Jobs = runtime.NumCPU()
	}
	if s.Progress == nil {
		s.Progress = func(string) {}
	}
	s.cost, s.speed = place.CostOf(s.Model, s.Fleet), bounds.Speeds(s.Fleet, s.Model)
	s.stretch = sample.Choose(s.Work(), s.Length, s.Stretches)
	var plans, types []string
	for _, p := range s.Fleet.Plan {
		plans = append(plans, p.Name)
	}
	for _, q := range s.Fleet.QueueType {
		types = append(types, q.Name)
	}
	if err := decide.CheckNames(s.Goals, plans, types); err != nil {
		return err
	}
	if len(s.Goals) == 0 {
		g, err := decide.ParseGoal("target>=0.95")
		if err != nil {
			return err
		}
		s.Goals = []decide.Goal{g}
	}
	return nil
}

// Work is what the load asks for in each second, in core seconds.
func (s *Study) Work() []float64 {
	work := make([]float64, int(s.Wants[len(s.Wants)-1].Arrival/time.Second)+1)
	for i := range s.Wants {
		work[int(s.Wants[i].Arrival/time.Second)] += s.cost(&s.Wants[i])
	}
	return work
}

// Capacity is what all bricks do, in cores.
func (s *Study) Capacity() (sum float64) {
	for _, b := range s.Fleet.Brick {
		sum += s.speed(b)
	}
	return sum
}

// Limits are the analytic bounds.
func (s *Study) Limits(f *pb.CapacityFleet, all []demand.Request) []bounds.Limit {
	in := s.Captured
	in.Fleet, in.Model, in.Demand = f, s.Model, all
	return bounds.Limits(in)
}

// played is what came of one load on one fleet, stretch by stretch.
type played struct {
	pieces  [][]decide.Block // of each stretch; one probe in Tallies
	results []*forecast.Result
}

// play plays the stretches of a load, so many times as large.
func (s *Study) play(ctx context.Context, f *pb.CapacityFleet, all []demand.Request, times float64) (*played, error) {
	p := &played{pieces: make([][]decide.Block, len(s.stretch)), results: make([]*forecast.Result, len(s.stretch))}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(s.Jobs)
	for i, st := range s.stretch {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			rng := rand.New(rand.NewSource(s.Seed + int64(i)))
			from := max(st.From-warm, 0)
			load := demand.Scale(demand.Slice(all, from, st.To), times, rng)
			if len(load) == 0 {
				return nil
			}
			r, err := forecast.Run(forecast.Scenario{Fleet: f, Model: s.Model, Wants: load, Seed: s.Seed + int64(i)})
			if err != nil {
				return err
			}
			p.results[i] = r
			skip := int((st.From - from) / time.Second)
			weight := st.Weight
			for b := skip; b < len(r.Blocks) && b < int((st.To-from)/time.Second)+1; b++ {
				p.pieces[i] = append(p.pieces[i], decide.Block{Weight: weight, Tallies: []map[forecast.Key]*forecast.Tally{r.Blocks[b]}})
			}
			return nil
		})
	}
	return p, g.Wait()
}

// Growth is how far the load may grow.
type Growth struct {
	Times       float64 // the load at which a goal is first missed, in the worst stretch
	Low, High   float64 // between them nine draws of ten lie
	Reached     bool    // false: no limit within what was looked at; Times is then the most that was looked at
	Goal        string
	Value       float64 // of the goal's measure, just beyond
	First       []bounds.Limit
	Bound       float64 // by sums alone
	Naive       float64 // mean load over capacity, for comparison
	Tries       []decide.Probe
	Plans       []Curve
	BusiestName string
	Busiest     float64 // use of the busiest brick in a second, just beyond
	Turned      int
	Budget      float64 // most used by a host, as a part of its budget, just beyond
	InFlight    int
}

// Curve is a plan's part in target over loads.
type Curve struct {
	Plan  string
	Times []float64
	Part  []float64
}

// Grow looks for the first limit.
func (s *Study) Grow(ctx context.Context) (*Growth, error) {
	limits := s.Limits(s.Fleet, s.Wants)
	usual := bounds.Usual(limits)
	g := &Growth{Bound: math.Inf(1), First: usual[:min(3, len(usual))]}
	if len(usual) > 0 {
		g.Bound = usual[0].Factor
	}
	mean := 0.0
	for _, x := range s.Work() {
		mean += x
	}
	g.Naive = s.Capacity() / math.Max(mean/(s.Wants[len(s.Wants)-1].Arrival.Seconds()+1e-9), 1e-12)
	guess := 1.0
	if g.Bound > 0 && !math.IsInf(g.Bound, 1) {
		guess = g.Bound
	}
	search := decide.NewLoadSearch(guess, 1.0/16, 32, 1.05, 16)
	all := make([][]decide.Block, len(s.stretch))
	type one struct {
		times float64
		p     *played
	}
	var tried []one
	for {
		x, ok := search.Next()
		if !ok {
			break
		}
		p, err := s.play(ctx, s.Fleet, s.Wants, x)
		if err != nil {
			return nil, err
		}
		margin := decide.Margin(p.pieces, 0, s.Goals, true)
		search.Record(x, margin)
		tried = append(tried, one{x, p})
		low, high := search.Bracket()
		s.Progress(fmt.Sprintf("load x %.2f: margin %+.2f; the edge is between %.2f and %s", x, margin, low, upTo(high)))
	}
	slices.SortFunc(tried, func(a, b one) int { return cmp.Compare(a.times, b.times) })
	g.Tries = search.Probes()
	g.Times, g.Reached = decide.Crossing(g.Tries)
	// What each try found, piece by piece, so that the range can draw pieces anew.
	loads := make([]float64, len(tried))
	for k, t := range tried {
		loads[k] = t.times
		for i := range s.stretch {
			for b := range t.p.pieces[i] {
				if b >= len(all[i]) {
					all[i] = append(all[i], decide.Block{Weight: t.p.pieces[i][b].Weight, Tallies: make([]map[forecast.Key]*forecast.Tally, len(tried))})
				}
				all[i][b].Tallies[k] = t.p.pieces[i][b].Tallies[0]
			}
		}
	}
	g.Low, g.High = decide.ConfidenceRange(all, loads, s.Goals, true, 200, rand.New(rand.NewSource(s.Seed)))
	for k, t := range tried {
		whole := decide.Combine(t.p.pieces, 0)
		by := map[string]*forecast.Tally{}
		for key, x := range whole {
			if by[key.Plan] == nil {
				by[key.Plan] = &forecast.Tally{}
			}
			by[key.Plan].Add(x)
		}
		for _, p := range s.Fleet.Plan {
			x := by[p.Name]
			if x == nil {
				continue
			}
			i := slices.IndexFunc(g.Plans, func(c Curve) bool { return c.Plan == p.Name })
			if i < 0 {
				g.Plans, i = append(g.Plans, Curve{Plan: p.Name}), len(g.Plans)
			}
			g.Plans[i].Times, g.Plans[i].Part = append(g.Plans[i].Times, t.times), append(g.Plans[i].Part, x.Part())
		}
		if g.Goal == "" && (t.times >= g.Times || k == len(tried)-1) { // just beyond
			s.beyond(g, t.p)
		}
	}
	return g, nil
}

func upTo(x float64) string {
	if x == 0 {
		return "?"
	}
	return fmt.Sprintf("%.2f", x)
}

// beyond tells what was short in the worst stretch of a load.
func (s *Study) beyond(g *Growth, p *played) {
	worst := math.Inf(1)
	for i, pieces := range p.pieces {
		found := decide.Combine([][]decide.Block{pieces}, 0)
		m, which := decide.WorstMargin(s.Goals, found)
		if which < 0 || m >= worst {
			continue
		}
		worst = m
		g.Goal = s.Goals[which].Text
		g.Value, _ = s.Goals[which].Value(found)
		r := p.results[i]
		g.Busiest, g.Turned, g.Budget, g.InFlight = 0, r.Turned, r.Budget, r.InFlight
		for _, b := range r.Bricks {
			if b.Peak() > g.Busiest {
				g.Busiest, g.BusiestName = b.Peak(), b.Name
			}
		}
	}
}

// Servers is how many servers of a kind it takes.
type Servers struct {
	Kind  string
	Now   int
	Least int
	Found bool
	Why   string // where no number does
	Tried map[int]float64
	Cost  float64 // of the least
}

// Least looks for the least servers of each kind that meet the goals, the other kinds as they are; and of hosts, by what each carries.
func (s *Study) Least(ctx context.Context) (all []Servers, err error) {
	for _, k := range s.Fleet.Kind {
		now := 0
		for _, b := range s.Fleet.Brick {
			if b.Kind == k.Name {
				now++
			}
		}
		if now == 0 {
			continue
		}
		guess := now
		for _, l := range bounds.Usual(s.Limits(s.Fleet, s.Wants)) {
			if l.Kind == "fleet" && l.Factor > 0 && !math.IsInf(l.Factor, 1) {
				guess = int(math.Ceil(float64(now)/l.Factor*1.2)) + 1
			}
		}
		count := decide.NewServerSearch(guess, max(64*now, 256))
		x := Servers{Kind: k.Name, Now: now}
		var last *played
		for {
			n, ok := count.Next()
			if !ok {
				break
			}
			f, err := place.ResizeFleet(s.Fleet, k.Name, n)
			if err != nil {
				return nil, err
			}
			p, err := s.play(ctx, f, place.Relocate(s.Wants, s.Fleet, f, s.cost, s.speed), 1)
			if err != nil {
				return nil, err
			}
			last = p
			m := decide.Margin(p.pieces, 0, s.Goals, true)
			count.Record(n, m)
			s.Progress(fmt.Sprintf("%d of kind %s: margin %+.2f", n, k.Name, m))
		}
		x.Least, x.Found = count.Found()
		x.Tried = count.Margins()
		x.Cost = float64(x.Least) * math.Max(k.Cost, 1)
		if !x.Found && last != nil {
			x.Why = s.why(last, k.Name)
		}
		all = append(all, x)
	}
	most := 0.0
	for _, h := range s.Fleet.Host {
		most = math.Max(most, h.Commands)
	}
	if most > 0 {
		sum, window := 0.0, bounds.Window(s.Fleet)
		from, in := 0, 0.0
		for i := range s.Wants {
			for in++; s.Wants[i].Arrival-s.Wants[from].Arrival >= window; from++ {
				in--
			}
			sum = math.Max(sum, in/window.Seconds())
		}
		n := int(math.Ceil(sum / (0.7 * most))) // the loop's own bound, less what keeps its queue short
		all = append(all, Servers{Kind: "host", Now: len(s.Fleet.Host), Least: max(n, 1), Found: true})
	}
	return all, nil
}

// why tells of each goal that is missed with many servers.
func (s *Study) why(p *played, kind string) string {
	f, err := place.ResizeFleet(s.Fleet, kind, 4*len(s.Fleet.Brick))
	if err != nil {
		return err.Error()
	}
	spread := place.Relocate(s.Wants, s.Fleet, f, s.cost, s.speed)
	limits := s.Limits(f, spread)
	var lone []string
	for v, cells := range place.VolumeShards(spread, f) {
		if len(cells) == 1 {
			lone = append(lone, v)
		}
	}
	slices.Sort(lone)
	var why []string
	for _, g := range s.Goals {
		worst, value := 0.0, 0.0
		for _, pieces := range p.pieces {
			if x, ok := g.Value(decide.Combine([][]decide.Block{pieces}, 0)); ok && g.Margin(x) < worst {
				worst, value = g.Margin(x), x
			}
		}
		if worst < 0 {
			why = append(why, decide.ExplainUnmet(g, value, limits, lone))
		}
	}
	return strings.Join(why, "\n")
}

// Phase is a stretch of a loss.
type Phase struct {
	Name     string
	From, To time.Duration
	Service  []Service
	Capacity float64 // cores there
	Asked    float64 // cores asked for of what can be reached, in the worst second
	Lost     float64 // part of the work that lies on nothing that serves
	Reserved float64 // cores that reservations in use promise, of what can be reached
	Met      bool    // the reserves can be met
	GiveUp   []decide.Shed
}

// Service is the part in target of a plan and queue type, and its range over the runs.
type Service struct {
	Plan, Type string
	Part       float64
	Low, High  float64
	P99        time.Duration
	Wanted     int
}

// Loss is what losing something does.
type Loss struct {
	What     string
	Bricks   []string
	Hosts    []string
	Phases   []Phase
	Fell     int
	Pressure float64
	Plans    []string
	By       [][]float64 // by plan, by second: the part in target
}

// Lose plays the heaviest stretch with something lost in it: "zone=NAME", "brick=NAME", "host=NAME", several with commas.
func (s *Study) Lose(ctx context.Context, what string, gone time.Duration) (*Loss, error) {
	l := &Loss{What: what}
	for _, part := range strings.Split(what, ",") {
		kind, name, ok := strings.Cut(strings.TrimSpace(part), "=")
		n := len(l.Bricks) + len(l.Hosts)
		for _, b := range s.Fleet.Brick {
			if kind == "zone" && b.Zone == name || kind == "brick" && b.Name == name {
				l.Bricks = append(l.Bricks, b.Name)
			}
		}
		for _, h := range s.Fleet.Host {
			if kind == "zone" && h.Zone == name || kind == "host" && h.Name == name {
				l.Hosts = append(l.Hosts, h.Name)
			}
		}
		if !ok || n == len(l.Bricks)+len(l.Hosts) {
			return nil, fmt.Errorf("--lose %q: nothing of that name in the fleet; allowed: zone=NAME, brick=NAME, host=NAME", part)
		}
	}
	if len(l.Hosts) == len(s.Fleet.Host) {
		l.Hosts = l.Hosts[:len(l.Hosts)-1] // clients come in somewhere: without any host nothing is asked, and nothing to be told
	}
	cold := settings.Duration(s.Fleet.Rules.ColdFor, 0)
	before, after := 6*time.Second, 8*time.Second
	gone = max(gone.Truncate(time.Second), time.Second)
	need := before + gone + cold + after
	length := s.Wants[len(s.Wants)-1].Arrival + time.Second
	if need > length { // a short capture: each phase is shorter
		scale := float64(length) / float64(need)
		whole := func(d time.Duration) time.Duration { // results stand by second
			return max(time.Duration(float64(d)*scale).Truncate(time.Second), time.Second)
		}
		before, gone, after = whole(before), whole(gone), whole(after)
		need = before + gone + cold + after
	}
	heavy := s.stretch[0]
	for _, st := range s.stretch {
		if st.Heaviest {
			heavy = st
		}
	}
	from := max(min((heavy.From+s.Length/2-before-gone/2).Truncate(time.Second), length-need), 0)
	load := demand.Slice(s.Wants, from, from+need)
	if len(load) == 0 {
		return nil, fmt.Errorf("the capture holds no command in the stretch around its heaviest")
	}
	var events []forecast.Event
	for _, b := range l.Bricks {
		events = append(events, forecast.Event{At: before, Brick: b, Down: true}, forecast.Event{At: before + gone, Brick: b})
	}
	for _, h := range l.Hosts {
		events = append(events, forecast.Event{At: before, Host: h, Down: true}, forecast.Event{At: before + gone, Host: h})
	}
	const runs = 4
	results := make([]*forecast.Result, runs)
	s.Progress(fmt.Sprintf("losing %d bricks and %d hosts for %v, %d runs", len(l.Bricks), len(l.Hosts), gone, runs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(s.Jobs)
	for i := range runs {
		g.Go(func() (err error) {
			if err = ctx.Err(); err == nil {
				results[i], err = forecast.Run(forecast.Scenario{Fleet: s.Fleet, Model: s.Model, Wants: load, Events: events, Seed: s.Seed + int64(i)})
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	skip := min(3*time.Second, (before / 2).Truncate(time.Second))
	for _, p := range []Phase{{Name: "before", From: skip, To: before}, {Name: "while it is gone", From: before, To: before + gone},
		{Name: "while its replacement is cold", From: before + gone, To: before + gone + cold}, {Name: "after", From: before + gone + cold, To: need}} {
		if p.To-p.From >= time.Second/2 {
			l.Phases = append(l.Phases, s.phase(p, load, results, l))
		}
	}
	for _, r := range results {
		l.Fell += r.Fell
		l.Pressure = math.Max(l.Pressure, r.Pressure)
	}
	for _, p := range s.Fleet.Plan {
		var by []float64
		for b := range int(need / time.Second) {
			sum := &forecast.Tally{}
			for _, r := range results {
				if b < len(r.Blocks) {
					for k, t := range r.Blocks[b] {
						if k.Plan == p.Name {
							sum.Add(t)
						}
					}
				}
			}
			by = append(by, sum.Part())
		}
		l.Plans, l.By = append(l.Plans, p.Name), append(l.By, by)
	}
	return l, nil
}

// phase is what came of one stretch of a loss, and what sums say of it.
func (s *Study) phase(p Phase, load []demand.Request, results []*forecast.Result, l *Loss) Phase {
	type parts struct {
		sum forecast.Tally
		by  []float64
	}
	found := map[forecast.Key]*parts{}
	for _, r := range results {
		one := map[forecast.Key]*forecast.Tally{}
		for b := int(p.From / time.Second); b < int((p.To+time.Second-1)/time.Second) && b < len(r.Blocks); b++ {
			for k, t := range r.Blocks[b] {
				if one[k] == nil {
					one[k] = &forecast.Tally{}
				}
				one[k].Add(t)
			}
		}
		for k, t := range one {
			if found[k] == nil {
				found[k] = &parts{}
			}
			found[k].sum.Add(t)
			found[k].by = append(found[k].by, t.Part())
		}
	}
	for k, x := range found {
		p.Service = append(p.Service, Service{Plan: k.Plan, Type: k.Type, Part: x.sum.Part(), Low: slices.Min(x.by), High: slices.Max(x.by),
			P99: x.sum.Quantile(0.99), Wanted: x.sum.Wanted / len(results)})
	}
	slices.SortFunc(p.Service, func(a, b Service) int { return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Type, b.Type)) })

	away := p.Name == "while it is gone"
	byCell := map[int]bool{}
	for _, b := range s.Fleet.Brick {
		lost := slices.Contains(l.Bricks, b.Name)
		x := s.speed(b)
		if lost && p.Name == "while its replacement is cold" {
			x *= (1 + s.Fleet.Rules.ColdFrom) / 2 // on its ramp, in the mean
		}
		if !lost || !away {
			byCell[int(b.Cell)] = true
			p.Capacity += x
		}
	}
	shares, lost, total := s.shares(load, p, byCell)
	for _, x := range shares {
		p.Asked += x.Work
		p.Reserved += x.Reserved
	}
	if total > 0 {
		p.Lost = lost / total
	}
	p.GiveUp, p.Met = decide.ShedToFit(shares, p.Capacity)
	return p
}

// shares are the kinds of work in a phase's worst second, of what can be reached.
func (s *Study) shares(load []demand.Request, p Phase, reach map[int]bool) (all []decide.Share, lost, total float64) {
	by := map[int]float64{}
	for i := range load {
		if w := &load[i]; w.Arrival >= p.From && w.Arrival < p.To {
			by[int(w.Arrival/time.Second)] += s.cost(w)
		}
	}
	worst, most := 0, -1.0
	for sec, x := range by {
		if x > most || x == most && sec < worst {
			worst, most = sec, x
		}
	}
	plans, types := map[string]*pb.Plan{}, map[string]*pb.QueueType{}
	for _, x := range s.Fleet.Plan {
		plans[x.Name] = x
	}
	for _, x := range s.Fleet.QueueType {
		types[x.Name] = x
	}
	type key struct{ plan, queue string }
	sums := map[key]*decide.Share{}
	units := map[string]float64{} // by volume, so far: the first of it are reserved
	for i := range load {
		w := &load[i]
		if int(w.Arrival/time.Second) != worst || plans[w.Plan] == nil || types[w.QueueType] == nil {
			continue
		}
		c := s.cost(w)
		total += c
		if w.Shard >= 0 && !reach[w.Shard] {
			lost += c
			continue
		}
		k := key{w.Plan, w.QueueType}
		if sums[k] == nil {
			sums[k] = &decide.Share{Plan: w.Plan, QueueType: w.QueueType, Weight: math.Max(plans[w.Plan].Importance, 0.01) * math.Max(types[w.QueueType].Importance, 0.01)}
		}
		sums[k].Work += c
		sums[k].RequestRate++
		if units[w.Volume]+w.Units <= plans[w.Plan].Reservation {
			sums[k].Reserved += c
		}
		units[w.Volume] += w.Units
	}
	for _, x := range sums {
		all = append(all, *x)
	}
	slices.SortFunc(all, func(a, b decide.Share) int {
		return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.QueueType, b.QueueType))
	})
	return all, lost, total
}
