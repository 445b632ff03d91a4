package gateway

import (
	"maps"
	"sync/atomic"

	"weirhaven/internal/pb"
)

// volumeTable is what is known of volumes: the settings, and over them what the control plane says. It is read by the loop for each
// request and replaced whole.
type volumeTable struct {
	entries atomic.Pointer[map[string]volumeEntry] // by name
}

type volumeEntry struct {
	plan     string // service plan
	gateways int    // through which the volume is used
}

func newVolumeTable(conf *pb.Edge) *volumeTable {
	entries := make(map[string]volumeEntry, len(conf.Volume))
	for _, v := range conf.Volume {
		entries[v.Name] = volumeEntry{plan: v.Plan, gateways: int(v.Hosts)}
	}
	t := &volumeTable{}
	t.entries.Store(&entries)
	return t
}

// lookup is an engine.VolumeLookup. It is safe for concurrent use.
func (t *volumeTable) lookup(name string) (plan string, gateways int, ok bool) {
	entry, ok := (*t.entries.Load())[name]
	return entry.plan, entry.gateways, ok
}

// apply takes the volumes among changes of the control plane's snapshot. It returns those on a plan that is not among the plans,
// which change nothing. It may not be called concurrently.
func (t *volumeTable) apply(items []*pb.Item, plans map[string]bool) (unknownPlan []string) {
	var next map[string]volumeEntry
	for _, item := range items {
		if item.Kind != pb.Item_VOLUME {
			continue
		}
		if next == nil {
			next = maps.Clone(*t.entries.Load())
		}
		switch {
		case item.Gone:
			delete(next, item.Name)
		case !plans[item.GetVolume().GetPlan()]:
			unknownPlan = append(unknownPlan, item.Name)
		default:
			next[item.Name] = volumeEntry{plan: item.Volume.Plan, gateways: max(int(item.Volume.Hosts), 1)}
		}
	}
	if next != nil {
		t.entries.Store(&next)
	}
	return unknownPlan
}
