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

// waitUntil sleeps until a time. It reports false if the run ended first.
func waitUntil(ctx context.Context, until time.Time) bool {
	select {
	case <-time.After(time.Until(until)):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// affected returns the indices, below n, of the gateways or endpoints that a fault affects: those it lists, or a random share.
func affected(t *pb.Trouble, n int, rng *rand.Rand) []int {
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

// playFault injects one fault at its start time and removes it at its end.
func (r *runner) playFault(ctx context.Context, t *pb.Trouble, start time.Time, rng *rand.Rand) {
	begin := start.Add(settings.Duration(t.At, 0))
	length := settings.Duration(t.Length, 0)
	end := begin.Add(length)
	if !waitUntil(ctx, begin) {
		return
	}
	back := settings.Duration(t.Back, time.Second)
	switch t.Kind {
	case pb.Trouble_HOST_CRASH:
		r.forEach(affected(t, len(r.gateways), rng), func(i int) {
			r.killGateway(r.gateways[i])
			if waitUntil(ctx, time.Now().Add(back)) {
				_ = r.startGateway(ctx, r.gateways[i]) // a gateway that fails to start stays down for the rest of the run
			}
		})
	case pb.Trouble_HOST_ROLL:
		r.rollGateways(ctx, t, end, back, rng)
	case pb.Trouble_PREEMPT, pb.Trouble_BRICK_CRASH, pb.Trouble_AGEING:
		r.forEach(affected(t, len(r.placements), rng), func(shard int) {
			switch t.Kind {
			case pb.Trouble_PREEMPT:
				r.replaceEndpoint(ctx, shard, length, back)
			case pb.Trouble_BRICK_CRASH:
				r.crashEndpoint(ctx, shard, back)
			default:
				r.degradeEndpoint(ctx, t, shard, begin, length, back)
			}
		})
	case pb.Trouble_BURST:
		r.load.SetRate(-1, max(t.Size, 1))
		waitUntil(ctx, end)
		r.load.SetRate(-1, 1)
	case pb.Trouble_PLAN_BURST:
		plan := slices.IndexFunc(r.scenario.Plan, func(p *pb.Plan) bool { return p.Name == t.Plan })
		r.load.SetRate(max(plan, 0), max(t.Size, 1))
		waitUntil(ctx, end)
		r.load.SetRate(max(plan, 0), 1)
	case pb.Trouble_HOT_KEY:
		r.load.SetHotShare(t.Size)
		waitUntil(ctx, end)
		r.load.SetHotShare(0)
	case pb.Trouble_REPEAT_ABUSE:
		r.load.SetImmediateRetries(int(max(t.Size, 1)))
		waitUntil(ctx, end)
		r.load.SetImmediateRetries(0)
	case pb.Trouble_RECONNECT:
		r.load.Reconnect(t.Size)
	case pb.Trouble_LIST_FLAPS:
		for mode := discovery.PartialList; time.Now().Before(end); mode = (mode + 1) % (discovery.ConnectionLoss + 1) {
			r.discovery.Inject(mode)
			if !waitUntil(ctx, time.Now().Add(150*time.Millisecond)) {
				return
			}
			r.discovery.SendFullList()
			if !waitUntil(ctx, time.Now().Add(150*time.Millisecond)) {
				return
			}
		}
	case pb.Trouble_PLANNER_KILL, pb.Trouble_PLANNER_STALL, pb.Trouble_PLANNER_OLD:
		r.playControllerFault(ctx, t, begin, end, back, rng)
	case pb.Trouble_CLIENTS_STALL:
		r.load.Stall(t.Size, length)
	default:
		r.applyConditions(ctx, t, end, rng)
	}
}

func (r *runner) forEach(on []int, f func(i int)) {
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

// applyConditions sets conditions on endpoints until the fault's end, such as slowness or lost responses.
func (r *runner) applyConditions(ctx context.Context, t *pb.Trouble, end time.Time, rng *rand.Rand) {
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
	on := affected(t, len(r.placements), rng)
	if len(on) == 0 {
		on = rng.Perm(len(r.placements))
	}
	for _, shard := range on {
		r.endpointAt(shard).Set(set)
	}
	waitUntil(ctx, end)
	for _, shard := range on {
		r.endpointAt(shard).Set(reset)
	}
}

func (r *runner) endpointAt(shard int) *storagenode.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[shard]
}

// rollGateways restarts all gateways gracefully, a share of them at a time.
func (r *runner) rollGateways(ctx context.Context, t *pb.Trouble, end time.Time, back time.Duration, rng *rand.Rand) {
	order := rng.Perm(len(r.gateways))
	step := max(1, int(math.Round(t.Part*float64(len(order)))))
	waves := (len(order) + step - 1) / step
	gap := time.Until(end) / time.Duration(waves)
	for w := 0; w < len(order); w += step {
		next := time.Now().Add(gap)
		r.forEach(order[w:min(w+step, len(order))], func(i int) {
			r.stopGateway(r.gateways[i])
			if waitUntil(ctx, time.Now().Add(back)) {
				_ = r.startGateway(ctx, r.gateways[i]) // a gateway that fails to start stays down for the rest of the run
			}
		})
		if !waitUntil(ctx, next) {
			return
		}
	}
}

// replaceEndpoint drains and removes an endpoint and starts one in slow start, with another name and address, for its shard.
func (r *runner) replaceEndpoint(ctx context.Context, shard int, drain, back time.Duration) {
	endpoint := r.endpointAt(shard)
	r.listAs(endpoint, shard, "draining")
	endpoint.AnnounceDraining()
	if !waitUntil(ctx, time.Now().Add(drain)) {
		return
	}
	r.listAs(endpoint, shard, "gone")
	endpoint.Stop()
	if waitUntil(ctx, time.Now().Add(back)) {
		_, _ = r.startEndpoint(shard, "", true, "127.0.0.1:0") // on an error the shard has no endpoint for the rest of the run
	}
}

// crashEndpoint stops an endpoint without draining and restarts it in slow start, with the same name and address.
func (r *runner) crashEndpoint(ctx context.Context, shard int, back time.Duration) {
	endpoint := r.endpointAt(shard)
	endpoint.Stop()
	if !waitUntil(ctx, time.Now().Add(back)) {
		return
	}
	address := strings.Replace(endpoint.Address(), r.ip, "127.0.0.1", 1)
	for range 50 {
		if _, err := r.startEndpoint(shard, endpoint.Name(), true, address); err == nil {
			return
		}
		if !waitUntil(ctx, time.Now().Add(20*time.Millisecond)) {
			return
		}
	}
}

// degradeEndpoint slows an endpoint down progressively until it crashes.
func (r *runner) degradeEndpoint(ctx context.Context, t *pb.Trouble, shard int, begin time.Time, length, back time.Duration) {
	endpoint := r.endpointAt(shard)
	for time.Since(begin) < length {
		elapsed := time.Since(begin).Seconds() / length.Seconds()
		endpoint.Set(func(c *storagenode.Conditions) { c.Slowdown = 1 + (t.Size-1)*elapsed })
		if !waitUntil(ctx, time.Now().Add(length/20)) {
			return
		}
	}
	if r.endpointAt(shard) == endpoint {
		r.crashEndpoint(ctx, shard, back)
	}
}
