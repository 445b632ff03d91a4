// Package policy decides, for one host, which command goes to which storage node and when.
//
// How it is called: New once, then one method for each thing that happens: ListBegins, Listed, ListEnds,
// ListFailed, Taken, Begun, Ended, Left, Probed, Heard, Hosts, VolumeHosts. It acts at once, through Host
// (host.go). The design decides the ordinary path: Little's-law demand, the divvy, a latency-set window,
// tag order.
//
// Mechanisms beside the design:
//  1. gap: a brick earns commands by its answers, at a rate that falls and rises with them (pace, pick)
//  2. watch: where hosts may probe and tell, one watches a stuck brick for all (probe, watch, free)
//  3. cold ramp: a brick that came up gets a rate that starts low and rises (coldRoom)
//  4. yielding: what can wait goes later, what misses its service target last, or it is refused (next)
//  5. line: new objects wait at the host, a brick with a free place takes the next (serve)
package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	period = time.Second // of demand and divvy; the window's is 2 Lc
	growth = 0.25        // most that a window grows in one of its periods
	gamma  = 0.5

	startQuota, ceiling = 8.0, 32 // of all hosts; most of one host
	congestion          = 0.25    // Lc as a part of the shortest service target
	dueGap              = 4       // what is due waits for this part of a brick's gap
	never               = time.Duration(math.MaxInt64)
)

// What can wait for two of the shortest service targets goes after what can't, what missed its own goes last.
const pressing, canWait, missed = 0, 1, 2

// New starts a host that knows nothing yet.
func New(h Runtime, s Settings) *Scheduler {
	in := &Scheduler{host: h, rng: rand.New(rand.NewSource(s.Seed)),
		queues: map[string]*queueType{}, plans: map[string]*plan{}, cells: map[int]*cell{}, keys: map[string]*key{},
		refused: map[wish][]time.Duration{}, marksRepeat: s.ClientsMarkRetries, cancels: s.CanCancel, advises: s.MaxRetryAfter,
		maxDispatches: s.MaxAttempts, budgeted: s.RetryBudget, budgetFree: s.RetryBudgetFree, budgetShare: s.RetryBudgetRatio,
		budgetSpan: s.RetryBudgetWindow, keyRest: s.OrderingCooldown, usual: math.Max(s.TypicalUnits, 1), askWithin: s.MaxListAge,
		watches: s.HealthChecks && s.Gossip, ordinal: s.Ordinal, early: 2 * s.TimerResolution, began: h.Now(),
		coldFor: s.SlowStartTime, coldSpan: s.OverloadWindow, coldGain: 1/math.Max(s.SlowStartShare, 0.01) - 1}
	in.coldAll = s.SlowStartUnits * math.Max(s.OverloadFactor-1, 0) / math.Max(s.OverloadFactor, 1)
	in.SetGateways(max(s.Gateways, 1), max(s.Gateways, 1))
	in.coldProof, in.shortest = math.Max(s.OverloadFactor-1, 0)/2, never
	for _, q := range s.Classes {
		in.queues[q.Name] = &queueType{target: q.LatencyObjective, timeout: q.Timeout, window: q.IdempotencyWindow,
			importance: q.PriorityWeight, late: q.LateValue, semantics: q.Idempotency, group: q.IdempotencyScope, order: q.Ordered}
		in.shortest = min(in.shortest, q.LatencyObjective)
	}
	in.lc = max(time.Duration(float64(in.shortest)*congestion), time.Millisecond)
	for _, q := range in.queues {
		q.cost, q.work = in.lc.Seconds()/in.usual, in.lc.Seconds()/in.usual/2
	}
	for _, p := range s.Plans {
		in.plans[p.Name] = &plan{nominal: p.NominalRate, reservation: p.Reservation, limit: p.Limit, depth: p.Burst,
			slack: p.InitialBurst, weight: math.Max(p.Weight, 0.01)}
	}
	if s.PollEndpointList {
		h.After(time.Duration(in.rng.Int63n(int64(period)/4)), func() { in.host.RequestEndpointList() })
	}
	h.After(period, in.turn)
	h.After(in.lc/4, in.sweep)
	return in
}

// Hosts tells how many hosts serve now, and over how many a cold brick's room must be split: those that may
// still serve count there. Guards rule 4 while hosts come and go. 0: this host has no part yet.
func (in *Scheduler) SetGateways(serving, parts int) {
	in.hosts, in.coldUnits = math.Max(1, float64(serving)), 0
	if parts > 0 {
		in.coldUnits = in.coldAll / float64(parts)
	}
}

// VolumeHosts tells through how many hosts a volume works from now on. Guards rule 7 meanwhile: a part that
// shrinks loses what it held in proportion, one that grows fills at its rate.
func (in *Scheduler) SetVolumeGateways(v *Volume, hosts int) {
	if n := math.Max(1, float64(hosts)); v.plan != nil && n != v.hosts {
		v.limit.fill(in.host.Now())
		v.limit.level *= math.Min(1, v.hosts/n)
		v.limit.rate, v.limit.depth, v.hosts = v.plan.limit/n, v.plan.depth/n, n
	}
}

// ListBegins opens a list; in a whole one, what is not named is gone.
func (in *Scheduler) BeginEndpointList(whole bool) {
	in.failures = 0
	if whole {
		for _, b := range in.bricks {
			b.listed = false
		}
	}
}

// Listed is one line of the list.
func (in *Scheduler) UpdateEndpoint(b *Endpoint, update EndpointUpdate) {
	zone, cellNo, serving, gone, boot := update.Zone, update.Shard, update.Serving, update.Removed, update.StartedAt
	if b.quota == 0 {
		b.quota, b.of, b.lat = startQuota, 1/in.hosts, in.lc
		b.window, b.cell = part(b.quota, b.of), cellNo
		in.bricks = append(in.bricks, b)
		c := in.cellOf(cellNo)
		c.bricks = append(c.bricks, b)
	}
	if boot > b.boot {
		b.boot, b.strikes, b.gap, b.stuck = boot, 0, 0, 0
		if in.coldFor > in.host.Now()-boot {
			in.log("ramp %s: started %v ago, warm within %v", b.Name, in.host.Now()-boot, in.coldFor)
		}
	} else if boot < b.boot { // taken for just started till it told; guards a start from an old list
		b.boot = boot
	}
	if b.open && !serving {
		in.log("close %s: listed as draining or gone, %d out", b.Name, b.out)
	}
	b.zone, b.listed, b.open = zone, !gone, serving
}

func (in *Scheduler) EndEndpointList() {
	for _, b := range slices.Clone(in.bricks) {
		if !b.listed && b.open {
			b.open = false
			in.log("close %s: gone from the list, %d out", b.Name, b.out)
		}
		if in.fill(b); !b.listed && b.out == 0 { // replaced bricks have new names: nothing of the old ones is kept
			b.quota, in.bricks = 0, without(in.bricks, b)
			in.cellOf(b.cell).bricks = without(in.cellOf(b.cell).bricks, b)
		}
	}
}

// ListFailed tells of a call or a watch that failed; hosts ask again at times of their own.
func (in *Scheduler) EndpointListFailed() {
	in.failures++
	wait := min(period<<min(in.failures, 3), in.askWithin/2)
	in.log("list failed %d times, asking within %v", in.failures, wait)
	in.host.After(wait/2+time.Duration(in.rng.Int63n(int64(wait/2)+1)), func() { in.host.RequestEndpointList() })
}

// Taken is a command that this host now owes one final answer.
func (in *Scheduler) RequestReceived(c *Request, arrival RequestArrival) error {
	queue, planName, object, cellNo, hosts := arrival.Class, arrival.Plan, arrival.Object, arrival.Shard, arrival.Gateways
	units, giveUp, repeat := arrival.Units, arrival.Deadline, arrival.Retry
	now := in.host.Now()
	if in.queues[queue] == nil || in.plans[planName] == nil {
		return fmt.Errorf("unknown queue type %q or plan %q", queue, planName)
	}
	c.queue, c.object, c.cell, c.units, c.taken, c.giveUp = in.queues[queue], object, cellNo, units, now, giveUp
	if in.budgeted {
		in.taken = append(in.taken, now)
	}
	v := c.Volume
	if v.plan == nil {
		v.plan, v.hosts = in.plans[planName], math.Max(1, float64(hosts))
		v.reserve = v.plan.reservation / v.hosts
		// A host that restarts can't know what it spent, so its part of the store starts empty but for its part of
		// the slack; guards rule 7 against hosts killed in a surge. It costs a little right after the first start.
		v.limit = bucket{v.plan.slack / v.hosts, v.plan.limit / v.hosts, v.plan.depth / v.hosts, now}
		in.volumes = append(in.volumes, v)
	}
	c.first, c.lane = in.firstTry(c, repeat), in.laneOf(v, cellNo)
	c.target = min(c.first+c.queue.target, giveUp)
	if c.queue.order && object != "" {
		c.key = in.keyOf(object)
		c.key.line = append(c.key.line, c)
	}
	c.lane.count(now, c.units)
	in.hold(c)
	// What was sent nowhere when its service target passes, or by half of its time, is given up then. Guards
	// the connection that each held command takes, and clients, who have time left to ask again. It hurts where
	// a brick that frees late would still do it.
	in.host.After(min(max(c.target-now, in.lc), (giveUp-now)/2)-in.early, func() {
		if !c.over && len(c.dispatches) == 0 {
			in.giveUp(c)
		}
	})
	in.host.After(giveUp-in.early-now, func() { // set at once: the command timeout can't be missed
		if !c.over && !c.streaming {
			in.giveUp(c)
		}
	})
	in.serve(c.lane)
	return nil
}

// Begun tells that the answer has begun to stream: the command is the client's.
func (in *Scheduler) ResponseStarted(d *Attempt) {
	d.Request.streaming = true
	in.callOff(d.Request, d)
}

func (in *Scheduler) callOff(c *Request, but *Attempt) {
	for _, d := range c.dispatches {
		if d != but && !d.over && in.cancels {
			in.host.Cancel(d)
		}
	}
}

// Left tells that the client has gone; nothing is owed.
func (in *Scheduler) ClientDisconnected(c *Request) {
	if !c.over {
		in.refused[c.wish] = append(in.refused[c.wish], c.first)
		in.finish(c)
	}
}

// firstTry is when the client first asked. Its repeat of what this host gave up on counts from there, so it
// won't go before what can be in time. Guards against storms of repeats; what asks anew may look like one.
func (in *Scheduler) firstTry(c *Request, repeat bool) time.Duration {
	c.wish = wish{c.Volume, c.queue, c.object, c.units}
	tries := in.refused[c.wish]
	if len(tries) == 0 || in.marksRepeat && !repeat {
		return c.taken
	}
	in.refused[c.wish] = tries[1:]
	return tries[0]
}

func (in *Scheduler) giveUp(c *Request) {
	in.refused[c.wish] = append(in.refused[c.wish], c.first)
	busy := in.mayRefuse(c)
	in.finish(c)
	if busy {
		in.host.Reject(c, min(in.least(c.cell), in.advises))
	} else {
		in.host.Fail(c)
	}
}

func (in *Scheduler) finish(c *Request) {
	in.unhold(c)
	c.over = true
	c.lane.count(in.host.Now(), -c.units)
	if !c.streaming {
		in.callOff(c, nil)
	}
	in.leaveLine(c)
}

// mayRefuse guards rule 2: a busy reply says that trying again is harmless.
func (in *Scheduler) mayRefuse(c *Request) bool {
	return c.queue.semantics == Idempotent || c.queue.semantics == IdempotentByKey && c.queue.group == "all" ||
		!slices.ContainsFunc(c.dispatches, func(d *Attempt) bool { return d.ran })
}

// mayRun guards rules 2, 5 and 7 for a dispatch of c to b.
func (in *Scheduler) mayRun(c *Request, b *Endpoint, now time.Duration) bool {
	if c.key != nil && (c.key.line[0] != c || now < c.key.rest && len(c.dispatches) == 0) {
		return false
	}
	for _, d := range c.dispatches {
		if q := c.queue; d.ran && (q.semantics == NotIdempotent || q.semantics == IdempotentByKey &&
			(now >= d.sent+q.window || q.group == "zone" && b.zone != d.Endpoint.zone ||
				q.group == "cell" && b.cell != d.Endpoint.cell)) {
			return false
		}
	}
	return true
}

// by is until when a further dispatch may begin. Guards rule 2 where one waits for its connection: later its
// mark may be forgotten.
func (c *Request) by() (by time.Duration) {
	for _, d := range c.dispatches {
		if end := d.sent + c.queue.window; d.ran && c.queue.semantics == IdempotentByKey && (by == 0 || end < by) {
			by = end
		}
	}
	return by
}

// again tells whether a further dispatch of c may go to b: within attempts, credit and budget.
func (in *Scheduler) again(c *Request, b *Endpoint, now time.Duration) bool {
	if len(c.dispatches) == 0 {
		return true
	}
	return c.out == 0 && len(c.dispatches) < in.maxDispatches && b.strikes == 0 && in.affords(now)
}

func (in *Scheduler) affords(now time.Duration) bool {
	if !in.budgeted {
		return true
	}
	for ; len(in.further) > 0 && in.further[0] < now-in.budgetSpan; in.further = in.further[1:] {
	}
	for ; len(in.taken) > 0 && in.taken[0] <= now-in.budgetSpan; in.taken = in.taken[1:] {
	}
	return float64(len(in.further)+1) <= in.budgetFree+in.budgetShare*float64(len(in.taken))
}

// Ended tells how a dispatch ended; last, that the command is over.
func (in *Scheduler) AttemptEnded(d *Attempt, result AttemptResult) {
	how, took, last := result.Outcome, result.Duration, result.RequestOver
	now, c, b := in.host.Now(), d.Request, d.Endpoint
	d.over, b.flying = true, without(b.flying, d)
	c.out, b.out = c.out-1, b.out-1
	d.ran = how == Served || how == ErrorResponse || how == TimedOut || how == ConnectionReset || how == Canceled
	if c.key != nil && (how == TimedOut || how == ConnectionReset || how == Canceled) {
		c.key.rest = max(c.key.rest, now+in.keyRest)
	}
	if d.done = how == Served; d.lost && d.done && !in.watches {
		c.Volume.served += c.units
	}
	switch { // only work done feeds Lat: fast failures would widen a dying brick's window
	case d.lost && !in.watches: // what overtook it told of the brick
	case how == Served:
		b.strikes, b.breaks = 0, 0
		b.sum += took
		b.answers++
		more := took.Seconds()/c.units - c.queue.work // own work a unit: the least twentieth of what answers took
		c.queue.work += math.Min(0.1*more, 0.005*more)
		in.pace(d, took-time.Duration(c.queue.work*c.units*float64(time.Second)))
		b.lat += time.Duration(0.1 * float64(took-b.lat))
		if c.Volume.served += c.units; !in.watches && took <= 2*in.lc {
			in.callLost(b, d.sent)
		}
		c.queue.cost += 0.02 * (took.Seconds()/c.units - c.queue.cost)
	case how == TimedOut || how == Canceled: // the brick still holds it: unfed, the window would stay wide
		b.sum += took
		b.answers++
		if took > in.lc && !d.lost {
			b.strikes++
			in.probe(b)
		}
		if !in.watches {
			in.pace(d, 2*took)
		}
	case how == Rejected || how == ConnectFailed || how == ConnectionReset:
		if b.breaks++; how == ConnectionReset && b.breaks == 1 { // one connection may break anywhere on the way
			break
		}
		if b.strikes == 0 {
			in.log("suspect %s: full or not reached after %v, %d out", b.Name, took, b.out)
		}
		b.strikes++
		in.pace(d, never/4)
		if how == Rejected && in.watches && now >= b.stuck {
			in.watch(b)
		}
	}
	if how == Served || how == ErrorResponse {
		in.told(c, result.Load.ServedElsewhere, result.Load.Utilization)
	}
	switch {
	case c.over:
		in.leaveLine(c)
	case last:
		in.finish(c)
	case c.out > 0:
	case now >= c.giveUp-in.early || len(c.dispatches) >= in.maxDispatches ||
		!slices.ContainsFunc(in.at(c.cell), func(b *Endpoint) bool { return in.mayRun(c, b, now) }):
		in.giveUp(c)
	default:
		in.hold(c)
	}
	in.fill(b)
	if c.lane.cell != b.cell {
		in.serve(c.lane)
	}
}

// pace moves the least time between dispatches to a brick, from the host's own rate on. Guards against many
// hosts with one place each, however few their commands, and against a full or dead brick that looks free
// since it answers fast. It hurts where a slow answer says nothing of the next, or a brick is back unlisted.
func (in *Scheduler) pace(d *Attempt, took time.Duration) {
	b, factor := d.Endpoint, math.Min(math.Max(took.Seconds()/in.lc.Seconds(), 0.125), 3)
	gap := min(time.Duration(factor*float64(d.gap)), 16*in.lc*time.Duration(in.hosts))
	if gap <= in.lc/4 {
		gap = 0
	}
	if factor > 1 && gap > b.gap || factor <= 1 && d.sent >= b.paced {
		b.paced, b.gap = in.host.Now(), gap
	}
}

// told takes what an answer says of the volume's service through all hosts.
func (in *Scheduler) told(c *Request, elsewhere, metered float64) {
	if v := c.Volume; metered > 0 {
		v.told, v.hasTold = (metered-1)/100*v.plan.nominal, true
	}
	// With few commands of a volume an answer tells of a long time: the rate is over the time since the last.
	l := c.lane
	since := (in.host.Now() - l.told).Seconds()
	l.others += (elsewhere - l.others*since) / (since + period.Seconds())
	l.told, l.heard = in.host.Now(), true
}

// probe asks whether a brick that left a dispatch unanswered is slow or stuck, or only that answer was lost.
func (in *Scheduler) probe(b *Endpoint) {
	if in.watches && !b.probed && b.open {
		b.probed = true
		b.probe = Attempt{Endpoint: b, sent: in.host.Now(), gap: in.start(b)}
		in.host.CheckHealth(b)
	}
}

// overdue tells that a dispatch takes far longer than its own work. If the probe that follows is quick its
// answer was lost: it is called off and its place is free. It hurts where a probe does not wait in turn.
func (in *Scheduler) overdue(d *Attempt, now time.Duration) bool {
	return now-d.sent > 2*in.lc+time.Duration(6*d.Request.queue.work*d.Request.units*float64(time.Second))
}

func (in *Scheduler) start(b *Endpoint) time.Duration { // where the gap opens from: the host's own rate
	return max(b.gap, min(b.every, in.lc*time.Duration(in.hosts)/16), in.lc/4)
}

// watch tells all hosts that a brick is stuck and probes it for them. Guards against one that holds so much
// that it is slow: a little from each of many hosts keeps it so. It hurts where only the probe is slow.
func (in *Scheduler) watch(b *Endpoint) {
	now := in.host.Now()
	if now >= b.stuck {
		in.log("stuck %s: full, or its probe late; %d out", b.Name, b.out)
	}
	b.watched = true
	if b.stuck < now+period {
		in.host.SendGossip(append([]byte{'s'}, b.Name...))
		in.stick(b)
	}
	in.host.After(in.shortest, func() {
		if b.watched {
			in.probe(b)
		}
	})
}

// stick keeps all from a brick until it is told free, or for two periods where the watching host is gone.
func (in *Scheduler) stick(b *Endpoint) {
	b.stuck, b.lat = in.host.Now()+2*period, max(b.lat, in.shortest)
}

// free lets a stuck brick have commands again, from each host at a rate that starts low and rises.
func (in *Scheduler) free(b *Endpoint) {
	b.stuck, b.watched, b.strikes, b.lat = 0, false, 0, in.lc
	b.gap = in.lc * time.Duration(in.hosts)
	b.last = in.host.Now() - time.Duration(in.rng.Int63n(int64(b.gap)))
}

// Probed is the answer to a probe.
func (in *Scheduler) HealthChecked(b *Endpoint, how Outcome, took time.Duration) {
	switch b.probed = false; {
	case how == Served && took <= 2*in.lc:
		if b.strikes = 0; b.watched {
			in.host.SendGossip(append([]byte{'f'}, b.Name...))
			in.free(b)
		}
		in.callLost(b, b.probe.sent)
	case b.watched || in.host.Now() >= b.stuck && (how == TimedOut || how == Served && took > in.shortest):
		in.watch(b)
	}
}

// callLost finds what was overdue at a brick when something was sent there and was answered quickly: its
// answer was lost, its connection fell silent, or it alone is slow. It holds no place any more; it is called
// off at once where a probe showed it, else by half of its time, since one that is slow would be done twice.
func (in *Scheduler) callLost(b *Endpoint, since time.Duration) {
	now := in.host.Now()
	for _, d := range slices.Clone(b.flying) {
		c := d.Request
		if !in.cancels || d.called || c.over || c.streaming || !in.overdue(d, since) {
			continue
		}
		d.lost = d.lost || !in.watches
		if (in.watches || now-c.taken >= c.giveUp-now) && len(c.dispatches) < in.maxDispatches &&
			in.mayRun(c, b, now) && in.affords(now) {
			d.lost, d.called = true, true
			in.host.Cancel(d)
		}
	}
}

// Heard is what another host found: a brick is stuck, or free again. Of two that watch the first goes on.
func (in *Scheduler) GossipReceived(sender int, data []byte) {
	for _, b := range in.bricks {
		switch string(data) {
		case "f" + b.Name:
			in.free(b)
		case "s" + b.Name:
			in.stick(b)
			b.watched = b.watched && sender > in.ordinal
		}
	}
}

// serve offers a lane's commands to the bricks that can take them, the one that answers soonest first.
func (in *Scheduler) serve(l *lane) {
	for free := slices.Clone(in.at(l.cell)); len(l.held) > 0; {
		free = slices.DeleteFunc(free, func(b *Endpoint) bool { return in.room(b) <= 0 })
		if len(free) == 0 {
			return
		}
		best := slices.MinFunc(free, func(a, b *Endpoint) int { return cmp.Compare(a.soon(), b.soon()) })
		if !in.one(best) { // cold, or it is not its turn: the next may do
			free = without(free, best)
		}
	}
}

// room is the number of free places at a brick.
func (in *Scheduler) room(b *Endpoint) int {
	if !b.open || in.host.Now() < b.stuck {
		return 0
	}
	free, late := b.window-b.out, true
	for _, d := range b.flying {
		if d.lost && !in.watches {
			free++
		}
		late = late && in.overdue(d, in.host.Now())
	}
	if in.cancels && !in.watches && late {
		return max(free, 1) // where no probe may be sent, a command shows whether what is out was lost
	}
	return free
}

func (in *Scheduler) fill(b *Endpoint) {
	for in.room(b) > 0 && in.one(b) {
	}
}

// one sends the next command to a brick with a free place.
func (in *Scheduler) one(b *Endpoint) bool {
	now := in.host.Now()
	c, due := in.pick(b, now)
	if c == nil {
		return false
	}
	v, l := c.Volume, c.lane
	if !c.charged && v.plan.limit > 0 {
		v.limit.level -= c.units
	}
	c.charged = true
	if due {
		v.rTag = max(v.rTag, now-period) + time.Duration(c.units/v.reserve*float64(time.Second))
	} else {
		l.wTag = math.Max(l.wTag, b.vtime)
		b.vtime = l.wTag
		l.wTag += c.units / v.plan.weight
	}
	if len(c.dispatches) > 0 {
		in.further = append(in.further, now)
	}
	in.unhold(c)
	d := &Attempt{Request: c, Endpoint: b, Number: len(c.dispatches), StartBy: c.by(), sent: now, gap: in.start(b), ran: true}
	c.dispatches = append(c.dispatches, d)
	c.out, b.out = c.out+1, b.out+1
	b.flying = append(b.flying, d)
	if in.coldFor > now-b.boot && b.boot > 0 {
		b.coldLog = append(b.coldLog, d)
	}
	in.host.Send(d)
	b.every += (min(now-b.last, 4*period) - b.every) / 4
	b.last = now
	b.full = b.full || b.out >= b.window
	return true
}

// pick takes the due reservation tag that is least, else the least weight tag under limit.
func (in *Scheduler) pick(b *Endpoint, now time.Duration) (best *Request, due bool) {
	cold := in.coldRoom(b, now)
	var bestTier int
	var bestTag float64
	for _, no := range [2]int{b.cell, -1} {
		for _, l := range in.cellOf(no).lanes {
			c, tier := in.next(l, b, now, cold)
			if c == nil || tier == missed && b.gap > 0 { // a turn is for what can be in time
				continue
			}
			isDue := tier != missed && l.vol.reserve > 0 && l.vol.rTag <= now
			since := now - b.last
			if no < 0 { // any brick will do: it must not take the turn of what only this one can serve
				since /= 2
			}
			if since < b.gap && (!isDue || since < b.gap/dueGap || b.strikes > 0) {
				continue
			}
			tag := math.Max(l.wTag, b.vtime)
			if isDue {
				tag = max(l.vol.rTag, now-period).Seconds()
			}
			if best == nil || tier < bestTier ||
				tier == bestTier && (isDue && !due || isDue == due && tag < bestTag) {
				best, due, bestTier, bestTag = c, isDue, tier, tag
			}
		}
	}
	return best, due
}

// next is the command of a lane that leaves first, and whether it will miss its service target.
func (in *Scheduler) next(l *lane, b *Endpoint, now time.Duration, cold float64) (best *Request, bestTier int) {
	bestWorth, room := 0.0, math.Inf(1)
	if l.vol.plan.limit > 0 {
		room = l.vol.limit.fill(now)
	}
	for _, c := range l.held {
		if c.units > cold || !c.charged && c.units > room {
			continue
		}
		worth, tier := c.queue.importance/c.queue.cost, pressing
		if now+min(b.lat, c.queue.target/2) > c.target {
			tier, worth = missed, worth*c.queue.late
		} else if c.target-now > 2*in.shortest {
			tier = canWait
		}
		if (best == nil || tier < bestTier || tier == bestTier && worth >= bestWorth) &&
			in.mayRun(c, b, now) && in.again(c, b, now) {
			best, bestWorth, bestTier = c, worth, tier
		}
	}
	return best, bestTier
}

// coldRoom is how many units a brick may still take from this host. Guards rule 4: what a brick is sent
// within a span is what it did (at most capacity x span) and what was out or came to nothing, kept to this
// host's part of what it always bears x (multiple-1)/multiple, more as it warms, or to half of what it did.
func (in *Scheduler) coldRoom(b *Endpoint, now time.Duration) float64 {
	age := now - b.boot
	if b.boot == 0 || age >= in.coldFor {
		b.coldLog = nil
		return math.Inf(1)
	}
	b.coldLog = slices.DeleteFunc(b.coldLog, func(d *Attempt) bool {
		return d.over && d.sent <= now-in.coldSpan
	})
	out, done := 0.0, 0.0
	for _, d := range b.coldLog {
		if d.done {
			done += d.Request.units
		} else {
			out += d.Request.units
		}
	}
	if b.boot <= in.began && now < in.began+in.coldSpan {
		return 0 // a host that has just started can't know what it sent before: its part may be out
	}
	return math.Max(in.coldUnits*(1+in.coldGain*age.Seconds()/in.coldFor.Seconds()), in.coldProof*done) - out
}

// sweep ends what can't be answered in time any more and wakes lanes that waited for a rate.
func (in *Scheduler) sweep() {
	now := in.host.Now()
	for _, b := range in.bricks {
		if now-b.sized >= 2*in.lc {
			in.resize(b, now)
		}
	}
	for _, v := range in.volumes {
		for _, l := range v.lanes {
			if len(l.held) == 0 {
				continue
			}
			for _, c := range slices.Clone(l.held) {
				lat := in.least(l.cell)
				if now+lat > c.giveUp || lat > in.lc && now+min(lat, c.queue.target/2) > c.target {
					in.giveUp(c)
				}
			}
			in.serve(l)
		}
	}
	in.host.After(in.lc/4, in.sweep)
}

// least is the shortest latency that the bricks of a cell show.
func (in *Scheduler) least(cellNo int) time.Duration {
	lat := never
	for _, b := range in.at(cellNo) {
		if b.open {
			lat = min(lat, b.lat)
		}
	}
	if lat == never {
		lat = 2 * in.lc // none is open: what waits is given up when its service target passes
	}
	return lat
}

// turn is the design's period: demand, divvy, windows.
func (in *Scheduler) turn() {
	now := in.host.Now()
	for _, v := range in.volumes {
		in.demand(v, now)
	}
	maps.DeleteFunc(in.refused, func(w wish, tries []time.Duration) bool {
		return len(tries) == 0 || now-tries[len(tries)-1] > w.queue.timeout+in.advises+period
	})
	maps.DeleteFunc(in.keys, func(_ string, k *key) bool { return len(k.line) == 0 && k.rest <= now })
	for _, b := range in.bricks {
		in.entitle(b)
		in.fill(b)
	}
	in.host.After(period, in.turn)
}

// demand sets a volume's demand by Little's law and its part of the reservation.
func (in *Scheduler) demand(v *Volume, now time.Duration) {
	mine, other := 0.0, 0.0
	v.rate, v.served = v.rate+0.5*(v.served/period.Seconds()-v.rate), 0
	for _, l := range v.lanes {
		l.count(now, 0)
		l.demand, l.area = l.area/period.Seconds()/in.lc.Seconds(), 0
		mine += l.demand
	}
	for _, l := range v.lanes {
		switch {
		case v.hosts == 1:
			l.others = 0
		case v.hasTold:
			l.others = math.Max(0, v.told-v.rate) * (l.demand + 0.01) / (mine + 0.01*float64(len(v.lanes)))
		case !l.heard:
			l.others = v.plan.nominal * (v.hosts - 1) / v.hosts / float64(len(v.lanes))
		}
		other += l.others
	}
	v.demand = mine + other
	parts := []share{{most: mine, weight: 1}, {most: other, weight: v.hosts - 1}}
	v.reserve = divvy(v.plan.reservation, parts)[0].got
}

// resize moves a brick's window by its latency.
func (in *Scheduler) resize(b *Endpoint, now time.Duration) {
	for _, d := range b.flying {
		if age := now - d.sent; age > in.lc && (!d.lost || in.watches) {
			b.sum += age
			b.answers++
			if !in.watches {
				in.pace(d, age)
			} else if in.overdue(d, now) {
				in.probe(b)
			}
		}
	}
	if b.answers == 0 { // a brick that gets nothing is not slow for ever
		b.lat += (in.lc - b.lat) / 8
	} else {
		ratio := math.Min(in.lc.Seconds()/(b.sum.Seconds()/float64(b.answers)), 1+growth/gamma)
		if ratio < 1 || b.full { // an idle brick's low latency says nothing of a wider window
			b.quota = math.Min(math.Max((1-gamma)*b.quota+gamma*ratio*b.quota, 1), ceiling)
		}
	}
	b.sum, b.answers, b.sized, b.window = 0, 0, now, part(b.quota, b.of)
	b.full = b.out >= b.window
}

// entitle splits a brick's window among the hosts by what the volumes are entitled to there.
func (in *Scheduler) entitle(b *Endpoint) {
	lanes := in.cellOf(b.cell).lanes
	parts := make([]share, len(lanes))
	for i, l := range lanes {
		total := l.demand + l.others
		reserve := l.vol.plan.reservation * total / math.Max(l.vol.demand, 1e-9)
		parts[i] = share{least: math.Min(reserve, total), most: total, weight: l.vol.plan.weight}
	}
	mine, sum := 0.0, 0.0
	for i, p := range divvy(b.quota/in.lc.Seconds()*in.usual, parts) {
		sum += p.got
		mine += p.got * lanes[i].demand / math.Max(p.most, 1e-9)
	}
	b.of = math.Max(1/in.hosts, mine/math.Max(sum, 1e-9))
	b.window = part(b.quota, b.of)
}

func part(quota, of float64) int { return int(math.Min(math.Max(math.Round(quota*of), 1), ceiling)) }

// divvy splits an amount by weight between least and most; what is left beyond all demand goes by weight too.
func divvy(amount float64, parts []share) []share {
	var weight, most, top float64
	for _, p := range parts {
		weight += p.weight
		most += p.most
		top = math.Max(top, p.most/math.Max(p.weight, 1e-9))
	}
	low, high := 0.0, top
	for i := 0; i < 40 && most > amount; i++ {
		level, sum := (low+high)/2, 0.0
		for _, p := range parts {
			sum += math.Min(math.Max(level*p.weight, p.least), p.most)
		}
		if sum > amount {
			high = level
		} else {
			low = level
		}
	}
	for i, p := range parts {
		parts[i].got = math.Min(math.Max(high*p.weight, p.least), p.most)
		if most <= amount {
			parts[i].got = p.most + (amount-most)*p.weight/math.Max(weight, 1e-9)
		}
	}
	return parts
}

// leaveLine frees a key once its command is over and no dispatch of it is out.
func (in *Scheduler) leaveLine(c *Request) {
	if c.key != nil && c.out == 0 {
		c.key.line = without(c.key.line, c)
	}
}
