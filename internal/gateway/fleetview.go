package gateway

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
)

// fleetView is a copy of the beliefs about the fleet.
type fleetView struct {
	beliefs    []endpointstate.Belief
	members    []membership.Member // empty if the gateway has no peers
	generation endpointstate.Generation
}

// fleetView gets the current beliefs from the loop; false: the loop has ended.
func (g *Gateway) fleetView() (view fleetView, ok bool) {
	answer := make(chan fleetView, 1)
	if !g.loop.Post(func(c *engine.Core) {
		current := fleetView{beliefs: c.Fleet().Beliefs(), generation: c.Fleet().LastGeneration()}
		if group := c.Membership(); group != nil {
			current.members = group.Members()
		}
		answer <- current
	}) {
		return fleetView{}, false
	}
	select {
	case view = <-answer:
		return view, true
	case <-g.loop.Done():
		return fleetView{}, false
	}
}

// FormatFleet formats the beliefs about the fleet as a table for an operator. It computes ages relative to now, on the clock of the
// beliefs.
func FormatFleet(beliefs []endpointstate.Belief, members []membership.Member, last endpointstate.Generation, now time.Duration) string {
	var text strings.Builder
	fmt.Fprintf(&text, "list %d of %q\n", last.Number, last.Epoch)
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ENDPOINT\tADDRESS\tZONE\tSHARD\tTRUST\tOBSERVED\tSOURCE\tUPTIME\tREASON") // writes to memory don't fail
	for _, b := range beliefs {
		uptime, observed := "long", "-"
		if b.Started > 0 {
			uptime = (now - b.Started).Round(time.Second).String()
		}
		if b.ObservedAt > 0 {
			observed = (now - b.ObservedAt).Round(time.Second).String() + " ago"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", b.Name, b.Address, b.Zone, b.Shard, b.Trust, observed, b.Source, uptime, b.Reason)
	}
	if len(members) > 0 {
		_, _ = fmt.Fprintln(table, "\nGATEWAY\tADDRESS\tORDINAL\tSTATE\tPLANNED")
	}
	for _, m := range members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\n", m.Name, m.Address, m.Ordinal, m.State, m.Planned)
	}
	_ = table.Flush()
	return text.String()
}

// describeFleet returns the beliefs as settings of the capacity planner. An operator has to add what a gateway does not know: the
// kinds of endpoints and their cores, the capacity of a gateway, and shards of volumes that appear in no capture.
func (g *Gateway) describeFleet(view fleetView) *pb.CapacityFleet {
	const kind = "brick"
	conf := g.conf
	fleet := &pb.CapacityFleet{Rules: conf.Fleet, QueueType: conf.QueueType, Plan: conf.Plan, Bounds: conf.Bounds,
		Kind: []*pb.ServerKind{{Name: kind, Cores: 1}}}
	for _, b := range view.beliefs {
		if !b.Removed {
			fleet.Brick = append(fleet.Brick, &pb.Server{Name: b.Name, Kind: kind, Zone: b.Zone, Cell: uint32(max(b.Shard, 0))})
		}
	}
	for _, m := range view.members {
		if m.State != membership.Departed {
			fleet.Host = append(fleet.Host, &pb.HostLine{Name: m.Name})
		}
	}
	if len(fleet.Host) == 0 {
		fleet.Host = []*pb.HostLine{{Name: conf.Name, Zone: conf.Zone}}
	}
	for _, v := range conf.Volume {
		fleet.Volume = append(fleet.Volume, &pb.PlacedVolume{Name: v.Name, Plan: v.Plan, Hosts: v.Hosts})
	}
	return fleet
}
