// Package simulatorwire turns the bench's wire into calls of the module and the module's calls into its wire.
package simulatorwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/policy"
)

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<18)
	a := &adapter{hosts: map[int]*host{}, sheets: map[int][]*fastjson.Value{}, sheetOf: map[int]*fastjson.Parser{}}
	var parser fastjson.Parser
	for no := 1; ; no++ {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			batch, perr := parser.ParseBytes(line)
			if perr != nil {
				return fmt.Errorf("batch %d is not JSON: %v", no, perr)
			}
			if berr := a.batch(batch, w); berr != nil {
				return fmt.Errorf("batch %d: %w", no, berr)
			}
			if ferr := w.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

type adapter struct {
	now     time.Duration
	hosts   map[int]*host
	sheets  map[int][]*fastjson.Value
	sheetOf map[int]*fastjson.Parser
}

func (a *adapter) batch(v *fastjson.Value, w *bufio.Writer) error {
	if v.Type() != fastjson.TypeObject {
		return errors.New("not an object")
	}
	ts, err := whole(v, "ts_us")
	if err != nil {
		return err
	}
	a.now = time.Duration(ts) * time.Microsecond
	if t := v.Get("parts"); t == nil || t.Type() != fastjson.TypeArray {
		return errors.New("no parts")
	}
	w.WriteString(`{"parts":[`)
	first := true
	for _, part := range v.GetArray("parts") {
		id, err := whole(part, "host_id")
		if err != nil {
			return err
		}
		news := part.Get("news")
		if news == nil || news.Type() != fastjson.TypeArray {
			return fmt.Errorf("host %d: no news", id)
		}
		h := a.hosts[int(id)]
		if h == nil {
			h = &host{adapter: a}
			a.hosts[int(id)] = h
		}
		h.do = h.do[:0]
		for i, e := range news.GetArray() {
			if err := h.event(e); err != nil {
				return fmt.Errorf("host %d, event %d: %w", id, i, err)
			}
		}
		if len(h.do) == 0 {
			continue
		}
		if !first {
			w.WriteByte(',')
		}
		first = false
		fmt.Fprintf(w, `{"host_id":%d,"do":[`, id)
		w.Write(h.do)
		w.WriteString("]}")
	}
	w.WriteString("]}\n")
	return nil
}

// host is one instance and the names by which the wire knows its objects.
type host struct {
	adapter  *adapter
	inst     *policy.Scheduler
	failed   bool
	do       []byte
	commands map[int64]*entry
	bricks   map[string]*policy.Endpoint
	volumes  map[string]*policy.Volume
	timers   map[int64]func()
	timer    int64
}

// entry keeps a command's name until it is over and every dispatch has its outcome.
type entry struct {
	cmd        *policy.Request
	dispatches map[int]*policy.Attempt
	over       bool
}

var endings = map[string]policy.Outcome{"S": policy.Served, "E": policy.ErrorResponse, "F": policy.Rejected,
	"T": policy.TimedOut, "C": policy.ConnectFailed, "R": policy.ConnectionReset, "X": policy.Canceled, "N": policy.NotSent}

func (h *host) event(e *fastjson.Value) (err error) {
	kind, err := text(e, "kind")
	if err != nil {
		return err
	}
	if kind == "sheet" {
		return h.adapter.sheet(e)
	}
	if kind == "crash_now" {
		*h = host{adapter: h.adapter, do: h.do}
		return nil
	}
	if h.inst == nil && kind != "enlist" && !h.failed {
		return fmt.Errorf("%s before enlist", kind)
	}
	if h.failed && kind != "enlist" {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			h.failed = true
			h.act("bail_out", func() { h.str("line", fmt.Sprint("panic: ", p)) })
		}
	}()
	if err = h.decide(kind, e); err != nil {
		err = fmt.Errorf("%s: %w", kind, err)
	}
	return err
}

func (h *host) decide(kind string, e *fastjson.Value) error {
	switch kind {
	case "enlist":
		return h.enlist(e)
	case "view":
		return h.view(e)
	case "knock":
		return h.knock(e)
	case "timeout_fired":
		cookie, err := text(e, "cookie")
		if err != nil {
			return err
		}
		id, err := strconv.ParseInt(cookie, 10, 64)
		f := h.timers[id]
		if err != nil || f == nil {
			return fmt.Errorf("unknown timer %q", cookie)
		}
		delete(h.timers, id)
		f()
	case "client_gone":
		id, err := whole(e, "rid")
		if err != nil {
			return err
		}
		if c := h.commands[id]; c != nil {
			h.inst.ClientDisconnected(c.cmd)
			h.close(id, c, true)
		}
	case "reply":
		return h.reply(e)
	case "first":
		_, _, d, err := h.dispatch(e)
		if err != nil {
			return err
		}
		h.inst.ResponseStarted(d)
	case "probe_result":
		b, err := h.brick(e)
		if err != nil {
			return err
		}
		how, took, err := ending(e)
		if err != nil {
			return err
		}
		h.inst.HealthChecked(b, how, took)
	case "from_peer":
		sender, err := whole(e, "sender")
		if err != nil {
			return err
		}
		data, err := base64Of(e, "data")
		if err != nil {
			return err
		}
		h.inst.GossipReceived(int(sender), data)
	default:
		return errors.New("unknown event")
	}
	return nil
}

// sheet keeps a numbered list; the parser that owns its values is kept with it.
func (a *adapter) sheet(e *fastjson.Value) error {
	no, err := whole(e, "buffer")
	if err != nil {
		return err
	}
	lines := e.Get("lines")
	if lines == nil || lines.Type() != fastjson.TypeArray {
		return errors.New("sheet: no lines")
	}
	p := &fastjson.Parser{}
	kept, err := p.ParseBytes(lines.MarshalTo(nil))
	if err != nil {
		return err
	}
	a.sheets[int(no)], a.sheetOf[int(no)] = kept.GetArray(), p
	return nil
}

func (h *host) view(e *fastjson.Value) error {
	form, err := text(e, "form")
	if err != nil {
		return err
	}
	if form == "FAILED" {
		h.inst.EndpointListFailed()
		return nil
	}
	if form != "FULL" && form != "SAVED" && form != "INCREMENTAL" {
		return fmt.Errorf("unknown form %q", form)
	}
	no, err := whole(e, "buffer")
	if err != nil {
		return err
	}
	lines, ok := h.adapter.sheets[int(no)]
	if !ok {
		return fmt.Errorf("unknown list number %d", no)
	}
	h.inst.BeginEndpointList(form != "INCREMENTAL")
	for _, l := range lines {
		name, err := text(l, "brick")
		if err != nil {
			return err
		}
		status, err := text(l, "status")
		if err != nil {
			return err
		}
		b := h.bricks[name]
		if b == nil {
			b = &policy.Endpoint{Name: name}
			h.bricks[name] = b
		}
		h.inst.UpdateEndpoint(b, policy.EndpointUpdate{Zone: string(l.GetStringBytes("region_part")), Shard: l.GetInt("group"),
			Serving: status == "SERVING", Removed: status == "DELETED", StartedAt: micros(l, "boot_time_us")})
	}
	h.inst.EndEndpointList()
	return nil
}

func (h *host) knock(e *fastjson.Value) error {
	id, err := whole(e, "rid")
	if err != nil {
		return err
	}
	queue, err := text(e, "cls")
	if err != nil {
		return err
	}
	until, err := whole(e, "give_up_at_us")
	if err != nil {
		return err
	}
	plan, err := text(e, "grade")
	if err != nil {
		return err
	}
	owner, err := text(e, "owner")
	if err != nil {
		return err
	}
	cell, err := whole(e, "group_no")
	if err != nil {
		return err
	}
	units := e.GetFloat64("weight")
	if units <= 0 {
		return errors.New("no weight above 0")
	}
	v := h.volumes[owner+" "+plan]
	if v == nil {
		v = &policy.Volume{}
		h.volumes[owner+" "+plan] = v
	}
	c := &policy.Request{ID: id, Volume: v}
	h.commands[id] = &entry{cmd: c, dispatches: map[int]*policy.Attempt{}}
	return h.inst.RequestReceived(c, policy.RequestArrival{Class: queue, Plan: plan, Object: string(e.GetStringBytes("object")),
		Shard: int(cell), Gateways: e.GetInt("n_hosts"), Units: units, Deadline: time.Duration(until) * time.Microsecond,
		Retry: e.GetBool("is_retry")})
}

func (h *host) reply(e *fastjson.Value) error {
	id, c, d, err := h.dispatch(e)
	if err != nil {
		return err
	}
	how, took, err := ending(e)
	if err != nil {
		return err
	}
	last := e.GetBool("last")
	delete(c.dispatches, d.Number)
	c.over = c.over || last
	h.inst.AttemptEnded(d, policy.AttemptResult{Outcome: how, Duration: took, RequestOver: last,
		Load: policy.LoadReport{ServedElsewhere: e.GetFloat64("elsewhere"), Utilization: e.GetFloat64("metered")}})
	h.close(id, c, false)
	return nil
}

func (h *host) dispatch(e *fastjson.Value) (int64, *entry, *policy.Attempt, error) {
	id, err := whole(e, "rid")
	if err != nil {
		return 0, nil, nil, err
	}
	n, err := whole(e, "n")
	if err != nil {
		return 0, nil, nil, err
	}
	if _, err = h.brick(e); err != nil {
		return 0, nil, nil, err
	}
	c := h.commands[id]
	if c == nil || c.dispatches[int(n)] == nil {
		return 0, nil, nil, fmt.Errorf("no dispatch %d of command %d is out", n, id)
	}
	return id, c, c.dispatches[int(n)], nil
}

func (h *host) brick(e *fastjson.Value) (*policy.Endpoint, error) {
	name, err := text(e, "brick")
	if err != nil {
		return nil, err
	}
	if b := h.bricks[name]; b != nil {
		return b, nil
	}
	return nil, fmt.Errorf("unknown brick %q", name)
}

func (h *host) close(id int64, c *entry, over bool) {
	c.over = c.over || over
	if c.over && len(c.dispatches) == 0 {
		delete(h.commands, id)
	}
}

func ending(e *fastjson.Value) (policy.Outcome, time.Duration, error) {
	code, err := text(e, "ending")
	if err != nil {
		return 0, 0, err
	}
	took, err := whole(e, "cost_time_us")
	how, ok := endings[code]
	if !ok {
		return 0, 0, fmt.Errorf("unknown ending %q", code)
	}
	return how, time.Duration(took) * time.Microsecond, err
}

func whole(v *fastjson.Value, name string) (int64, error) {
	f := v.Get(name)
	if f == nil {
		return 0, fmt.Errorf("no %s", name)
	}
	n, err := f.Int64()
	if err != nil {
		return 0, fmt.Errorf("%s is not a whole number", name)
	}
	return n, nil
}

func text(v *fastjson.Value, name string) (string, error) {
	f := v.Get(name)
	if f == nil {
		return "", fmt.Errorf("no %s", name)
	}
	s, err := f.StringBytes()
	if err != nil {
		return "", fmt.Errorf("%s is not text", name)
	}
	return string(s), nil
}

func micros(v *fastjson.Value, keys ...string) time.Duration {
	return time.Duration(v.GetFloat64(keys...)) * time.Microsecond
}
