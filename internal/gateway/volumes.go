package gateway

import (
	"maps"
	"sync/atomic"

	"weirhaven/internal/pb"
)

// volumeTable contains the volumes of the settings, overridden by those of the control plane. The loop reads it for each request;
// updates replace the whole map.
type volumeTable struct {
	entries atomic.Pointer[map[string]volumeEntry] // volumes by name
}

type volumeEntry struct {
	plan     string // service plan
	gateways int    // number of gateways through which the volume is used
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

// apply updates the table with the volumes among changes of the control plane's snapshot. It ignores volumes whose service plan is
// not in plans, and returns their names. It must not be called concurrently.
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
