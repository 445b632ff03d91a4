// Package verify holds forecasts against what stand-in bricks on loopback then did: a drill is recorded, its bricks are learnt, and
// each case is forecast and run.
package verify

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/capacity/learn"
	"weirhaven/internal/capacity/place"
	"weirhaven/internal/capture"
	"weirhaven/internal/pb"
	"weirhaven/internal/scenario"
	"weirhaven/internal/settings"
)

// Figures are what is compared.
type Figures struct {
	InTarget float64
	P99      time.Duration // until the completed had their answer
	Use      float64       // of the bricks' cores, in the mean
}

// Case is one to be forecast and run.
type Case struct {
	Name   string
	Drill  func(d *pb.Drill)
	Wants  func(all []demand.Request, rng *rand.Rand) []demand.Request
	Events []forecast.Event
	Moved  bool // the fleet is another one
}

// Row is a case's forecast, what was measured, and what a mean rate over a mean work would have said.
type Row struct {
	Case                      string
	Forecast, Measured, Naive Figures
	Off                       [3]float64 // of the forecast, as a part of what was measured
	NaiveOff                  [3]float64
}

// Within tells whether all three figures are.
func within(off [3]float64, part float64) bool {
	return !slices.ContainsFunc(off[:], func(x float64) bool { return math.Abs(x) > part })
}

// Good tells whether the forecast, and the naive one, are within a part of what was measured.
func (r Row) Good(part float64) (forecast, naive bool) {
	return within(r.Off, part), within(r.NaiveOff, part)
}

const (
	caseLength = 14 * time.Second
	runs       = 5
)

func scaleDemand(times float64) func(d *pb.Drill) {
	return func(d *pb.Drill) {
		for _, v := range d.Volumes {
			v.Demand *= times
		}
	}
}

func scaleLoad(times float64) func(all []demand.Request, rng *rand.Rand) []demand.Request {
	return func(all []demand.Request, rng *rand.Rand) []demand.Request { return demand.Scale(all, times, rng) }
}

// Cases are the ten.
func Cases(_ *pb.Drill, f *pb.CapacityFleet) []Case {
	last := f.Brick[len(f.Brick)-1].Zone
	var lost []forecast.Event
	var cells []uint32
	for _, b := range f.Brick {
		if b.Zone == last {
			lost = append(lost, forecast.Event{At: 4 * time.Second, Brick: b.Name, Down: true, Silent: true},
				forecast.Event{At: 8 * time.Second, Brick: b.Name, Silent: true})
			cells = append(cells, b.Cell)
		}
	}
	crash := func(on []uint32) func(d *pb.Drill) {
		return func(d *pb.Drill) {
			d.Trouble = append(d.Trouble, &pb.Trouble{Kind: pb.Trouble_BRICK_CRASH, At: "4s", On: on, Back: "4s"})
		}
	}
	return []Case{
		{Name: "as recorded", Drill: scaleDemand(1), Wants: scaleLoad(1)},
		{Name: "load x 0.6", Drill: scaleDemand(0.6), Wants: scaleLoad(0.6)},
		{Name: "load x 1.25", Drill: scaleDemand(1.25), Wants: scaleLoad(1.25)},
		{Name: "load x 1.5", Drill: scaleDemand(1.5), Wants: scaleLoad(1.5)},
		{Name: "load x 2", Drill: scaleDemand(2), Wants: scaleLoad(2)},
		{Name: "surge of plan basic x 4", Drill: func(d *pb.Drill) {
			d.Trouble = append(d.Trouble, &pb.Trouble{Kind: pb.Trouble_PLAN_BURST, At: "4s", Length: "5s", Size: 4, Plan: "basic"})
		}, Wants: func(all []demand.Request, rng *rand.Rand) []demand.Request {
			out := slices.Clone(all) // what more the plan asks for is like what it asked for all the time, not like those few seconds
			last := all[len(all)-1].Arrival
			for _, w := range all {
				for left := 3 * (5 * time.Second).Seconds() / last.Seconds(); w.Plan == "basic" && left > 0; left-- {
					if left >= 1 || rng.Float64() < left {
						w.Arrival = 4*time.Second + time.Duration(rng.Int63n(int64(5*time.Second)))
						out = append(out, w)
					}
				}
			}
			slices.SortStableFunc(out, func(a, b demand.Request) int { return int(a.Arrival - b.Arrival) })
			return out
		}},
		{Name: "one brick fewer", Drill: func(d *pb.Drill) { d.Bricks[len(d.Bricks)-1].Count-- }, Wants: scaleLoad(1), Moved: true},
		{Name: "two bricks more, load x 1.5", Drill: func(d *pb.Drill) {
			scaleDemand(1.5)(d)
			d.Bricks = append(d.Bricks, &pb.BrickGroup{Kind: d.Bricks[0].Kind, Count: 2, Zone: d.Bricks[0].Zone, Speed: d.Bricks[0].Speed})
		}, Wants: scaleLoad(1.5),
			Moved: true},
		{Name: "zone " + last + " lost for 4 s", Drill: crash(cells), Wants: scaleLoad(1), Events: lost},
		{Name: "one host lost for 4 s", Drill: func(d *pb.Drill) {
			d.Trouble = append(d.Trouble, &pb.Trouble{Kind: pb.Trouble_HOST_CRASH, At: "4s", On: []uint32{1}, Back: "4s"})
		}, Wants: scaleLoad(1), Events: []forecast.Event{{At: 4 * time.Second, Host: "host-1", Down: true}, {At: 8 * time.Second, Host: "host-1"}}},
	}
}

// Learnt is what was recorded and read off it.
type Learnt struct {
	Fleet *pb.CapacityFleet
	Model *pb.CapacityModel
	Wants []demand.Request
	Load  *capture.Load
}

// Record plays a drill with its hosts capturing, and learns from it.
func Record(ctx context.Context, d *pb.Drill, o scenario.Options) (*Learnt, error) {
	dir, err := os.MkdirTemp("", "weirhaven-verify-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o.Capture = filepath.Join(dir, "capture")
	if _, err := scenario.Run(ctx, d, o); err != nil {
		return nil, err
	}
	l, err := capture.Read(o.Capture)
	if err != nil {
		return nil, err
	}
	if err := l.Align(); err != nil {
		return nil, err
	}
	f := scenario.Describe(d, o.Seed)
	w, clients := demand.FoldRetries(l.Lines)
	m, err := learn.Model(l.Lines, f, clients)
	if err != nil {
		return nil, err
	}
	return &Learnt{f, m, w, l}, nil
}

// Run forecasts one case and plays it.
func Run(ctx context.Context, d *pb.Drill, l *Learnt, c Case, o scenario.Options) (Row, error) {
	row := Row{Case: c.Name}
	f, load := l.Fleet, l.Wants
	day := proto.Clone(d).(*pb.Drill)
	length := min(caseLength, settings.Duration(d.Length, caseLength))
	day.Length = length.String()
	c.Drill(day)
	if c.Moved { // a brick that was not there before is taken for one of its kind's mean speed
		g := scenario.Describe(day, o.Seed)
		load = place.Relocate(load, f, g, place.CostOf(l.Model, f), bounds.Speeds(g, l.Model))
		f = g
	}
	load = demand.Slice(load, 0, length)
	for i := range int64(runs) { // the mean of some: one forecast is as much chance as one run
		asked := c.Wants(load, rand.New(rand.NewSource(o.Seed+i)))
		r, err := forecast.Run(forecast.Scenario{Fleet: f, Model: l.Model, Wants: asked, Events: c.Events, Seed: o.Seed + i})
		if err != nil {
			return row, err
		}
		x := Of(r)
		row.Forecast.InTarget += x.InTarget / runs
		row.Forecast.P99 += x.P99 / runs
		row.Forecast.Use += x.Use / runs
		row.Naive = naive(f, l.Model, asked)
	}
	got, err := scenario.Run(ctx, day, o)
	if err != nil {
		return row, err
	}
	row.Measured = measured(day, got)
	row.Off, row.NaiveOff = off(row.Forecast, row.Measured), off(row.Naive, row.Measured)
	return row, nil
}

func off(a, b Figures) [3]float64 {
	part := func(x, y float64) float64 { return x/math.Max(y, 1e-9) - 1 }
	return [3]float64{part(a.InTarget, b.InTarget), part(a.P99.Seconds(), b.P99.Seconds()), part(a.Use, b.Use)}
}

// Of are the figures of a forecast.
func Of(r *forecast.Result) Figures {
	t := r.Total()
	x := Figures{InTarget: t.Part(), P99: t.Quantile(0.99)}
	for _, b := range r.Bricks {
		for _, done := range b.Done {
			x.Use += done / float64(len(b.Done)*len(r.Bricks))
		}
	}
	return x
}

// measured reads the same figures off what crossed the sockets.
func measured(d *pb.Drill, r *scenario.Result) (x Figures) {
	type want struct {
		at, done int64
		queue    uint32
		left     bool
	}
	wanted, first := map[uint64]*want{}, map[uint64]uint64{}
	works, begun := map[string]float64{}, int64(-1)
	capacity, n, end := 0.0, 0.0, int64(0)
	for _, s := range r.Seen {
		switch s.What {
		case pb.Seen_BRICK_UP:
			if n < float64(bricks(d)) {
				capacity += s.Capacity
				n++
			}
		case pb.Seen_ASKED:
			if begun < 0 {
				begun = s.At
			}
			end = s.At
			first[s.Command] = s.First
			if wanted[s.First] == nil {
				wanted[s.First] = &want{at: s.At, queue: s.QueueType}
			}
		case pb.Seen_ANSWERED:
			if w := wanted[first[s.Command]]; w != nil && s.How == "DONE" && w.done == 0 {
				w.done = s.At
			}
		case pb.Seen_UNANSWERED:
			if w := wanted[first[s.Command]]; w != nil && s.How == "left" {
				w.left = true
			}
		case pb.Seen_REACHED:
			works[fmt.Sprint(s.Brick, s.Connection, s.Command, s.Dispatch)] = s.Work
		case pb.Seen_REPLIED:
			if s.How == "DONE" {
				x.Use += works[fmt.Sprint(s.Brick, s.Connection, s.Command, s.Dispatch)]
			}
		}
	}
	all, good := 0, 0
	var took []time.Duration
	for _, w := range wanted {
		if w.left {
			continue
		}
		all++
		if w.done == 0 {
			continue
		}
		t := time.Duration(w.done - w.at)
		took = append(took, t)
		if t <= settings.Duration(d.QueueType[w.queue].ServiceTarget, 0) {
			good++
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		x.P99 = took[min(len(took)*99/100, len(took)-1)]
	}
	x.InTarget = float64(good) / math.Max(float64(all), 1)
	x.Use /= capacity * math.Max(time.Duration(end-begun).Seconds(), 1e-9)
	return x
}

func bricks(d *pb.Drill) (n uint32) {
	for _, g := range d.Bricks {
		n += g.Count
	}
	return n
}

// naive is what a mean rate over a mean work says: one queue for all bricks (M/M/c by its busy part, waits exponential).
func naive(f *pb.CapacityFleet, m *pb.CapacityModel, load []demand.Request) (x Figures) {
	cost, speed, capacity, work := place.CostOf(m, f), bounds.Speeds(f, m), 0.0, 0.0
	for _, b := range f.Brick {
		capacity += speed(b)
	}
	target := 0.0
	targets := map[string]float64{}
	for _, q := range f.QueueType {
		targets[q.Name] = settings.Duration(q.ServiceTarget, 0).Seconds()
	}
	for i := range load {
		work += cost(&load[i])
		target += targets[load[i].QueueType] / float64(len(load))
	}
	span := load[len(load)-1].Arrival.Seconds()
	each := work / float64(len(load)) / (capacity / float64(len(f.Brick)))
	x.Use = math.Min(work/span/capacity, 1)
	if x.Use >= 1 {
		x.InTarget, x.P99 = capacity*span/work, time.Duration(target*float64(time.Second))
		return x
	}
	stay := each / (1 - x.Use)
	x.InTarget, x.P99 = 1-math.Exp(-target/stay), time.Duration(stay*math.Log(100)*float64(time.Second))
	return x
}
