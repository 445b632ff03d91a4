// Package learn works out how bricks work from what hosts captured of their dispatches. It has no I/O, clock or goroutine.
//
// A brick takes dispatches in turn of arrival. Where all hosts' captures are there, each dispatch's begin is known: the later of its
// own arrival and the end of what went before it (on the core that was free first). So its work is told apart from its waiting. What
// follows a dispatch whose end nobody saw (timed out, called off, broken) tells nothing and is left out.
package learn

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"

	"weirhaven/internal/pb"
	"weirhaven/policy"
)

// Version of the model's form.
const Version = 1

// Fewest samples of a queue type, of busy begins and of outliers, before anything is read off them.
const few, fewOutliers = 20, 8

// Most dispatches of a brick that are looked at, the last ones: enough to be sure to a percent, and bounded however long the capture is.
const mostOfBrick = 8000

type sample struct {
	at     time.Duration // its arrival
	took   float64       // work and way, s
	queue  int
	units  float64
	write  bool
	idle   bool // the core was idle before: the way is in it
	object uint64
	hit    bool // found in a cache of the size looked at
	odd    bool // far longer than what is like it: something else ran before
	want   float64
}

type dispatch struct {
	from, to time.Duration
	queue    int
	units    float64
	object   uint64
	first    bool
	how      policy.Outcome
}

// Model learns one. Bricks that the fleet does not name are taken for its first kind.
func Model(lines []*pb.Captured, f *pb.CapacityFleet, client *pb.CapacityModel_ClientModel) (*pb.CapacityModel, error) {
	m := &pb.CapacityModel{Version: Version, Client: client}
	kindOf, cores := map[string]string{}, map[string]int{}
	for _, k := range f.Kind {
		cores[k.Name] = max(int(k.Cores), 1)
	}
	for _, b := range f.Brick {
		kindOf[b.Name] = b.Kind
	}
	queues, writes := map[string]int{}, make([]bool, len(f.QueueType))
	for i, q := range f.QueueType {
		queues[q.Name], writes[i] = i, q.Writes
	}
	bricks := map[string][]dispatch{}
	for _, l := range lines {
		c := l.GetCommand()
		if c == nil {
			continue
		}
		q, ok := queues[c.QueueType]
		if !ok {
			return nil, fmt.Errorf("the capture has commands of queue type %q, which the fleet does not describe", c.QueueType)
		}
		for n, d := range c.Dispatch {
			from := time.Duration(l.At + d.After)
			bricks[d.Brick] = append(bricks[d.Brick], dispatch{from, from + time.Duration(d.Took), q, c.Units, c.Object, n == 0, policy.Outcome(d.How)})
		}
	}
	names := make([]string, 0, len(bricks))
	for n := range bricks {
		names = append(names, n)
	}
	slices.Sort(names)
	byKind := map[string][]string{}
	for _, n := range names {
		if all := bricks[n]; len(all) > mostOfBrick {
			bricks[n] = all[len(all)-mostOfBrick:]
		}
		k := kindOf[n]
		if k == "" {
			k = f.Kind[0].Name
		}
		byKind[k] = append(byKind[k], n)
	}
	for _, k := range f.Kind {
		if len(byKind[k.Name]) == 0 {
			continue
		}
		learnt, speeds := kind(k.Name, cores[k.Name], byKind[k.Name], bricks, f.QueueType, writes)
		if learnt == nil {
			continue
		}
		m.Kind = append(m.Kind, learnt)
		m.Brick = append(m.Brick, speeds...)
	}
	if len(m.Kind) == 0 {
		return nil, fmt.Errorf("nothing to learn from: the capture has fewer than %d completed dispatches to any kind of brick", few)
	}
	return m, nil
}

// samples tells a brick's works apart from its waits.
func samples(all []dispatch, cores int, writes []bool) (out []sample, errors, ran int) {
	slices.SortStableFunc(all, func(a, b dispatch) int { return cmp.Compare(a.from, b.from) })
	free := make([]time.Duration, cores)
	blind := make([]bool, cores) // what ran there last has no known end
	const blur = 300 * time.Microsecond
	for _, d := range all {
		switch d.how {
		case policy.Served:
			ran++
		case policy.ErrorResponse:
			errors++
			ran++
			continue // it failed at once, as far as can be told
		case policy.TimedOut, policy.Canceled, policy.ConnectionReset:
			for i := range free {
				blind[i] = true
			}
			continue
		default:
			continue // it never was there
		}
		i := 0
		for k := range free {
			if free[k] < free[i] {
				i = k
			}
		}
		begin, idle := d.from, true
		if free[i] > d.from-blur {
			begin, idle = max(free[i], d.from), free[i] <= d.from+blur && free[i] < d.from
		}
		took := d.to - begin
		if took > 0 && (!blind[i] || idle) && (idle && free[i] < d.from-time.Millisecond || !idle && free[i] > d.from+blur) {
			out = append(out, sample{at: d.from, took: took.Seconds(), queue: d.queue, units: d.units, write: writes[d.queue], idle: idle,
				object: map[bool]uint64{true: d.object}[d.first]})
		}
		if d.to > free[i] {
			free[i] = d.to
		}
		blind[i] = false
	}
	return out, errors, ran
}

func kind(name string, cores int, names []string, bricks map[string][]dispatch, types []*pb.QueueType, writes []bool) (
	*pb.CapacityModel_KindModel, []*pb.CapacityModel_BrickSpeed) {
	by := make([][]sample, len(names))
	errors, ran, n := 0, 0, 0
	for i, b := range names {
		var e, r int
		by[i], e, r = samples(bricks[b], cores, writes)
		errors, ran, n = errors+e, ran+r, n+len(by[i])
	}
	if n < few {
		return nil, nil
	}
	k := &pb.CapacityModel_KindModel{Name: name, Errors: float64(errors) / math.Max(float64(ran), 1), Fit: &pb.CapacityModel_Fit{Samples: uint32(n)}}
	speed := make([]float64, len(names))
	for i := range speed {
		speed[i] = 1
	}
	var w works
	for range 3 { // each part is read off what the others leave: works, then speeds, then cache
		w = fit(by, speed, k.Saves, len(types))
		for i, b := range by {
			told, took := 0.0, 0.0
			for j := range b {
				s := &b[j]
				s.want = w.of(s) // at speed 1
				if s.hit {
					s.want *= 1 - k.Saves
				}
				if ratio := (s.took - w.wayOf(s)) / math.Max(s.want/speed[i], 1e-9); !s.odd && ratio > 0 {
					told, took = told+s.want, took+s.took-w.wayOf(s)
				}
			}
			if len(b) >= few && took > 0 {
				speed[i] = told / took
			}
		}
		mark(by, speed, w)
		if k.Remembers == 0 {
			k.Remembers, k.Saves = cache(by, speed, w)
		}
		remember(by, int(k.Remembers))
	}
	k.Way = w.way
	others(k, by, speed, w, bricks, names)
	mean := 0.0
	for i := range speed {
		mean += speed[i] / float64(len(speed))
	}
	var speeds []*pb.CapacityModel_BrickSpeed
	for i, b := range names {
		speeds = append(speeds, &pb.CapacityModel_BrickSpeed{Name: b, Kind: name, Speed: speed[i] / mean, Samples: uint32(len(by[i]))})
	}
	vary := make([][]float64, len(types))
	var took, want []float64
	for i, b := range by {
		for j := range b {
			s := &b[j]
			if s.idle {
				continue
			}
			k.Fit.Busy++
			if s.odd {
				continue
			}
			vary[s.queue] = append(vary[s.queue], s.took*speed[i]/math.Max(s.want, 1e-9))
			took, want = append(took, s.took), append(want, s.want/speed[i])
		}
	}
	if len(took) < few { // hardly ever two at once: idle begins must do
		took, want = nil, nil
		for i, b := range by {
			for j := range b {
				s := &b[j]
				own := s.took - w.wayOf(s)
				if s.odd || own <= 0 {
					continue
				}
				vary[s.queue] = append(vary[s.queue], own*speed[i]/math.Max(s.want, 1e-9))
				took, want = append(took, s.took), append(want, s.want/speed[i]+w.wayOf(s))
			}
		}
	}
	for q, t := range types {
		count := 0
		for _, b := range by {
			for j := range b {
				if b[j].queue == q {
					count++
				}
			}
		}
		if count < few {
			continue
		}
		up := 1 / mean
		if t.Writes {
			up /= 1 - k.Deferred // what is seen at once is what was not put off
		}
		x := &pb.CapacityModel_Work{QueueType: t.Name, Base: w.base[q] * up, Unit: w.unit[q] * up, Samples: uint32(count)}
		if len(vary[q]) >= few {
			// By the quantiles 0.1 and 0.9, as if lognormal: the tail was cut off with what is odd.
			slices.Sort(vary[q])
			n := len(vary[q])
			low, high := math.Max(vary[q][n/10], 1e-3), math.Max(vary[q][n-1-n/10], 1e-3)
			s := math.Log(high/low) / (2 * 1.2816)
			x.Vary = math.Min(math.Sqrt(math.Exp(s*s)-1), 5)
		}
		k.Work = append(k.Work, x)
	}
	k.Fit.Explained = math.Max(0, 1-squares(took, want)/math.Max(stat.Variance(took, nil)*float64(len(took)-1), 1e-18))
	use(k, by, speed, w)
	return k, speeds
}

func squares(a, b []float64) (sum float64) {
	for i := range a {
		sum += (a[i] - b[i]) * (a[i] - b[i])
	}
	return sum
}

// works are those of a core of speed 1.
type works struct {
	base, unit []float64
	way        float64
}

func (w *works) of(s *sample) float64 { return w.base[s.queue] + w.unit[s.queue]*s.units }

func (w *works) wayOf(s *sample) float64 {
	if s.idle {
		return w.way
	}
	return 0
}

// fit is a least-squares fit of base and unit of each queue type, and of the way in what found the brick idle; relative, since the
// spread of works grows with them, and robust: what lies far off counts less (Huber's weights).
func fit(by [][]sample, speed []float64, saves float64, types int) works {
	type row struct {
		s *sample
		y float64
	}
	var rows []row
	idle, busy := 0, 0
	seen := make([]int, types)
	sizes := make([]map[float64]bool, types)
	for i, b := range by {
		for j := range b {
			s := &b[j]
			y := s.took * speed[i]
			if s.hit {
				y /= 1 - saves
			}
			if s.idle {
				idle++
			} else {
				busy++
			}
			seen[s.queue]++
			if sizes[s.queue] == nil {
				sizes[s.queue] = map[float64]bool{}
			}
			sizes[s.queue][s.units] = true
			rows = append(rows, row{s, y})
		}
	}
	w := works{base: make([]float64, types), unit: make([]float64, types)}
	// A column for each thing that the data can tell apart.
	var cols []func(s *sample) float64
	var put []func(x float64)
	for q := range types {
		if seen[q] == 0 {
			continue
		}
		if len(sizes[q]) > 1 && seen[q] >= few {
			cols = append(cols, func(s *sample) float64 { return float(s.queue == q) })
			put = append(put, func(x float64) { w.base[q] = x })
		}
		cols = append(cols, func(s *sample) float64 { return float(s.queue == q) * s.units })
		put = append(put, func(x float64) { w.unit[q] = x })
	}
	if idle >= few && busy >= few {
		cols = append(cols, func(s *sample) float64 { return float(s.idle) })
		put = append(put, func(x float64) { w.way = x })
	}
	weight := make([]float64, len(rows))
	size := 0.0
	for _, r := range rows {
		size += r.y / float64(len(rows))
	}
	for i, r := range rows {
		weight[i] = 1 / math.Max(r.s.units, 1e-9) / size
	}
	for range 8 {
		n := len(cols)
		xx, xy := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
		for i, r := range rows {
			ww := weight[i] * weight[i]
			for a := range n {
				xa := cols[a](r.s)
				if xa == 0 {
					continue
				}
				xy.SetVec(a, xy.AtVec(a)+ww*xa*r.y)
				for b := a; b < n; b++ {
					xx.SetSym(a, b, xx.At(a, b)+ww*xa*cols[b](r.s))
				}
			}
		}
		for a := range n {
			xx.SetSym(a, a, xx.At(a, a)*(1+1e-9)+1e-12)
		}
		var ch mat.Cholesky
		var x mat.VecDense
		if !ch.Factorize(xx) || ch.SolveVecTo(&x, xy) != nil {
			break
		}
		for a := range n {
			put[a](x.AtVec(a))
		}
		for q := range types { // no part is negative
			if w.base[q] < 0 || w.unit[q] < 0 {
				sum, units := 0.0, 0.0
				for i, r := range rows {
					if r.s.queue == q {
						c := weight[i] * r.s.units
						sum, units = sum+c*(r.y-w.wayOf(r.s)), units+c*r.s.units
					}
				}
				w.base[q], w.unit[q] = 0, math.Max(sum/math.Max(units, 1e-12), 0)
			}
		}
		w.way = math.Max(w.way, 0)
		off := make([]float64, len(rows))
		for i, r := range rows {
			off[i] = math.Abs(r.y/math.Max(w.of(r.s)+w.wayOf(r.s), 1e-9) - 1)
		}
		sorted := slices.Clone(off)
		slices.Sort(sorted)
		bound := math.Max(4*1.4826*sorted[len(sorted)/2], 0.05)
		for i, r := range rows {
			weight[i] = 1 / math.Max(w.of(r.s)+w.wayOf(r.s), 1e-6) * math.Sqrt(math.Min(1, bound/math.Max(off[i], 1e-9)))
			if off[i] > 2*bound {
				weight[i] = 0
			}
		}
	}
	return w
}

func float(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// mark finds what took far longer than what is like it.
func mark(by [][]sample, speed []float64, w works) {
	var off []float64
	for i, b := range by {
		for j := range b {
			off = append(off, math.Abs(ratio(&b[j], speed[i], w)-1))
		}
	}
	slices.Sort(off)
	bound := math.Max(6*1.4826*off[len(off)/2], 1)
	for i, b := range by {
		for j := range b {
			b[j].odd = ratio(&b[j], speed[i], w)-1 > bound
		}
	}
}

func ratio(s *sample, speed float64, w works) float64 {
	want := s.want
	if want == 0 {
		want = w.of(s)
	}
	return (s.took - w.wayOf(s)) * speed / math.Max(want, 1e-9)
}

// cache tells how many pieces a brick remembers, and what that saves: the size under which hits and misses differ most surely.
func cache(by [][]sample, speed []float64, w works) (size uint32, saves float64) {
	best := 5.0 // standard errors; by chance the largest of a dozen sizes is rarely over 3
	for _, k := range []int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 64, 128, 256} {
		remember(by, k)
		var hits, misses []float64
		for i, b := range by {
			for j := range b {
				if s := &b[j]; s.object != 0 && !s.odd {
					x := (s.took - w.wayOf(s)) * speed[i] / math.Max(w.of(s), 1e-9)
					if s.hit {
						hits = append(hits, x)
					} else {
						misses = append(misses, x)
					}
				}
			}
		}
		if len(hits) < few || len(misses) < few {
			continue
		}
		mh, mm := stat.Mean(hits, nil), stat.Mean(misses, nil)
		err := math.Sqrt(stat.Variance(hits, nil)/float64(len(hits)) + stat.Variance(misses, nil)/float64(len(misses)))
		if t := (mm - mh) / math.Max(err, 1e-12); t > best && mh < 0.95*mm {
			best, size, saves = t, uint32(k), math.Min(1-mh/mm, 0.95)
		}
	}
	return size, saves
}

// remember marks what a cache of a size would have held: pieces come in when missed, the oldest goes.
func remember(by [][]sample, size int) {
	for _, b := range by {
		var recent []uint64
		for j := range b {
			s := &b[j]
			if s.hit = false; size == 0 || s.object == 0 {
				continue
			}
			if slices.Contains(recent, s.object) {
				s.hit = true
			} else if recent = append(recent, s.object); len(recent) > size {
				recent = recent[1:]
			}
		}
	}
}

// others tells what ran before the odd ones: deferred work of writes, if how much it was goes with the writes since the last
// time, else pauses.
func others(k *pb.CapacityModel_KindModel, by [][]sample, speed []float64, w works, bricks map[string][]dispatch, names []string) {
	var excess, written, gaps, after []float64 // after: 0 for a brick's first
	span, total := 0.0, 0.0
	for i, b := range by {
		since, last := 0.0, time.Duration(0)
		for j := range b {
			s := &b[j]
			if s.write {
				since += s.want
				total += s.want
			}
			if !s.odd {
				continue
			}
			excess = append(excess, (s.took-w.wayOf(s))*speed[i]-s.want)
			written = append(written, since)
			since = 0
			after = append(after, 0)
			if last > 0 {
				gaps = append(gaps, (s.at - last).Seconds())
				after[len(after)-1] = gaps[len(gaps)-1]
			}
			last = s.at
		}
		all := bricks[names[i]]
		if len(all) > 0 {
			span += (all[len(all)-1].from - all[0].from).Seconds()
		}
	}
	if len(excess) < fewOutliers || len(gaps) < fewOutliers {
		return
	}
	sorted := slices.Clone(gaps)
	slices.Sort(sorted)
	usual := sorted[len(sorted)/2]
	if goes := stat.Correlation(written, excess, nil); goes > 0.35 && total > 0 {
		// Some were not seen, behind a large dispatch: only what came one usual gap after the one before counts.
		sum, since := 0.0, 0.0
		for i, x := range excess {
			if after[i] > 0.6*usual && after[i] < 1.4*usual {
				sum, since = sum+x, since+written[i]
			}
		}
		if since == 0 {
			return
		}
		part := sum / since
		k.Deferred, k.Flush = math.Min(part/(1+part), 0.9), usual
		return
	}
	slices.Sort(excess)
	k.Pause, k.PauseEvery = excess[len(excess)/2], span/float64(len(excess))
}

// use compares what the bricks did with what the model says of the same commands.
func use(k *pb.CapacityModel_KindModel, by [][]sample, speed []float64, w works) {
	seen, told := 0.0, 0.0
	for i, b := range by {
		for j := range b {
			s := &b[j]
			seen += s.took - w.wayOf(s)
			x := s.want / speed[i]
			if s.write && k.Deferred > 0 {
				x /= 1 - k.Deferred
			}
			told += x
		}
		if k.PauseEvery > 0 && len(b) > 1 {
			told += (b[len(b)-1].at - b[0].at).Seconds() / k.PauseEvery * k.Pause
		}
	}
	k.Fit.UseSeen, k.Fit.UseTold = seen, told
}
