package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"weirhaven/internal/pb"
)

// LoadGateway reads and validates a gateway's settings file. It fails like Load.
func LoadGateway(file string) (*pb.Edge, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseGateway(file, text)
}

// ParseGateway is LoadGateway for a text. file is the name used in errors.
func ParseGateway(file string, text []byte) (*pb.Edge, error) {
	conf := &pb.Edge{}
	c, err := parse(file, text, conf)
	if err != nil {
		return nil, err
	}
	c.gateway(conf)
	if err = errors.Join(c.faults...); err != nil {
		return nil, err
	}
	return conf, nil
}

// gateway checks the constraints between several fields.
func (c *checker) gateway(conf *pb.Edge) {
	c.plansAndVolumes(conf)
	if conf.Hosts > 0 && conf.Ordinal >= conf.Hosts {
		c.crossFieldFault("ordinal", fmt.Sprint(conf.Ordinal), "out of range; allowed: 0 to %d", conf.Hosts-1)
	}
	for i, network := range conf.Network {
		if _, err := netip.ParsePrefix(network); err != nil {
			c.crossFieldFault(fmt.Sprintf("network[%d]", i), strconv.Quote(network), "not a network such as 127.0.0.0/8")
		}
	}
	if o := conf.Objects; o != nil {
		c.objectClass(conf, "objects.read_type", o.ReadType, false)
		c.objectClass(conf, "objects.write_type", o.WriteType, true)
	}
	if conf.Planner != nil && conf.Store == "" {
		c.crossFieldFault("store", "", "missing; required with planner, whose snapshot is stored beside it")
	}
	if conf.Fleet == nil {
		return // already reported as missing
	}
	for i, class := range conf.QueueType {
		c.class(conf, class, fmt.Sprintf("queue_type[%d].", i))
	}
	c.fleet(conf)
	c.log(conf.Log)
}

func (c *checker) plansAndVolumes(conf *pb.Edge) {
	plans := map[string]bool{}
	for i, p := range conf.Plan {
		plans[p.Name] = true
		if p.Limit > 0 && p.Reservation > p.Limit {
			c.crossFieldFault(fmt.Sprintf("plan[%d].reservation", i), fmt.Sprint(p.Reservation),
				"over the plan's limit; allowed: at most %v", p.Limit)
		}
		if p.Limit > 0 && p.Depth <= 0 {
			c.crossFieldFault(fmt.Sprintf("plan[%d].depth", i), "", "missing; a plan with a limit needs a depth above 0")
		}
	}
	for i, v := range conf.Volume {
		if !plans[v.Plan] {
			c.crossFieldFault(fmt.Sprintf("volume[%d].plan", i), strconv.Quote(v.Plan), "no plan of that name")
		}
		if v.Hosts > conf.Hosts {
			c.crossFieldFault(fmt.Sprintf("volume[%d].hosts", i), fmt.Sprint(v.Hosts), "more than there are; allowed: 1 to %d", conf.Hosts)
		}
	}
}

// objectClass checks a request class used by the object API.
func (c *checker) objectClass(conf *pb.Edge, field, name string, writes bool) {
	i := slices.IndexFunc(conf.QueueType, func(class *pb.QueueType) bool { return class.Name == name })
	if i < 0 {
		c.crossFieldFault(field, strconv.Quote(name), "no queue type of that name")
	} else if conf.QueueType[i].Writes != writes {
		c.crossFieldFault(field, strconv.Quote(name), "allowed: a queue type that reads for read_type, one that writes for write_type")
	}
}

// minTimeoutTicks is the number of timer ticks that a request timeout must exceed; with a shorter timeout, the error of a deadline
// would be as large as the timeout.
const minTimeoutTicks = 4

// class checks a request class. prefix is the path of its fields.
func (c *checker) class(conf *pb.Edge, class *pb.QueueType, prefix string) {
	objective, timeout := Duration(class.ServiceTarget, 0), Duration(class.CommandTimeout, 0)
	if objective > timeout {
		c.crossFieldFault(prefix+"service_target", class.ServiceTarget, "longer than the command timeout %s", class.CommandTimeout)
	}
	if idle := LimitsOf(conf.Bounds).IdleTimeout; idle <= timeout { // otherwise a connection could be closed while a request waits
		c.crossFieldFault("bounds.idle", idle.String(), "allowed: longer than the command timeout %s of %s", class.CommandTimeout, class.Name)
	}
	if timeout <= minTimeoutTicks*Duration(conf.Fleet.Resolution, 0) {
		c.crossFieldFault(prefix+"command_timeout", class.CommandTimeout, "allowed: more than four times the resolution %s", conf.Fleet.Resolution)
	}
	if class.Semantics == pb.Semantics_TAGGED && Duration(class.TagWindow, 0) <= 0 {
		c.crossFieldFault(prefix+"tag_window", "", "missing; a tagged queue type needs one")
	}
}

func (c *checker) fleet(conf *pb.Edge) {
	f := conf.Fleet
	if f.ListAsked && Duration(f.AskWithin, 0) <= 0 {
		c.crossFieldFault("fleet.ask_within", "", "missing; required with list_asked")
	}
	hasSlowStart := Duration(f.ColdFor, 0) > 0
	slowStartComplete := f.ColdFrom > 0 && f.ColdUnits > 0 && f.FallMultiple > 0 && Duration(f.FallAfter, 0) > 0
	if hasSlowStart && !slowStartComplete {
		c.crossFieldFault("fleet.cold_for", f.ColdFor, "needs cold_from, cold_units, fall_multiple and fall_after too")
	}
	if f.MostUnits < f.UsualUnits {
		c.crossFieldFault("fleet.most_units", fmt.Sprint(f.MostUnits), "less than usual_units %v", f.UsualUnits)
	}
	if f.Peers && conf.PeerListen == "" {
		c.crossFieldFault("peer_listen", "", "missing; fleet.peers needs it")
	}
}

func (c *checker) log(log *pb.Log) {
	if log == nil {
		return
	}
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, log.Level) {
		c.crossFieldFault("log.level", strconv.Quote(log.Level), "allowed: debug, info, warn, error")
	}
	if !slices.Contains([]string{"", "text", "json"}, log.Form) {
		c.crossFieldFault("log.form", strconv.Quote(log.Form), "allowed: text, json")
	}
}
