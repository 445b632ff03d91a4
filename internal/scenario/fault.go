package scenario

import (
	"context"
	"math"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"weirhaven/internal/fake/discovery"
	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// wait sleeps until a moment; false: the drill is over.
func wait(ctx context.Context, until time.Time) bool {
	select {
	case <-time.After(time.Until(until)):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// struck draws who is struck.
func struck(t *pb.Trouble, n int, rng *rand.Rand) []int {
	if len(t.On) > 0 {
		var on []int
		for _, i := range t.On {
			if int(i) < n {
				on = append(on, int(i))
			}
		}
		return on
	}
	if t.Part == 0 {
		return nil
	}
	return rng.Perm(n)[:min(n, max(1, int(math.Round(t.Part*float64(n)))))]
}

// play plays one trouble from its begin to its end.
func (r *runner) play(ctx context.Context, t *pb.Trouble, start time.Time, rng *rand.Rand) {
	begin := start.Add(settings.Duration(t.At, 0))
	length := settings.Duration(t.Length, 0)
	end := begin.Add(length)
	if !wait(ctx, begin) {
		return
	}
	back := settings.Duration(t.Back, time.Second)
	switch t.Kind {
	case pb.Trouble_HOST_CRASH:
		r.each(struck(t, len(r.hosts), rng), func(i int) {
			r.killHost(r.hosts[i])
			if wait(ctx, time.Now().Add(back)) {
				_ = r.startHost(ctx, r.hosts[i]) // one that does not start stays down for the rest of the day
			}
		})
	case pb.Trouble_HOST_ROLL:
		r.roll(ctx, t, end, back, rng)
	case pb.Trouble_PREEMPT, pb.Trouble_BRICK_CRASH, pb.Trouble_AGEING:
		r.each(struck(t, len(r.slots), rng), func(cell int) {
			switch t.Kind {
			case pb.Trouble_PREEMPT:
				r.replace(ctx, cell, length, back)
			case pb.Trouble_BRICK_CRASH:
				r.crash(ctx, cell, back)
			default:
				r.age(ctx, t, cell, begin, length, back)
			}
		})
	case pb.Trouble_BURST:
		r.load.SetRate(-1, max(t.Size, 1))
		wait(ctx, end)
		r.load.SetRate(-1, 1)
	case pb.Trouble_PLAN_BURST:
		plan := slices.IndexFunc(r.d.Plan, func(p *pb.Plan) bool { return p.Name == t.Plan })
		r.load.SetRate(max(plan, 0), max(t.Size, 1))
		wait(ctx, end)
		r.load.SetRate(max(plan, 0), 1)
	case pb.Trouble_HOT_KEY:
		r.load.SetHotShare(t.Size)
		wait(ctx, end)
		r.load.SetHotShare(0)
	case pb.Trouble_REPEAT_ABUSE:
		r.load.SetImmediateRetries(int(max(t.Size, 1)))
		wait(ctx, end)
		r.load.SetImmediateRetries(0)
	case pb.Trouble_RECONNECT:
		r.load.Reconnect(t.Size)
	case pb.Trouble_LIST_FLAPS:
		for how := discovery.PartialList; time.Now().Before(end); how = (how + 1) % (discovery.ConnectionLoss + 1) {
			r.list.Inject(how)
			if !wait(ctx, time.Now().Add(150*time.Millisecond)) {
				return
			}
			r.list.SendFullList()
			if !wait(ctx, time.Now().Add(150*time.Millisecond)) {
				return
			}
		}
	case pb.Trouble_PLANNER_KILL, pb.Trouble_PLANNER_STALL, pb.Trouble_PLANNER_OLD:
		r.troublePlanner(ctx, t, begin, end, back, rng)
	case pb.Trouble_CLIENTS_STALL:
		r.load.Stall(t.Size, length)
	default:
		r.conditions(ctx, t, end, rng)
	}
}

func (r *runner) each(on []int, f func(i int)) {
	var wg sync.WaitGroup
	for _, i := range on {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(i)
		}()
	}
	wg.Wait()
}

// conditions are troubles that a brick has for a while.
func (r *runner) conditions(ctx context.Context, t *pb.Trouble, end time.Time, rng *rand.Rand) {
	var set, reset func(c *storagenode.Conditions)
	extra := time.Duration(t.Extra * float64(time.Second))
	switch t.Kind {
	case pb.Trouble_SLOW:
		set, reset = func(c *storagenode.Conditions) { c.Slowdown = t.Size }, func(c *storagenode.Conditions) { c.Slowdown = 0 }
	case pb.Trouble_FAST_ERRORS:
		set, reset = func(c *storagenode.Conditions) { c.ErrorShare = t.Size }, func(c *storagenode.Conditions) { c.ErrorShare = 0 }
	case pb.Trouble_ANSWER_LOST:
		set, reset = func(c *storagenode.Conditions) { c.LostShare, c.ResetOnLoss = t.Size, t.Reset_ }, func(c *storagenode.Conditions) { c.LostShare = 0 }
	case pb.Trouble_NEIGHBOUR:
		set, reset = func(c *storagenode.Conditions) { c.NeighborShare, c.NeighborPeriod = t.Size, extra }, func(c *storagenode.Conditions) { c.NeighborShare = 0 }
	case pb.Trouble_PAUSES:
		set = func(c *storagenode.Conditions) {
			c.Pause, c.PauseInterval = time.Duration(t.Size*float64(time.Millisecond)), extra
		}
		reset = func(c *storagenode.Conditions) { c.Pause = 0 }
	case pb.Trouble_HEAVY_TAIL:
		set, reset = func(c *storagenode.Conditions) { c.CostlyShare, c.CostlyMultiple = t.Extra, t.Size }, func(c *storagenode.Conditions) { c.CostlyShare = 0 }
	default:
		return
	}
	on := struck(t, len(r.slots), rng)
	if len(on) == 0 {
		on = rng.Perm(len(r.slots))
	}
	for _, cell := range on {
		r.at(cell).Set(set)
	}
	wait(ctx, end)
	for _, cell := range on {
		r.at(cell).Set(reset)
	}
}

func (r *runner) at(cell int) *storagenode.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bricks[cell]
}

// roll restarts all hosts, a part at a time, politely.
func (r *runner) roll(ctx context.Context, t *pb.Trouble, end time.Time, back time.Duration, rng *rand.Rand) {
	order := rng.Perm(len(r.hosts))
	step := max(1, int(math.Round(t.Part*float64(len(order)))))
	waves := (len(order) + step - 1) / step
	gap := time.Until(end) / time.Duration(waves)
	for w := 0; w < len(order); w += step {
		next := time.Now().Add(gap)
		r.each(order[w:min(w+step, len(order))], func(i int) {
			r.stopHost(r.hosts[i])
			if wait(ctx, time.Now().Add(back)) {
				_ = r.startHost(ctx, r.hosts[i]) // one that does not start stays down for the rest of the day
			}
		})
		if !wait(ctx, next) {
			return
		}
	}
}

// replace drains a brick, takes it away, and puts a cold one with another name and address in its cell.
func (r *runner) replace(ctx context.Context, cell int, drain, back time.Duration) {
	b := r.at(cell)
	r.unlist(b, cell, "draining")
	b.AnnounceDraining()
	if !wait(ctx, time.Now().Add(drain)) {
		return
	}
	r.unlist(b, cell, "gone")
	b.Stop()
	if wait(ctx, time.Now().Add(back)) {
		_, _ = r.startBrick(cell, "", true, "127.0.0.1:0") // without one the shard stays empty for the rest of the day
	}
}

// crash lets a brick die with all it holds and come back cold, of the same name, at the same address.
func (r *runner) crash(ctx context.Context, cell int, back time.Duration) {
	b := r.at(cell)
	b.Stop()
	if !wait(ctx, time.Now().Add(back)) {
		return
	}
	address := strings.Replace(b.Address(), r.ip, "127.0.0.1", 1)
	for range 50 {
		if _, err := r.startBrick(cell, b.Name(), true, address); err == nil {
			return
		}
		if !wait(ctx, time.Now().Add(20*time.Millisecond)) {
			return
		}
	}
}

// age slows a brick down more and more, until it dies.
func (r *runner) age(ctx context.Context, t *pb.Trouble, cell int, begin time.Time, length, back time.Duration) {
	b := r.at(cell)
	for time.Since(begin) < length {
		part := time.Since(begin).Seconds() / length.Seconds()
		b.Set(func(c *storagenode.Conditions) { c.Slowdown = 1 + (t.Size-1)*part })
		if !wait(ctx, time.Now().Add(length/20)) {
			return
		}
	}
	if r.at(cell) == b {
		r.crash(ctx, cell, back)
	}
}
