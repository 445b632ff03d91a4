package gateway

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/fleet/store"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// keeper keeps what the loop believes of the fleet on disk. A disk that is full, read-only or slow costs the next start its
// knowledge, never the service of this one.
type keeper struct {
	edge  *Edge
	store *store.Store // nil: nothing is kept
	bad   bool         // the last save failed
}

// open takes back what was kept. Only a store that another host has open keeps this one from starting.
func (k *keeper) open(core *engine.Core) error {
	file := k.edge.conf.Store
	if file == "" {
		return nil
	}
	s, aside, err := store.Open(file, k.edge.conf.Name)
	if errors.Is(err, store.ErrLocked) {
		return err
	}
	if err != nil {
		k.edge.log.Warn("nothing is kept on disk; a start without the list service will know no bricks", "err", err)
		return nil
	}
	if aside != "" {
		k.edge.log.Warn("the store could not be read and was set aside; starting without it", "aside", aside)
	}
	k.store = s
	saved, last, err := s.Load()
	if err != nil {
		return fmt.Errorf("store %s: %w", file, err)
	}
	core.Restore(saved, last)
	hosts, err := s.Members()
	if err != nil {
		return fmt.Errorf("store %s: %w", file, err)
	}
	if g := core.Membership(); g != nil {
		g.Restore(hosts, core.Now())
	}
	oldest := time.Duration(0)
	for _, b := range saved {
		oldest = max(oldest, core.Now()-b.ObservedAt)
	}
	k.edge.log.Info("took back what was believed", "bricks", len(saved), "hosts", len(hosts), "list", last.Number, "oldest", oldest.Round(time.Second))
	return nil
}

func (k *keeper) run(ctx context.Context) {
	if k.store == nil {
		return
	}
	defer k.store.Close()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			k.save()
		case <-ctx.Done():
			k.save() // the last word, while the loop still runs
			return
		}
	}
}

func (k *keeper) save() {
	all, hosts, last, ok := k.edge.beliefs()
	if !ok {
		return
	}
	k.edge.planner.learnt(all)
	_, err := k.store.Save(all, last)
	err = errors.Join(err, k.store.SaveMembers(hosts))
	if (err != nil) != k.bad {
		if k.bad = err != nil; k.bad {
			k.edge.log.Warn("saving fails; trying on", "err", err)
		} else {
			k.edge.log.Info("saving works again")
		}
	}
}

// beliefs asks the loop for what is believed.
func (e *Edge) beliefs() (all []endpointstate.Belief, hosts []membership.Member, last endpointstate.Generation, ok bool) {
	done := make(chan bool, 1)
	if !e.loop.Post(func(c *engine.Core) {
		all, last = c.Fleet().Beliefs(), c.Fleet().LastGeneration()
		if g := c.Membership(); g != nil {
			hosts = g.Members()
		}
		done <- true
	}) {
		return nil, nil, last, false
	}
	select {
	case <-done:
		return all, hosts, last, true
	case <-e.loop.Done():
		return nil, nil, last, false
	}
}

// Table spells beliefs for an operator.
func Table(all []endpointstate.Belief, hosts []membership.Member, last endpointstate.Generation, now time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "list %d of %q\n", last.Number, last.Epoch)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BRICK\tADDRESS\tZONE\tCELL\tTRUST\tKNOWN\tFROM\tUP FOR\tWHY")
	for _, x := range all {
		up, known := "long", "-"
		if x.Started > 0 {
			up = (now - x.Started).Round(time.Second).String()
		}
		if x.ObservedAt > 0 {
			known = (now - x.ObservedAt).Round(time.Second).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", x.Name, x.Address, x.Zone, x.Shard, x.Trust, known, x.Source, up, x.Reason)
	}
	if len(hosts) > 0 {
		fmt.Fprintln(w, "\nHOST\tADDRESS\tNUMBER\tSTATE\tPLANS FOR")
	}
	for _, h := range hosts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\n", h.Name, h.Address, h.Ordinal, h.State, h.Planned)
	}
	w.Flush()
	return b.String()
}

// described is the fleet as this host believes it, for the capacity planner. What a host can't know an operator adds: kinds of
// bricks and their cores, how much a host carries, cells of volumes that no capture shows.
func (e *Edge) described(all []endpointstate.Belief, hosts []membership.Member) *pb.CapacityFleet {
	c := e.conf
	f := &pb.CapacityFleet{Rules: c.Fleet, QueueType: c.QueueType, Plan: c.Plan, Bounds: c.Bounds, Kind: []*pb.ServerKind{{Name: "brick", Cores: 1}}}
	for _, b := range all {
		if !b.Gone {
			f.Brick = append(f.Brick, &pb.Server{Name: b.Name, Kind: "brick", Zone: b.Zone, Cell: uint32(max(b.Shard, 0))})
		}
	}
	for _, h := range hosts {
		if h.State != membership.Departed {
			f.Host = append(f.Host, &pb.HostLine{Name: h.Name})
		}
	}
	if len(f.Host) == 0 {
		f.Host = []*pb.HostLine{{Name: c.Name, Zone: c.Zone}}
	}
	for _, v := range c.Volume {
		f.Volume = append(f.Volume, &pb.PlacedVolume{Name: v.Name, Plan: v.Plan, Hosts: v.Hosts})
	}
	return f
}

// operate answers an operator's verbs on a client connection. They are taken from this machine only.
func (s *session) operate(m *lineproto.Message) {
	var o lineproto.Out
	host, _, _ := strings.Cut(s.conn.RemoteAddr().String(), ":")
	if !strings.HasPrefix(host, "127.") && host != "[" {
		s.refuse(m.ID, os.ErrPermission)
		return
	}
	switch m.Verb {
	case lineproto.Fleet:
		all, hosts, last, _ := s.edge.beliefs()
		if m.Get("Form") == "txtpb" {
			text, err := settings.Text(s.edge.described(all, hosts))
			if err != nil {
				s.refuse(m.ID, err)
				return
			}
			s.sender.Send(o.Start(lineproto.Done, m.ID).End(text).B)
			return
		}
		s.sender.Send(o.Start(lineproto.Done, m.ID).End([]byte(Table(all, hosts, last, s.edge.loop.Now()))).B)
	case lineproto.Tape:
		text, err := s.edge.tape(m.Get("Action"))
		if err != nil {
			s.refuse(m.ID, err)
			return
		}
		s.sender.Send(o.Start(lineproto.Done, m.ID).End([]byte(text)).B)
	case lineproto.Forget:
		done := make(chan bool, 1)
		name, host := m.Get("Brick"), m.Get("Host")
		forget := func(c *engine.Core) { done <- c.ForgetEndpoint(name) }
		if host != "" {
			forget = func(c *engine.Core) { done <- c.ForgetGateway(host) }
		}
		if !s.edge.loop.Post(forget) {
			return
		}
		select {
		case ok := <-done:
			if ok {
				s.edge.log.Warn("forgot on an operator's word: a brick with its drain, or a host with its part", "brick", name, "other", host)
				s.sender.Send(o.Start(lineproto.Done, m.ID).End(nil).B)
				return
			}
			s.refuse(m.ID, fmt.Errorf("nothing is known of %q", name+host))
		case <-s.edge.loop.Done():
		}
	}
}
