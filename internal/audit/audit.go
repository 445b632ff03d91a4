// Package audit judges the seven rules from a record of what crossed the sockets. It knows nothing of how a host
// decides; only the settings that state the rules' figures and what clients, bricks and the list service saw.
package audit

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Rules names the seven rules, from 1.
var Rules = [8]string{1: "no command lost", 2: "no effect twice", 3: "drains kept", 4: "no cold brick pushed over",
	5: "key order", 6: "budget of further dispatches", 7: "limits"}

// Breach is one breaking of a rule.
type Breach struct {
	Rule  int
	At    time.Duration
	What  string
	Trace []string
}

// Verdict is what a record shows.
type Verdict struct {
	Breaches [8]int     // by rule
	First    [8]*Breach // by rule
	Sums     Sums
	Service  []Service
}

// Kept tells whether all rules are kept.
func (v *Verdict) Kept() bool { return v.Breaches == [8]int{} }

// Sums count the commands that hosts were asked, by their end, and the dispatches that reached bricks.
type Sums struct {
	Asked, Taken, Completed, BusyReplied, Aborted, Late, Unanswered, Unreached int
	Dispatches, Further                                                        int
}

// Service is what the clients of a plan and queue type got: importance answered over importance due, a client's
// repeats counted with its first try.
type Service struct {
	Plan, QueueType string
	Due, Got        float64
	InTime, Wants   int
}

// Part is Got over Due.
func (s Service) Part() float64 {
	if s.Due == 0 {
		return 0
	}
	return s.Got / s.Due
}

type command struct {
	asked  *pb.Seen
	host   host
	queue  *pb.QueueType
	ends   []*pb.Seen // ANSWERED, UNANSWERED
	given  *pb.Seen
	tries  []*dispatch
	traces []*pb.Seen
}

type dispatch struct {
	reached *pb.Seen
	replied *pb.Seen
	off     *pb.Seen // called off, or cut
	torn    bool     // its connection was reset right after its answer was written: it may not have arrived
}

type host struct{ no, incarnation uint32 }

type listing struct {
	at      time.Duration
	serving bool
	started time.Duration // on the observer's clock
	known   bool          // the start was told
}

type auditor struct {
	h        *pb.Header
	seen     []*pb.Seen
	blur     time.Duration
	v        *Verdict
	commands map[uint64]*command
	order    []*command
	downs    map[host]*pb.Seen
	listed   map[host]map[string][]listing
	pressure float64 // most on a cold brick, over what pushes it over
}

// Judge reads a whole record.
func Judge(h *pb.Header, seen []*pb.Seen) *Verdict {
	a := &auditor{h: h, seen: slices.Clone(seen), blur: time.Duration(h.Blur), v: &Verdict{},
		commands: map[uint64]*command{}, downs: map[host]*pb.Seen{}, listed: map[host]map[string][]listing{}}
	sort.SliceStable(a.seen, func(i, j int) bool { return a.seen[i].At < a.seen[j].At })
	a.gather()
	for _, c := range a.order {
		a.lost(c)
		a.twice(c)
	}
	a.drains()
	a.cold()
	a.keys()
	a.budget()
	a.limits()
	a.sums()
	return a.v
}

func at(s *pb.Seen) time.Duration { return time.Duration(s.At) }

func (a *auditor) breach(rule int, when time.Duration, trace []*pb.Seen, format string, args ...any) {
	a.v.Breaches[rule]++
	if first := a.v.First[rule]; first != nil && first.At <= when {
		return
	}
	b := &Breach{Rule: rule, At: when, What: fmt.Sprintf(format, args...)}
	for _, s := range trace {
		b.Trace = append(b.Trace, Line(s))
	}
	a.v.First[rule] = b
}

// Line spells one thing seen.
func Line(s *pb.Seen) string {
	t := fmt.Sprintf("%9.3f ms  %-10s", time.Duration(s.At).Seconds()*1000, s.What)
	if s.Command != 0 {
		t += fmt.Sprintf(" command %d", s.Command)
	}
	switch s.What {
	case pb.Seen_REACHED, pb.Seen_REPLIED, pb.Seen_CALLED_OFF, pb.Seen_EFFECT:
		t += fmt.Sprintf(".%d at %s", s.Dispatch, s.Brick)
	case pb.Seen_ASKED, pb.Seen_ANSWERED, pb.Seen_UNANSWERED, pb.Seen_GIVEN_UP, pb.Seen_HOST_UP, pb.Seen_HOST_DOWN:
		t += fmt.Sprintf(" host %d", s.Host)
	case pb.Seen_LISTED:
		t += fmt.Sprintf(" %s to host %d", s.Brick, s.Host)
	default:
		t += " " + s.Brick
	}
	if s.How != "" {
		t += " " + s.How
	}
	if s.Units > 0 {
		t += fmt.Sprintf(" %v units", s.Units)
	}
	if s.Timeout > 0 {
		t += " within " + time.Duration(s.Timeout).Round(time.Millisecond).String()
	}
	return t
}

type place struct {
	brick      string
	connection int64
}

func (a *auditor) gather() {
	out := map[place][]*dispatch{}  // without an answer
	late := map[place][]*dispatch{} // answered last
	for _, s := range a.seen {
		c := a.commands[s.Command]
		if c != nil {
			c.traces = append(c.traces, s)
		}
		on := place{s.Brick, s.Connection}
		switch s.What {
		case pb.Seen_ASKED:
			if int(s.QueueType) >= len(a.h.QueueType) {
				continue
			}
			c = &command{asked: s, host: host{s.Host, s.Incarnation}, queue: a.h.QueueType[s.QueueType], traces: []*pb.Seen{s}}
			a.commands[s.Command] = c
			a.order = append(a.order, c)
		case pb.Seen_ANSWERED, pb.Seen_UNANSWERED:
			if c != nil {
				c.ends = append(c.ends, s)
			}
		case pb.Seen_GIVEN_UP:
			if c != nil {
				c.given = s
			}
		case pb.Seen_REACHED:
			if c != nil {
				d := &dispatch{reached: s}
				c.tries = append(c.tries, d)
				out[on] = append(out[on], d)
			}
		case pb.Seen_REPLIED, pb.Seen_CALLED_OFF:
			for i, d := range out[on] {
				if d.reached.Command == s.Command && d.reached.Dispatch == s.Dispatch {
					if s.What == pb.Seen_REPLIED {
						d.replied = s
						if late[on] = append(late[on], d); len(late[on]) > 64 {
							late[on] = late[on][1:]
						}
					} else {
						d.off = s
					}
					out[on] = slices.Delete(out[on], i, i+1)
					break
				}
			}
		case pb.Seen_CUT:
			for _, d := range out[on] {
				d.off = s
			}
			for _, d := range late[on] {
				d.torn = at(s)-at(d.replied) <= a.blur
			}
			delete(out, on)
			delete(late, on)
		case pb.Seen_BRICK_DOWN, pb.Seen_BRICK_FELL:
			for k, ds := range out {
				if k.brick == s.Brick {
					for _, d := range ds {
						d.off = s
					}
					delete(out, k)
				}
			}
		case pb.Seen_HOST_DOWN:
			a.downs[host{s.Host, s.Incarnation}] = s
		case pb.Seen_LISTED:
			h := host{s.Host, s.Incarnation}
			if a.listed[h] == nil {
				a.listed[h] = map[string][]listing{}
			}
			l := listing{at: at(s), serving: s.How == "serving", known: s.Started >= 0}
			if l.known {
				l.started = at(s) - time.Duration(s.Started)
			}
			a.listed[h][s.Brick] = append(a.listed[h][s.Brick], l)
		}
	}
}

// lost judges rule 1 for one command.
func (a *auditor) lost(c *command) {
	if c.asked.How != "" {
		return
	}
	due := at(c.asked) + time.Duration(c.asked.Timeout) + settings.Duration(a.h.Fleet.AnswerSlack, 0)
	down := a.downs[c.host]
	answers := 0
	var first *pb.Seen
	for _, e := range c.ends {
		if e.What == pb.Seen_ANSWERED {
			answers++
		}
		if first == nil {
			first = e
		}
	}
	switch {
	case answers > 1:
		a.breach(1, at(c.ends[1]), c.traces, "command %d got %d final answers", c.asked.Command, answers)
	case answers == 1 && first.What == pb.Seen_ANSWERED && at(first) > due+a.blur:
		a.breach(1, at(first), c.traces, "the answer of command %d came %v after its command timeout", c.asked.Command,
			at(first)-due)
	case answers == 0 && first == nil:
		if down == nil || at(down) > due+a.blur {
			a.breach(1, due, c.traces, "command %d got no final answer", c.asked.Command)
		}
	case answers == 0 && first.How != "client":
		killed := down != nil && at(down) <= at(first)+a.blur && (down.How != "stopping" || at(c.asked) >= at(down)-a.blur)
		if !killed && at(first) <= due {
			a.breach(1, at(first), c.traces, "command %d: its host ended the connection without an answer", c.asked.Command)
		}
	}
	end := due
	if first != nil && first.What == pb.Seen_ANSWERED {
		end = min(end, at(first))
	}
	for _, d := range c.tries {
		if at(d.reached) > end+a.blur {
			a.breach(1, at(d.reached), c.traces, "command %d was sent to %s %v after its end", c.asked.Command,
				d.reached.Brick, at(d.reached)-end)
		}
		if first != nil && d.replied != nil && !d.torn && d.replied.How == "DONE" && first.What == pb.Seen_ANSWERED &&
			at(first) > at(d.replied)+5*a.blur {
			a.breach(1, at(first), c.traces, "the answer of command %d was held back for %v", c.asked.Command,
				at(first)-at(d.replied))
		}
	}
}

// mayHaveRun tells whether, by a moment, a dispatch is not known not to have run.
func (d *dispatch) mayHaveRun(by time.Duration) bool {
	return d.replied == nil || d.replied.How != "BUSY" || at(d.replied) > by
}

// twice judges rule 2 for one command.
func (a *auditor) twice(c *command) {
	q := c.queue
	for i, d := range c.tries {
		now := at(d.reached)
		for _, e := range c.tries[:i] {
			over := e.replied != nil && at(e.replied) <= now || e.off != nil && at(e.off) <= now+a.blur
			if !over && !a.h.Fleet.SecondCopies {
				a.breach(2, now, c.traces, "command %d: two dispatches out at once", c.asked.Command)
			}
			if !e.mayHaveRun(now) {
				continue
			}
			switch q.Semantics {
			case pb.Semantics_NON_RETRYABLE:
				a.breach(2, now, c.traces, "non-retryable command %d was sent again though it may have run", c.asked.Command)
			case pb.Semantics_TAGGED:
				out := q.Group == pb.Group_ZONE && e.reached.Zone != d.reached.Zone ||
					q.Group == pb.Group_CELL && e.reached.Cell != d.reached.Cell
				if out || now > at(e.reached)+settings.Duration(q.TagWindow, 0)+a.blur {
					a.breach(2, now, c.traces, "tagged command %d was sent again where its tag is not known", c.asked.Command)
				}
			}
		}
	}
	for _, e := range c.ends {
		if e.What != pb.Seen_ANSWERED || e.How != "BUSY" {
			continue
		}
		for _, d := range c.tries {
			if at(d.reached) < at(e) && d.mayHaveRun(at(e)) &&
				(q.Semantics == pb.Semantics_NON_RETRYABLE || q.Semantics == pb.Semantics_TAGGED && q.Group != pb.Group_ALL) {
				a.breach(2, at(e), c.traces, "command %d was busy-replied though it may have run", c.asked.Command)
			}
		}
	}
	effects := 0
	for _, s := range c.traces {
		if s.What == pb.Seen_EFFECT {
			effects++
		}
	}
	if effects > 1 && q.Semantics == pb.Semantics_NON_RETRYABLE {
		a.breach(2, at(c.asked), c.traces, "non-retryable command %d changed data %d times", c.asked.Command, effects)
	}
}

// drains judges rule 3.
func (a *auditor) drains() {
	grace := settings.Duration(a.h.Fleet.DrainGrace, 0)
	for _, c := range a.order {
		for _, d := range c.tries {
			now := at(d.reached)
			var told *listing
			ls := a.listed[c.host][d.reached.Brick]
			for i := range ls {
				switch l := &ls[i]; {
				case l.at > now:
				case l.serving && (told == nil || !l.known || l.started > told.started+a.blur):
					told = nil
				case !l.serving && told == nil:
					told = l
				}
			}
			if told != nil && now > told.at+grace+a.blur {
				a.breach(3, now, c.traces, "command %d reached %s %v after host %d was told that it drains or is gone",
					c.asked.Command, d.reached.Brick, now-told.at, c.host.no)
			}
		}
	}
}

// cold judges rule 4.
func (a *auditor) cold() {
	span, multiple := settings.Duration(a.h.Fleet.FallAfter, 0), a.h.Fleet.FallMultiple
	type push struct {
		s    *pb.Seen
		told bool
	}
	ups, recent := map[string]*pb.Seen{}, map[string][]push{}
	for _, s := range a.seen {
		switch s.What {
		case pb.Seen_BRICK_UP:
			ups[s.Brick], recent[s.Brick] = s, nil
		case pb.Seen_REACHED:
			up := ups[s.Brick]
			if up == nil || up.ColdFor == 0 || span == 0 {
				continue
			}
			age := at(s) - at(up)
			if age >= time.Duration(up.ColdFor) {
				continue
			}
			told := false
			if c := a.commands[s.Command]; c != nil {
				for _, l := range a.listed[c.host][s.Brick] {
					told = told || l.known && l.at <= at(s) && l.started >= at(up)-a.blur
				}
			}
			p := slices.DeleteFunc(recent[s.Brick], func(p push) bool { return at(p.s) <= at(s)-span })
			p = append(p, push{s, told})
			recent[s.Brick] = p
			sum, known := 0.0, 0.0
			for _, x := range p {
				sum += x.s.Work
				if x.told {
					known += x.s.Work
				}
			}
			can := up.Capacity * (up.ColdFrom + (1-up.ColdFrom)*age.Seconds()/time.Duration(up.ColdFor).Seconds())
			a.pressure = max(a.pressure, sum/(multiple*can*span.Seconds()))
			if sum > multiple*can*span.Seconds() && known >= sum*2/3 {
				var trace []*pb.Seen
				for _, x := range p[max(0, len(p)-12):] {
					trace = append(trace, x.s)
				}
				a.breach(4, at(s), trace, "cold %s, up for %v, was sent %.3f s of work within %v; it can do %.3f", s.Brick, age,
					sum, span, can*span.Seconds())
			}
		}
	}
}

// keys judges rule 5.
func (a *auditor) keys() {
	type line struct {
		host host
		key  string
	}
	rest := settings.Duration(a.h.Fleet.KeyRest, 0)
	lines := map[line][]*command{}
	for _, c := range a.order {
		if !c.queue.InOrder || c.asked.Object == "" || c.asked.How != "" {
			continue
		}
		k := line{c.host, c.asked.Object}
		for _, e := range lines[k] {
			end := time.Duration(1<<63 - 1)
			if len(e.ends) > 0 {
				end = at(e.ends[0])
			} else if e.given != nil {
				end = at(e.given)
			}
			for _, d := range c.tries {
				now := at(d.reached)
				trace := append(slices.Clone(e.traces), c.traces...)
				done := false // what is completed at the brick ends the command before the client has read it
				for _, x := range e.tries {
					if at(x.reached) > now {
						if len(c.tries) > 0 && at(x.reached) > now+a.blur {
							a.breach(5, now, trace, "command %d ran before %d, which was taken earlier with the same key",
								c.asked.Command, e.asked.Command)
						}
						continue
					}
					done = done || x.replied != nil && x.replied.How == "DONE" && at(x.replied) <= now
					switch {
					case x.replied != nil && at(x.replied) <= now:
					case x.off != nil && now < at(x.off)+rest-a.blur:
						a.breach(5, now, trace, "command %d was sent while the key of %d had to rest", c.asked.Command, e.asked.Command)
					case x.off == nil && now < end+rest-a.blur:
						a.breach(5, now, trace, "command %d was sent while a dispatch of %d had no outcome", c.asked.Command,
							e.asked.Command)
					}
				}
				if !done && now < end-a.blur {
					a.breach(5, now, trace, "command %d was sent before %d, taken earlier with the same key, was over",
						c.asked.Command, e.asked.Command)
				}
			}
		}
		lines[k] = append(lines[k], c)
		if n := len(lines[k]); n > 16 {
			lines[k] = lines[k][n-16:]
		}
	}
}

// budget judges rule 6.
func (a *auditor) budget() {
	b := a.h.Fleet.Budget
	if b == nil {
		return
	}
	span := settings.Duration(b.Span, 0)
	taken, further := map[host][]*pb.Seen{}, map[host][]*pb.Seen{}
	for _, s := range a.seen {
		c := a.commands[s.Command]
		if c == nil {
			continue
		}
		switch {
		case s.What == pb.Seen_ASKED && s.How == "":
			taken[c.host] = append(taken[c.host], s)
		case s.What == pb.Seen_REACHED && s.Dispatch > 0:
			f := append(further[c.host], s)
			for len(f) > 0 && at(f[0]) < at(s)-span+a.blur {
				f = f[1:]
			}
			further[c.host] = f
			t := taken[c.host]
			for len(t) > 0 && at(t[0]) < at(s)-span-a.blur {
				t = t[1:]
			}
			taken[c.host] = t
			if may := b.Free + b.Share*float64(len(t)); float64(len(f)) > may {
				a.breach(6, at(s), f[max(0, len(f)-12):], "host %d made %d further dispatches within %v, for %d commands taken; %.1f are allowed",
					c.host.no, len(f), span, len(t), may)
			}
		}
	}
}

// limits judges rule 7.
func (a *auditor) limits() {
	type store struct {
		level float64
		at    time.Duration
		last  []*pb.Seen
	}
	stores, counted := map[string]*store{}, map[uint64]bool{}
	for _, s := range a.seen {
		c := a.commands[s.Command]
		if s.What != pb.Seen_REACHED || c == nil || counted[s.Command] || int(c.asked.Plan) >= len(a.h.Plan) {
			continue
		}
		counted[s.Command] = true
		p := a.h.Plan[c.asked.Plan]
		if p.Limit <= 0 {
			continue
		}
		st := stores[c.asked.Volume]
		if st == nil {
			st = &store{level: p.Depth}
			stores[c.asked.Volume] = st
		}
		st.level = min(p.Depth, st.level+p.Limit*(at(s)-st.at).Seconds()) - c.asked.Units
		st.at = at(s)
		if st.last = append(st.last, s); len(st.last) > 12 {
			st.last = st.last[1:]
		}
		if st.level < -p.Slack-p.Limit*a.blur.Seconds()-1e-9 {
			a.breach(7, at(s), st.last, "volume %s: its store stands at %.2f, %.2f below its slack", c.asked.Volume, st.level,
				-p.Slack-st.level)
		}
	}
}

func (a *auditor) sums() {
	n := &a.v.Sums
	type kind struct{ plan, queue uint32 }
	byKind := map[kind]*Service{}
	first := map[uint64]*command{}
	got := map[uint64]float64{} // by first try
	for _, c := range a.order {
		n.Asked++
		if c.asked.How != "" {
			n.Unreached++
		} else {
			n.Taken++
		}
		for i := range c.tries {
			n.Dispatches++
			if i > 0 {
				n.Further++
			}
		}
		f := first[c.asked.First]
		if f == nil {
			f = c
			first[c.asked.First] = f
		}
		if len(c.ends) == 0 || c.ends[0].What != pb.Seen_ANSWERED {
			if c.asked.How == "" {
				n.Unanswered++
			}
			continue
		}
		e := c.ends[0]
		late := at(e) > at(c.asked)+time.Duration(c.asked.Timeout)
		switch {
		case late:
			n.Late++
		case e.How == "DONE":
			n.Completed++
			part := c.queue.LateShare
			if at(e) <= at(f.asked)+settings.Duration(c.queue.ServiceTarget, 0) {
				part = 1
			}
			got[c.asked.First] = max(got[c.asked.First], part)
		case e.How == "BUSY":
			n.BusyReplied++
		default:
			n.Aborted++
		}
	}
	for id, f := range first {
		k := kind{f.asked.Plan, f.asked.QueueType}
		s := byKind[k]
		if s == nil {
			s = &Service{Plan: a.h.Plan[k.plan].Name, QueueType: f.queue.Name}
			byKind[k] = s
		}
		worth := f.queue.Importance * max(a.h.Plan[k.plan].Importance, 1e-9) * f.asked.Units
		s.Due += worth
		s.Got += worth * got[id]
		s.Wants++
		if got[id] == 1 {
			s.InTime++
		}
	}
	for _, s := range byKind {
		a.v.Service = append(a.v.Service, *s)
	}
	slices.SortFunc(a.v.Service, func(x, y Service) int {
		if x.Plan != y.Plan {
			return strings.Compare(x.Plan, y.Plan)
		}
		return strings.Compare(x.QueueType, y.QueueType)
	})
}

// Whole is the service of all plans and queue types together.
func (v *Verdict) Whole() Service {
	w := Service{Plan: "all", QueueType: "all"}
	for _, s := range v.Service {
		w.Due, w.Got, w.InTime, w.Wants = w.Due+s.Due, w.Got+s.Got, w.InTime+s.InTime, w.Wants+s.Wants
	}
	return w
}

// Opening tells how a day begins: the time from the first command to the first completed one, the service of what was first asked
// within a span, and the most that a cold brick was sent within the rule's span, as a part of what pushes it over.
func Opening(h *pb.Header, seen []*pb.Seen, span time.Duration) (first time.Duration, part, pressure float64) {
	a := &auditor{h: h, seen: slices.Clone(seen), blur: time.Duration(h.Blur), v: &Verdict{}, commands: map[uint64]*command{},
		downs: map[host]*pb.Seen{}, listed: map[host]map[string][]listing{}}
	sort.SliceStable(a.seen, func(i, j int) bool { return a.seen[i].At < a.seen[j].At })
	a.gather()
	a.cold()
	pressure = a.pressure
	if len(a.order) == 0 {
		return 0, 0, pressure
	}
	begin := at(a.order[0].asked)
	first = -1
	for _, s := range a.seen {
		if s.What == pb.Seen_ANSWERED && s.How == "DONE" {
			first = at(s) - begin
			break
		}
	}
	a.order = slices.DeleteFunc(a.order, func(c *command) bool {
		f := a.commands[c.asked.First]
		return f == nil || at(f.asked) > begin+span
	})
	a.sums()
	return first, a.v.Whole().Part(), pressure
}
