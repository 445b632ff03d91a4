// Package storagenode is a stand-in for a storage node: one core, a queue in turn of arrival, work by units, a cache of
// the last pieces, deferred work of writes, a cold start with a ramp that can be pushed over, and troubles by script.
package storagenode

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"net"
	"slices"
	"sync"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
	"weirhaven/internal/settings"
)

// Config is what a brick is made of.
type Config struct {
	Name, Zone, Address string // Address with port 0: the kernel chooses
	Cell                int
	Kind                *pb.BrickKind
	Speed               float64
	Seed                int64
	Cold                bool // it has just come up
	FallMultiple        float64
	FallAfter           time.Duration
	TagWindow           time.Duration
	Writes              map[string]bool // queue types that change data
	Record              *record.Recorder
	Tags                *Tags  // nil: its own
	Data                *Data  // nil: its own; shared, it outlives the brick
	Meter               *Meter // nil: it tells no metered
	Elsewhere           bool
	// HostOf is a host's number and incarnation by its name, for the record; may be nil.
	HostOf func(name string) (host, incarnation uint32)
	// AttemptOf, where set, lets the brick speak the platform's HTTP/1.1, which does not tell the number of an attempt.
	AttemptOf func(command uint64) uint32
}

// Conditions are a brick's troubles; the zero value is a usual day.
type Conditions struct {
	Slow       float64       // times slower; 0: not
	Errors     float64       // part of the commands that fail at once
	Lost       float64       // part of the answers that are lost
	Reset      bool          // ... by a reset of the connection
	Neighbour  float64       // part of the machine that another program takes, on and off
	OnOff      time.Duration // ... each for this long
	Pause      time.Duration // stands still for so long
	PauseEvery time.Duration
	Copies     float64 // part of the answers that are sent twice, the second some milliseconds late (HTTP only)
	Endless    float64 // part of the answers without a length, reset on the way (HTTP only)
	CloseIdle  bool    // connections are closed right after an answer (HTTP only)
	Costly     float64 // part of the commands that cost CostlyBy times as much
	CostlyBy   float64
}

// Tags are the marks of tagged commands that a group of bricks remembers.
type Tags struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// Data is what the bricks of a cell keep, one after the other.
type Data struct {
	mu sync.Mutex
	by map[string]stored
}

// NewData is empty.
func NewData() *Data { return &Data{by: map[string]stored{}} }

func (d *Data) get(object string) (stored, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.by[object]
	return s, ok
}

func (d *Data) put(object string, body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.by[object] = stored{body, d.by[object].times + 1}
}

// NewTags makes an empty memory.
func NewTags() *Tags { return &Tags{seen: map[string]time.Time{}} }

// first tells whether a tag was not there within the window; it is then.
func (t *Tags) first(tag string, window time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if at, ok := t.seen[tag]; ok && now.Sub(at) < window {
		return false
	}
	if len(t.seen) > 1<<16 {
		for k, at := range t.seen {
			if now.Sub(at) >= window {
				delete(t.seen, k)
			}
		}
	}
	t.seen[tag] = now
	return true
}

// Meter adds up the service of volumes over all bricks and tells of the last finished period, late.
type Meter struct {
	Period, Late time.Duration
	Nominal      func(volume string) float64

	mu    sync.Mutex
	start time.Time
	units map[string]map[int64]float64
}

// NewMeter starts its periods now.
func NewMeter(period, late time.Duration, nominal func(string) float64) *Meter {
	return &Meter{Period: period, Late: late, Nominal: nominal, start: time.Now(), units: map[string]map[int64]float64{}}
}

func (m *Meter) add(volume string, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	no := int64(time.Since(m.start) / m.Period)
	v := m.units[volume]
	if v == nil {
		v = map[int64]float64{}
		m.units[volume] = v
	}
	v[no] += units
	for k := range v {
		if k < no-16 {
			delete(v, k)
		}
	}
}

func (m *Meter) told(volume string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	no := int64((time.Since(m.start)-m.Late)/m.Period) - 1
	if no < 0 {
		return 0
	}
	return 1 + 100*m.units[volume][no]/m.Period.Seconds()/max(m.Nominal(volume), 1e-9)
}

type job struct {
	conn      *conn
	id        uint64
	command   uint64
	n         uint32
	volume    string
	queue     string
	object    string
	tag       string
	units     float64
	work      float64 // s of a speed-1 machine
	until     time.Time
	told      time.Duration // that its host waits, as it told
	body      []byte
	probe     bool
	cancelled bool
}

// Brick is a stand-in while it runs.
type Brick struct {
	c       Config
	rng     *rand.Rand
	addr    string
	started time.Time

	mu       sync.Mutex
	cond     Conditions
	condAt   time.Time
	queue    []*job
	running  *job
	deferred float64
	flushAt  time.Time
	recent   []string
	arrived  []arrival
	done     map[string]float64            // units by volume
	own      map[string]map[string]float64 // by host and volume
	told     map[string]map[string]float64
	conns    map[*conn]bool
	fell     bool
	draining bool
	wake     chan struct{}

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

type stored struct {
	body  []byte
	times int
}

type arrival struct {
	at   time.Time
	work float64
}

type conn struct {
	no     int64
	host   string
	sender *lineproto.Sender
	nc     net.Conn
	ids    map[uint64]*job // without an answer yet
}

// Start brings a brick up.
func Start(c Config) (*Brick, error) {
	if c.Speed <= 0 {
		c.Speed = 1
	}
	if c.Tags == nil {
		c.Tags = NewTags()
	}
	if c.Data == nil {
		c.Data = NewData()
	}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, fmt.Errorf("brick %s: %w", c.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &Brick{c: c, rng: rand.New(rand.NewSource(c.Seed)), addr: l.Addr().String(), started: time.Now(),
		done: map[string]float64{}, own: map[string]map[string]float64{},
		told: map[string]map[string]float64{}, conns: map[*conn]bool{}, wake: make(chan struct{}, 1), ctx: ctx, stop: stop}
	b.flushAt = b.started.Add(settings.Duration(c.Kind.FlushEvery, time.Hour))
	up := &pb.Seen{What: pb.Seen_BRICK_UP, Brick: c.Name, Cell: int32(c.Cell), Zone: c.Zone, Capacity: c.Speed}
	if c.Cold {
		up.ColdFrom, up.ColdFor = c.Kind.ColdFrom, int64(settings.Duration(c.Kind.ColdFor, 0))
	}
	c.Record.See(up)
	b.wg.Add(2)
	go func() {
		defer b.wg.Done()
		b.accept(l)
	}()
	go func() {
		defer b.wg.Done()
		b.work()
	}()
	return b, nil
}

// Address is where hosts reach it.
func (b *Brick) Address() string { return b.addr }

// Started is when it came up.
func (b *Brick) Started() time.Time { return b.started }

// Name is its name.
func (b *Brick) Name() string { return b.c.Name }

// Fell tells whether it was pushed over.
func (b *Brick) Fell() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fell
}

// Set changes its troubles.
func (b *Brick) Set(f func(*Conditions)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.cond)
	b.condAt = time.Now()
}

// DrainNotice lets the brick itself tell all hosts connected that it takes nothing new.
func (b *Brick) DrainNotice() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
	var o lineproto.Builder
	o.Start(lineproto.VerbDraining, 0).End(nil)
	for c := range b.conns {
		if c.sender != nil {
			_, _ = c.sender.Send(o.Buffer)
			b.noteDrain(c)
		}
	}
}

// noteDrain records that a host was told by the brick itself.
func (b *Brick) noteDrain(c *conn) {
	if b.c.HostOf != nil {
		host, inc := b.c.HostOf(c.host)
		b.c.Record.See(&pb.Seen{What: pb.Seen_LISTED, Host: host, Incarnation: inc, Brick: b.c.Name, How: "draining",
			Started: int64(time.Since(b.started)), Cell: int32(b.c.Cell)})
	}
}

// Stop ends it at once, with all it holds: its connections are reset.
func (b *Brick) Stop() {
	b.mu.Lock()
	fell := b.fell
	b.mu.Unlock()
	if !fell {
		b.c.Record.See(&pb.Seen{What: pb.Seen_BRICK_DOWN, Brick: b.c.Name})
	}
	b.stop()
	b.wg.Wait()
}

func (b *Brick) accept(l net.Listener) {
	unhook := context.AfterFunc(b.ctx, func() { _ = l.Close() })
	defer unhook()
	for no := int64(1); ; no++ {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c, serve := &conn{no: no, nc: nc, ids: map[uint64]*job{}}, b.serveHTTP
		if b.c.AttemptOf == nil {
			c.sender, serve = lineproto.NewSender(8<<20, 10*time.Second), b.serve
		}
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			serve(c)
		}()
	}
}

func (b *Brick) serve(c *conn) {
	defer func() { _ = c.nc.Close() }()
	unhook := context.AfterFunc(b.ctx, func() { reset(c.nc) })
	defer unhook()
	r := lineproto.NewConnReader(c.nc, 16<<20, 0, 10*time.Second)
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	hello, err := lineproto.Greet(c.nc, r, "brick", b.c.Name, 2*time.Second, func(o *lineproto.Builder) {
		age := time.Since(b.started)
		if !b.c.Cold { // it came up long before the day began
			age += 1000 * time.Hour
		}
		if o.Duration("Age", age); draining {
			o.Text("State", "draining")
		}
	})
	if err != nil {
		return
	}
	c.host = hello.Get("Name")
	c.sender.Start(c.nc)
	b.mu.Lock()
	b.conns[c] = true
	draining = b.draining
	b.mu.Unlock()
	if draining { // told by the greeting, or just behind it
		var o lineproto.Builder
		_, _ = c.sender.Send(o.Start(lineproto.VerbDraining, 0).End(nil).Buffer)
		b.noteDrain(c)
	} else if b.c.Cold && b.c.HostOf != nil { // its greeting told how long it has been up
		host, inc := b.c.HostOf(c.host)
		b.c.Record.See(&pb.Seen{What: pb.Seen_LISTED, Host: host, Incarnation: inc, Brick: b.c.Name, How: "serving",
			Started: int64(time.Since(b.started)), Cell: int32(b.c.Cell)})
	}
	for err == nil {
		var m *lineproto.Message
		if m, err = r.Read(); err == nil {
			b.take(c, m)
		}
	}
	b.c.Record.See(&pb.Seen{What: pb.Seen_CUT, Brick: b.c.Name, Connection: c.no})
	c.sender.Close()
	<-c.sender.Done()
	b.mu.Lock()
	delete(b.conns, c)
	b.mu.Unlock()
}

// reset ends a connection so that the other side sees a reset, not an end.
func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = nc.Close()
}

func (b *Brick) take(c *conn, m *lineproto.Message) {
	switch m.Verb {
	case lineproto.VerbRequest:
		units, _ := m.Float("Units", 1)
		n, _ := m.Int("Dispatch", 0)
		left, _ := m.Duration("Timeout", time.Hour)
		var command uint64
		_, _ = fmt.Sscanf(m.Get("Trace"), "%d", &command) // 0 where the client sent no number
		j := &job{conn: c, id: m.ID, command: command, n: uint32(n), volume: m.Get("Volume"), queue: m.Get("Queue-Type"),
			object: m.Get("Object"), tag: m.Get("Tag"), units: units, until: time.Now().Add(left), body: m.Body}
		b.arrive(j)
	case lineproto.VerbHealthCheck:
		j := &job{conn: c, id: m.ID, probe: true, work: settings.Duration(b.c.Kind.ProbeWork, 0).Seconds()}
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.c.Kind.ProbeWaits {
			b.deferred += j.work
			b.probed(j)
			return
		}
		b.queue = append(b.queue, j)
		b.rouse()
	case lineproto.VerbCancel:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cancel(c, m.ID)
	default:
		var o lineproto.Builder
		_, _ = c.sender.Send(o.Start(lineproto.VerbMalformed, m.ID).Text("Reason", "unknown verb "+m.Verb).End(nil).Buffer)
	}
}

func (b *Brick) cancel(c *conn, id uint64) {
	if j := c.ids[id]; j != nil { // also where it was worked off and its answer was lost
		delete(c.ids, id)
		b.see(j, &pb.Seen{What: pb.Seen_CALLED_OFF, Brick: b.c.Name, Connection: c.no, Command: j.command, Dispatch: j.n})
	}
	if b.c.Kind.Cancel == pb.BrickKind_IGNORED {
		return
	}
	b.queue = slices.DeleteFunc(b.queue, func(j *job) bool { return j.conn == c && j.id == id })
	if j := b.running; j != nil && j.conn == c && j.id == id && b.c.Kind.Cancel == pb.BrickKind_STOPS {
		j.cancelled = true
	}
}

func (b *Brick) arrive(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.c.Kind
	j.conn.ids[j.id] = j
	j.work = j.units * settings.Duration(k.UnitWork, 0).Seconds()
	if k.Vary > 0 {
		s := math.Sqrt(math.Log(1 + k.Vary*k.Vary))
		j.work *= math.Exp(s*b.rng.NormFloat64() - s*s/2)
	}
	if b.cond.Costly > 0 && b.rng.Float64() < b.cond.Costly {
		j.work *= b.cond.CostlyBy
	}
	if j.n == 0 && j.object != "" {
		if slices.Contains(b.recent, j.object) {
			j.work *= 1 - k.RememberedSaves
		} else if k.Remembers > 0 {
			b.recent = append(b.recent, j.object)
			if len(b.recent) > int(k.Remembers) {
				b.recent = b.recent[1:]
			}
		}
	}
	b.see(j, &pb.Seen{What: pb.Seen_REACHED, Brick: b.c.Name, Cell: int32(b.c.Cell), Zone: b.c.Zone,
		Command: j.command, Dispatch: j.n, Volume: j.volume, Units: j.units, Work: j.work, Connection: j.conn.no, Tag: j.tag, Timeout: int64(j.told)})
	b.press(j.work)
	if b.fell {
		return
	}
	switch {
	case b.cond.Errors > 0 && b.rng.Float64() < b.cond.Errors, k.Errors > 0 && b.rng.Float64() < k.Errors:
		b.answer(j, lineproto.VerbFailed, nil)
	case b.draining || len(b.queue) >= int(k.Queue):
		b.answer(j, lineproto.VerbRejected, nil)
	case j.work == 0:
		b.finish(j)
	default:
		b.queue = append(b.queue, j)
		b.rouse()
	}
}

// see records what is about a command of a recorded client; others (objects) are judged by their bytes.
func (b *Brick) see(j *job, s *pb.Seen) {
	if j.command != 0 {
		b.c.Record.See(s)
	}
}

func (b *Brick) rouse() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// ramp is the part of its capacity that a brick has so long after its start.
func (b *Brick) ramp(now time.Time) float64 {
	rampUp, from := settings.Duration(b.c.Kind.ColdFor, 0), b.c.Kind.ColdFrom
	age := now.Sub(b.started)
	if !b.c.Cold || age >= rampUp || rampUp == 0 {
		return 1
	}
	return from + (1-from)*age.Seconds()/rampUp.Seconds()
}

// press tips a cold brick over when it is sent too much.
func (b *Brick) press(work float64) {
	if !b.c.Cold || b.c.FallAfter == 0 || b.fell {
		return
	}
	now := time.Now()
	if now.Sub(b.started) >= settings.Duration(b.c.Kind.ColdFor, 0) {
		b.arrived = nil
		return
	}
	b.arrived = append(b.arrived, arrival{now, work})
	sum := 0.0
	b.arrived = slices.DeleteFunc(b.arrived, func(a arrival) bool { return now.Sub(a.at) >= b.c.FallAfter })
	for _, a := range b.arrived {
		sum += a.work
	}
	if sum > b.c.FallMultiple*b.c.Speed*b.ramp(now)*b.c.FallAfter.Seconds() {
		b.fell = true
		b.c.Record.See(&pb.Seen{What: pb.Seen_BRICK_FELL, Brick: b.c.Name})
		b.stop()
	}
}

// rate is how fast it works now.
func (b *Brick) rate(now time.Time) float64 {
	r, c := b.c.Speed*b.ramp(now), b.cond
	if c.Slow > 1 {
		r /= c.Slow
	}
	since := now.Sub(b.condAt)
	if c.Neighbour > 0 && (c.OnOff <= 0 || since/c.OnOff%2 == 0) {
		r *= 1 - c.Neighbour
	}
	if c.Pause > 0 && since%max(c.PauseEvery, c.Pause+1) < c.Pause {
		r = 0
	}
	return r
}

// work is the one core.
func (b *Brick) work() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for b.ctx.Err() == nil {
		j := b.next()
		if j == nil {
			select {
			case <-b.wake:
			case <-b.ctx.Done():
			}
			continue
		}
		if !b.spend(j, timer) {
			continue
		}
		b.mu.Lock()
		b.running = nil
		if j.probe {
			b.probed(j)
		} else if j.conn != nil {
			b.finish(j)
		}
		b.mu.Unlock()
	}
}

// next is what the core does next: deferred work when it is due, else the head of the queue.
func (b *Brick) next() *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.deferred > 0 && now.After(b.flushAt) {
		j := &job{work: b.deferred}
		b.deferred, b.flushAt = 0, now.Add(settings.Duration(b.c.Kind.FlushEvery, time.Hour))
		b.running = j
		return j
	}
	for len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if b.c.Kind.DropsExpired && !j.probe && now.After(j.until) {
			continue
		}
		if b.c.Writes[j.queue] {
			b.deferred += j.work * b.c.Kind.Deferred
			j.work *= 1 - b.c.Kind.Deferred
		}
		b.running = j
		return j
	}
	return nil
}

// spend lets the core work on j; false: stopped before its end.
func (b *Brick) spend(j *job, timer *time.Timer) bool {
	last := time.Now()
	for left := j.work; left > 0; {
		b.mu.Lock()
		rate, cancelled := b.rate(last), j.cancelled
		b.mu.Unlock()
		if cancelled {
			return false
		}
		slice := 5 * time.Millisecond
		if rate > 0 {
			slice = min(slice, time.Duration(left/rate*float64(time.Second)))
		}
		timer.Reset(slice)
		select {
		case <-timer.C:
		case <-b.ctx.Done():
			return false
		}
		now := time.Now()
		left -= rate * now.Sub(last).Seconds()
		last = now
	}
	return true
}

// finish ends a command that was worked off. Under mu.
func (b *Brick) finish(j *job) {
	write := b.c.Writes[j.queue]
	first := j.tag == "" || !write || b.c.TagWindow == 0 || b.c.Tags.first(j.tag, b.c.TagWindow)
	if write && first {
		b.c.Data.put(j.object, j.body)
		b.see(j, &pb.Seen{What: pb.Seen_EFFECT, Brick: b.c.Name, Command: j.command, Dispatch: j.n, Tag: j.tag,
			Object: j.object})
	}
	b.done[j.volume] += j.units
	if b.own[j.conn.host] == nil {
		b.own[j.conn.host], b.told[j.conn.host] = map[string]float64{}, map[string]float64{}
	}
	b.own[j.conn.host][j.volume] += j.units
	if b.c.Meter != nil {
		b.c.Meter.add(j.volume, j.units)
	}
	body := j.body
	if !write {
		if s, ok := b.c.Data.get(j.object); ok {
			body = s.body
		}
	}
	b.answer(j, lineproto.VerbServed, body)
}

// answer sends the outcome of a dispatch, unless it is to be lost. Under mu.
func (b *Brick) answer(j *job, verb string, body []byte) {
	if b.cond.Lost > 0 && b.rng.Float64() < b.cond.Lost {
		if b.cond.Reset {
			reset(j.conn.nc)
		}
		return
	}
	var o lineproto.Builder
	o.Buffer = make([]byte, 0, 128+len(body))
	o.Start(verb, j.id)
	var other float64
	if b.c.Elsewhere {
		host := j.conn.host
		served := b.done[j.volume] - b.own[host][j.volume]
		if b.told[host] != nil {
			if other = served - b.told[host][j.volume]; other > 0 {
				o.Float("Elsewhere", other)
			}
			b.told[host][j.volume] = served
		}
	}
	if b.c.Meter != nil {
		if x := b.c.Meter.told(j.volume); x > 0 {
			o.Float("Metered", x)
		}
	}
	o.Int("Load-Queue", int64(len(b.queue)))
	b.see(j, &pb.Seen{What: pb.Seen_REPLIED, Brick: b.c.Name, Command: j.command, Dispatch: j.n, How: verb,
		Connection: j.conn.no, Volume: j.volume, Units: j.units})
	delete(j.conn.ids, j.id)
	if j.conn.sender == nil {
		b.answerHTTP(j, verb, other)
		return
	}
	_, _ = j.conn.sender.Send(o.End(body).Buffer)
}

func (b *Brick) probed(j *job) {
	var o lineproto.Builder
	_, _ = j.conn.sender.Send(o.Start(lineproto.VerbHealthCheckPassed, j.id).Int("Load-Queue", int64(len(b.queue))).End(nil).Buffer)
}

// Stored tells how often an object was written here and with what last.
func (b *Brick) Stored(object string) (times int, body []byte) {
	s, _ := b.c.Data.get(object)
	return s.times, s.body
}
