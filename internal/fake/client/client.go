// Package client is a stand-in for the clients of a fleet: an open load by volumes, patience, repeats, and
// connections that can be lost together. It notes all that it sends and reads.
package client

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
	"weirhaven/internal/settings"
)

// Volume is one volume's habits.
type Volume struct {
	Name   string
	Plan   uint32 // place among the plans
	Cells  []int
	Hosts  []int
	Demand float64 // units a second
}

// Config is what a load is made of.
type Config struct {
	Hosts      func(i int) string // address of a host now
	Count      int
	QueueTypes []*pb.QueueType
	Volumes    []Volume
	Load       *pb.Load
	UsualUnits float64
	MostUnits  float64
	MaxPause   time.Duration // longest advice heeded; 0: none
	Marks      bool
	Seed       int64
	Record     *record.Recorder
	// Incarnation of a host now, for the record.
	Incarnation func(i int) uint32
}

// Load is the clients while they run.
type Load struct {
	c    Config
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu     sync.Mutex
	rng    *rand.Rand
	links  []*link
	number uint64
	open   int
	times  float64 // as much asked for, of all
	byPlan map[uint32]float64
	hot    float64
	abuse  int
	body   []byte
}

// link is the connection to one host; it is made anew whenever it is lost.
type link struct {
	host   int
	sender *lineproto.Sender // nil: not connected
	nc     net.Conn
	mine   bool // this side ended it
	stall  time.Time
	out    map[uint64]*try
}

// want is what a client wants; try is one asking for it.
type want struct {
	volume  *Volume
	queue   int
	units   float64
	object  string
	tag     string
	cell    int
	until   time.Time
	first   uint64
	repeats int
}

type try struct {
	*want
	number uint64
	timer  *time.Timer
}

// Start connects to all hosts and begins to ask.
func Start(c Config) *Load {
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{c: c, ctx: ctx, stop: stop, rng: rand.New(rand.NewSource(c.Seed)), times: 1, byPlan: map[uint32]float64{},
		body: make([]byte, c.Load.Body)}
	for i := range l.body {
		l.body[i] = 'a' + byte(i%26)
	}
	for i := range c.Count {
		k := &link{host: i, out: map[uint64]*try{}}
		l.links = append(l.links, k)
		l.spawn(func() { l.keep(k) })
	}
	return l
}

func (l *Load) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

// Burst lets all, or the volumes of one plan, ask for times as much.
func (l *Load) Burst(plan int, times float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if plan < 0 {
		l.times = times
	} else {
		l.byPlan[uint32(plan)] = times
	}
}

// Hot sends a part of all commands to one object.
func (l *Load) Hot(part float64) { l.set(func() { l.hot = part }) }

// Abuse lets clients repeat at once, so many times.
func (l *Load) Abuse(times int) { l.set(func() { l.abuse = times }) }

func (l *Load) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// Reconnect loses the connections to the hosts drawn, together.
func (l *Load) Reconnect(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if k.nc != nil && l.rng.Float64() < part {
			k.mine = true
			_ = k.nc.Close()
		}
	}
}

// Stall lets clients of the hosts drawn read nothing for a while.
func (l *Load) Stall(part float64, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if l.rng.Float64() < part {
			k.stall = time.Now().Add(duration)
		}
	}
}

// Run asks until the time is over, then waits until nothing is open any more, at most the longest command timeout.
func (l *Load) Run(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	start := time.Now()
	moves := settings.Duration(l.c.Load.LeadMoves, 0)
	next := start
	for next.Before(end) && ctx.Err() == nil {
		l.mu.Lock()
		rates, sum := make([]float64, len(l.c.Volumes)), 0.0
		for i := range l.c.Volumes {
			v := &l.c.Volumes[i]
			rates[i] = v.Demand * l.times
			if x := l.byPlan[v.Plan]; x > 0 {
				rates[i] *= x
			}
			sum += rates[i]
		}
		next = next.Add(time.Duration(l.rng.ExpFloat64() * l.c.UsualUnits / math.Max(sum, 1e-9) * float64(time.Second)))
		x, at := l.rng.Float64()*sum, 0
		for at = range rates {
			if x -= rates[at]; x < 0 {
				break
			}
		}
		l.mu.Unlock()
		if wait := time.Until(next); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		lead := 0
		if moves > 0 {
			lead = int(time.Since(start) / moves)
		}
		l.ask(&l.c.Volumes[at], lead)
	}
	longest := time.Duration(0)
	for _, q := range l.c.QueueTypes {
		longest = max(longest, settings.Duration(q.CommandTimeout, 0))
	}
	for until := time.Now().Add(longest + time.Second); time.Now().Before(until) && ctx.Err() == nil; {
		l.mu.Lock()
		open := l.open
		l.mu.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Stop ends all connections.
func (l *Load) Stop() {
	l.stop()
	l.mu.Lock()
	for _, k := range l.links {
		if k.nc != nil {
			k.mine = true
			_ = k.nc.Close()
		}
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// ask draws what a client of the volume wants and asks for it.
func (l *Load) ask(v *Volume, lead int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &want{volume: v, units: 1, cell: v.Cells[l.rng.Intn(len(v.Cells))]}
	x := l.rng.Float64()
	for i, p := range l.c.Load.Mix {
		w.queue = i
		if x -= p; x < 0 {
			break
		}
	}
	for more := 1 - 1/math.Max(l.c.UsualUnits, 1); w.units < l.c.MostUnits && l.rng.Float64() < more; {
		w.units++
	}
	w.object = fmt.Sprintf("%s/%d", v.Name, l.rng.Intn(max(int(l.c.Load.Objects), 1)))
	q := l.c.QueueTypes[w.queue]
	if l.hot > 0 && l.rng.Float64() < l.hot {
		w.object, w.cell = v.Name+"/hot", v.Cells[0]
	} else if q.Writes && l.rng.Float64() < l.c.Load.NewObjects {
		w.cell = -1
	}
	patience := settings.Duration(q.CommandTimeout, 0)
	if l.c.Load.Impatient > 0 && l.rng.Float64() < l.c.Load.Impatient {
		patience = time.Duration((0.2 + 0.8*l.rng.Float64()) * float64(patience))
	}
	w.until = time.Now().Add(patience)
	l.open++
	at := v.Hosts[lead%len(v.Hosts)]
	if l.rng.Float64() < 0.4 {
		at = v.Hosts[l.rng.Intn(len(v.Hosts))]
	}
	l.try(w, at)
}

// try sends it once. Under mu.
func (l *Load) try(w *want, host int) {
	l.number++
	t := &try{want: w, number: l.number}
	if w.first == 0 {
		w.first, w.tag = l.number, "t"+strconv.FormatUint(l.number, 10)
	}
	k, q := l.links[host], l.c.QueueTypes[w.queue]
	left := time.Until(w.until)
	seen := &pb.Seen{What: pb.Seen_ASKED, Host: uint32(host), Incarnation: l.c.Incarnation(host), Command: t.number,
		First: w.first, Volume: w.volume.Name, Plan: w.volume.Plan, QueueType: uint32(w.queue), Units: w.units,
		Object: w.object, Cell: int32(w.cell), Timeout: int64(left), Tag: w.tag}
	if k.sender == nil {
		seen.How = "unreached"
		l.c.Record.See(seen)
		l.again(t, host, 0, true)
		return
	}
	var o lineproto.Builder
	o.Buffer = make([]byte, 0, 256+len(l.body))
	o.Start(lineproto.VerbRequest, t.number).Text("Volume", w.volume.Name).Text("Queue-Type", q.Name).Text("Object", w.object).
		Int("Cell", int64(w.cell)).Float("Units", w.units).Duration("Timeout", left).
		Text("Trace", strconv.FormatUint(t.number, 10)).Text("Tag", w.tag)
	if w.repeats > 0 && l.c.Marks {
		o.Int("Repeat", 1)
	}
	var body []byte
	if q.Writes {
		body = l.body
	}
	k.out[t.number] = t
	t.timer = time.AfterFunc(left, func() { l.late(k, t) })
	l.c.Record.See(seen)
	if _, err := k.sender.Send(o.End(body).Buffer); err != nil {
		_ = k.nc.Close()
	}
}

// late is a client whose command timeout has passed.
func (l *Load) late(k *link, t *try) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.out[t.number] != t {
		return
	}
	l.c.Record.See(&pb.Seen{What: pb.Seen_GIVEN_UP, Host: uint32(k.host), Command: t.number})
	// It still listens a while: an answer that comes now is late, none at all is a lost command.
	time.AfterFunc(300*time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if k.out[t.number] == t {
			delete(k.out, t.number)
			l.open--
		}
	})
}

// again repeats what may be repeated, after a wait; else the want is over. Under mu.
func (l *Load) again(t *try, host int, pause time.Duration, unheard bool) {
	q := l.c.QueueTypes[t.queue]
	may := !unheard || q.Semantics == pb.Semantics_RETRYABLE || q.Semantics == pb.Semantics_TAGGED && q.Group == pb.Group_ALL
	most, wait := int(l.c.Load.Repeats), settings.Duration(l.c.Load.RepeatAfter, 0)<<min(t.repeats, 6)
	if l.abuse > 0 {
		most, wait = l.abuse, 0
	} else if pause > 0 && l.c.MaxPause > 0 {
		wait = max(wait, min(pause, l.c.MaxPause))
	}
	wait += time.Duration(l.rng.Int63n(int64(wait/4 + time.Millisecond)))
	if !may || t.repeats >= most || time.Now().Add(wait+20*time.Millisecond).After(t.until) || l.ctx.Err() != nil {
		l.open--
		return
	}
	t.repeats++
	w := t.want
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.ctx.Err() != nil || time.Until(w.until) < 20*time.Millisecond {
			l.open--
			return
		}
		l.try(w, host)
	})
}

// keep holds a connection to one host.
func (l *Load) keep(k *link) {
	for l.ctx.Err() == nil {
		l.connect(k)
		select {
		case <-time.After(20 * time.Millisecond):
		case <-l.ctx.Done():
		}
	}
}

func (l *Load) connect(k *link) {
	nc, err := net.DialTimeout("tcp", l.c.Hosts(k.host), 250*time.Millisecond)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	r := lineproto.NewConnReader(nc, 16<<20, 0, 10*time.Second)
	if _, err := lineproto.Greet(nc, r, "client", "clients", time.Second, nil); err != nil {
		return
	}
	s := lineproto.NewSender(64<<20, 10*time.Second)
	s.Start(nc)
	l.mu.Lock()
	if l.ctx.Err() != nil {
		_ = nc.Close()
	}
	k.nc, k.sender, k.mine = nc, s, false
	l.mu.Unlock()
	for {
		l.mu.Lock()
		stall := time.Until(k.stall)
		l.mu.Unlock()
		if stall > 0 {
			select {
			case <-time.After(stall):
			case <-l.ctx.Done():
			}
		}
		m, err := r.Read()
		if err != nil {
			break
		}
		l.take(k, m)
	}
	s.Close()
	<-s.Done()
	l.lost(k)
}

func (l *Load) take(k *link, m *lineproto.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Verb == lineproto.VerbResponseStarted {
		return
	}
	l.c.Record.See(&pb.Seen{What: pb.Seen_ANSWERED, Host: uint32(k.host), Command: m.ID, How: m.Verb,
		MayHaveRun: m.Get("May-Have-Run") == "yes"})
	t := k.out[m.ID]
	if t == nil {
		return
	}
	delete(k.out, m.ID)
	t.timer.Stop()
	switch m.Verb {
	case lineproto.VerbRejected:
		back, _ := m.Duration("Back", 0)
		l.again(t, k.host, max(back, 0), false)
	case lineproto.VerbFailed:
		l.again(t, k.host, -1, true)
	default:
		l.open--
	}
}

// lost is the end of a connection: what was out on it has no answer.
func (l *Load) lost(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	how := "host"
	if k.mine {
		how = "client"
	}
	k.nc, k.sender = nil, nil
	for n, t := range k.out {
		delete(k.out, n)
		t.timer.Stop()
		l.c.Record.See(&pb.Seen{What: pb.Seen_UNANSWERED, Host: uint32(k.host), Command: n, How: how})
		l.again(t, k.host, 0, true)
	}
}
