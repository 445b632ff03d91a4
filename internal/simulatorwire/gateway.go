package simulatorwire

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/internal/httpgateway/config"
	"weirhaven/policy"
)

// gateway is one simulated gateway: its scheduler, and the scheduler's objects by their names on the wire. It implements
// policy.Runtime.
type gateway struct {
	adapter   *adapter
	scheduler *policy.Scheduler // nil: not started, or killed
	panicked  bool              // whether the scheduler panicked; events are then ignored until the next start
	actions   []byte            // actions of the current batch, as JSON
	requests  map[int64]*openRequest
	endpoints map[string]*policy.Endpoint
	volumes   map[string]*policy.Volume
	timers    map[int64]func()
	lastTimer int64
}

// openRequest is a request that is not done yet, or that still has attempts in flight.
type openRequest struct {
	request  *policy.Request
	inFlight map[int]*policy.Attempt // by number
	done     bool
}

var outcomes = map[string]policy.Outcome{
	"S": policy.Served,
	"E": policy.ErrorResponse,
	"F": policy.Rejected,
	"T": policy.TimedOut,
	"C": policy.ConnectFailed,
	"R": policy.ConnectionReset,
	"X": policy.Canceled,
	"N": policy.NotSent,
}

const (
	eventStart     = "enlist"
	eventKill      = "crash_now"
	eventStoreList = "sheet"
)

// handlers are the functions for the events of a started gateway. eventStart is among them because a gateway may be restarted.
var handlers = map[string]func(g *gateway, event *fastjson.Value) error{
	eventStart:      (*gateway).start,
	"view":          (*gateway).endpointList,
	"knock":         (*gateway).requestReceived,
	"timeout_fired": (*gateway).timerDue,
	"client_gone":   (*gateway).clientDisconnected,
	"reply":         (*gateway).attemptEnded,
	"first":         (*gateway).responseStarted,
	"probe_result":  (*gateway).healthChecked,
	"from_peer":     (*gateway).gossipReceived,
}

// runEvent runs one event. A panic of the scheduler is reported to the simulator, which continues without that gateway.
func (g *gateway) runEvent(event *fastjson.Value) (err error) {
	fields := fieldReader{object: event}
	kind := fields.text("kind")
	switch {
	case fields.err != nil:
		return fields.err
	case kind == eventStoreList:
		return g.adapter.storeList(event)
	case kind == eventKill:
		*g = gateway{adapter: g.adapter, actions: g.actions}
		return nil
	case g.panicked && kind != eventStart:
		return nil
	case g.scheduler == nil && kind != eventStart && !g.panicked:
		return fmt.Errorf("%s before %s", kind, eventStart)
	}
	defer func() {
		if reason := recover(); reason != nil {
			g.panicked = true
			g.act("bail_out", func() { g.writeText("line", fmt.Sprint("panic: ", reason)) })
		}
	}()
	handle, ok := handlers[kind]
	if !ok {
		return fmt.Errorf("%s: unknown event", kind)
	}
	if err := handle(g, event); err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	return nil
}

// start creates a new scheduler without any state.
func (g *gateway) start(event *fastjson.Value) error {
	fields := fieldReader{object: event}
	seed := fields.integer("seed")
	if fields.err != nil {
		return fields.err
	}
	settings, err := config.ParseSettings(event.Get("profile_data"), seed)
	if err != nil {
		return fmt.Errorf("profile_data: %w", err)
	}
	*g = gateway{
		adapter:   g.adapter,
		actions:   g.actions,
		requests:  map[int64]*openRequest{},
		endpoints: map[string]*policy.Endpoint{},
		volumes:   map[string]*policy.Volume{},
		timers:    map[int64]func(){},
	}
	g.scheduler = policy.New(g, settings)
	return nil
}

// endpointList passes a stored list, or the failure to get one, to the scheduler.
func (g *gateway) endpointList(event *fastjson.Value) error {
	fields := fieldReader{object: event}
	form := fields.text("form")
	if fields.err != nil {
		return fields.err
	}
	whole := true
	switch form {
	case "FAILED":
		g.scheduler.EndpointListFailed()
		return nil
	case "FULL", "SAVED":
	case "INCREMENTAL":
		whole = false
	default:
		return fmt.Errorf("unknown form %q", form)
	}
	number := fields.integer("buffer")
	if fields.err != nil {
		return fields.err
	}
	list, ok := g.adapter.lists[int(number)]
	if !ok {
		return fmt.Errorf("unknown list number %d", number)
	}
	g.scheduler.BeginEndpointList(whole)
	for _, entry := range list.entries {
		if err := g.updateEndpoint(entry); err != nil {
			return err
		}
	}
	g.scheduler.EndEndpointList()
	return nil
}

func (g *gateway) updateEndpoint(entry *fastjson.Value) error {
	fields := fieldReader{object: entry}
	name, status := fields.text("brick"), fields.text("status")
	if fields.err != nil {
		return fields.err
	}
	endpoint := g.endpoints[name]
	if endpoint == nil {
		endpoint = &policy.Endpoint{Name: name}
		g.endpoints[name] = endpoint
	}
	g.scheduler.UpdateEndpoint(endpoint, policy.EndpointUpdate{
		Zone:      string(entry.GetStringBytes("region_part")),
		Shard:     entry.GetInt("group"),
		Serving:   status == "SERVING",
		Removed:   status == "DELETED",
		StartedAt: time.Duration(entry.GetFloat64("boot_time_us")) * time.Microsecond,
	})
	return nil
}

func (g *gateway) requestReceived(event *fastjson.Value) error {
	fields := fieldReader{object: event}
	id := fields.integer("rid")
	arrival := policy.RequestArrival{
		Class:    fields.text("cls"),
		Deadline: fields.micros("give_up_at_us"),
		Plan:     fields.text("grade"),
	}
	owner := fields.text("owner")
	arrival.Shard = int(fields.integer("group_no"))
	if fields.err != nil {
		return fields.err
	}
	arrival.Units = event.GetFloat64("weight")
	if arrival.Units <= 0 {
		return errors.New("no weight above 0")
	}
	arrival.Object = string(event.GetStringBytes("object"))
	arrival.Gateways = event.GetInt("n_hosts")
	arrival.Retry = event.GetBool("is_retry")
	request := &policy.Request{ID: id, Volume: g.volume(owner, arrival.Plan)}
	g.requests[id] = &openRequest{request: request, inFlight: map[int]*policy.Attempt{}}
	return g.scheduler.RequestReceived(request, arrival)
}

// volume returns the volume for an owner and a plan, since the wire has no names for volumes.
func (g *gateway) volume(owner, plan string) *policy.Volume {
	key := owner + " " + plan
	volume := g.volumes[key]
	if volume == nil {
		volume = &policy.Volume{}
		g.volumes[key] = volume
	}
	return volume
}

func (g *gateway) timerDue(event *fastjson.Value) error {
	fields := fieldReader{object: event}
	cookie := fields.text("cookie")
	if fields.err != nil {
		return fields.err
	}
	id, err := strconv.ParseInt(cookie, 10, 64)
	fire := g.timers[id]
	if err != nil || fire == nil {
		return fmt.Errorf("unknown timer %q", cookie)
	}
	delete(g.timers, id)
	fire()
	return nil
}

func (g *gateway) clientDisconnected(event *fastjson.Value) error {
	fields := fieldReader{object: event}
	id := fields.integer("rid")
	if fields.err != nil {
		return fields.err
	}
	if open := g.requests[id]; open != nil {
		g.scheduler.ClientDisconnected(open.request)
		g.endRequest(id)
	}
	return nil
}

func (g *gateway) attemptEnded(event *fastjson.Value) error {
	id, open, attempt, err := g.attempt(event)
	if err != nil {
		return err
	}
	outcome, duration, err := outcome(event)
	if err != nil {
		return err
	}
	requestOver := event.GetBool("last")
	delete(open.inFlight, attempt.Number)
	open.done = open.done || requestOver
	g.scheduler.AttemptEnded(attempt, policy.AttemptResult{
		Outcome:     outcome,
		Duration:    duration,
		RequestOver: requestOver,
		Load:        policy.LoadReport{ServedElsewhere: event.GetFloat64("elsewhere"), Utilization: event.GetFloat64("metered")},
	})
	g.release(id, open)
	return nil
}

func (g *gateway) responseStarted(event *fastjson.Value) error {
	_, _, attempt, err := g.attempt(event)
	if err != nil {
		return err
	}
	g.scheduler.ResponseStarted(attempt)
	return nil
}

func (g *gateway) healthChecked(event *fastjson.Value) error {
	endpoint, err := g.endpoint(event)
	if err != nil {
		return err
	}
	outcome, duration, err := outcome(event)
	if err != nil {
		return err
	}
	g.scheduler.HealthChecked(endpoint, outcome, duration)
	return nil
}

func (g *gateway) gossipReceived(event *fastjson.Value) error {
	fields := fieldReader{object: event}
	sender, data := fields.integer("sender"), fields.base64("data")
	if fields.err != nil {
		return fields.err
	}
	g.scheduler.GossipReceived(int(sender), data)
	return nil
}

// attempt returns the attempt in flight that an event refers to, and its request.
func (g *gateway) attempt(event *fastjson.Value) (id int64, open *openRequest, attempt *policy.Attempt, err error) {
	fields := fieldReader{object: event}
	id, number := fields.integer("rid"), fields.integer("n")
	if fields.err != nil {
		return 0, nil, nil, fields.err
	}
	if _, err := g.endpoint(event); err != nil {
		return 0, nil, nil, err
	}
	open = g.requests[id]
	if open == nil || open.inFlight[int(number)] == nil {
		return 0, nil, nil, fmt.Errorf("no attempt %d of request %d is in flight", number, id)
	}
	return id, open, open.inFlight[int(number)], nil
}

func (g *gateway) endpoint(event *fastjson.Value) (*policy.Endpoint, error) {
	fields := fieldReader{object: event}
	name := fields.text("brick")
	if fields.err != nil {
		return nil, fields.err
	}
	if endpoint := g.endpoints[name]; endpoint != nil {
		return endpoint, nil
	}
	return nil, fmt.Errorf("unknown endpoint %q", name)
}

// endRequest marks a request as done.
func (g *gateway) endRequest(id int64) {
	open := g.requests[id]
	open.done = true
	g.release(id, open)
}

// release deletes a request that is done and has no attempt in flight.
func (g *gateway) release(id int64, open *openRequest) {
	if open.done && len(open.inFlight) == 0 {
		delete(g.requests, id)
	}
}

func outcome(event *fastjson.Value) (policy.Outcome, time.Duration, error) {
	fields := fieldReader{object: event}
	code := fields.text("ending")
	if fields.err != nil {
		return 0, 0, fields.err
	}
	outcome, ok := outcomes[code]
	if !ok {
		return 0, 0, fmt.Errorf("unknown outcome %q", code)
	}
	return outcome, fields.micros("cost_time_us"), fields.err
}
