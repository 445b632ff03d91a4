package storagenode

import (
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// arrival is the work of one attempt that reached a node in slow start.
type arrival struct {
	at   time.Time
	work float64 // seconds of a worker of speed 1
}

// capacityShare returns the share of its capacity that the node has at a time, 0 to 1. It is 1 after the slow start.
func (n *Node) capacityShare(now time.Time) float64 {
	duration, initial := settings.Duration(n.config.Kind.ColdFor, 0), n.config.Kind.ColdFrom
	age := now.Sub(n.started)
	if !n.config.SlowStart || age >= duration || duration == 0 {
		return 1
	}
	return initial + (1-initial)*age.Seconds()/duration.Seconds()
}

// checkOverload ends a node in slow start if too much work arrived within CollapseAfter. The caller holds mu.
func (n *Node) checkOverload(work float64) {
	if !n.config.SlowStart || n.config.CollapseAfter == 0 || n.collapsed {
		return
	}
	now := time.Now()
	if now.Sub(n.started) >= settings.Duration(n.config.Kind.ColdFor, 0) {
		n.recentArrivals = nil
		return
	}
	n.recentArrivals = append(n.recentArrivals, arrival{now, work})
	sum := 0.0
	n.recentArrivals = slices.DeleteFunc(n.recentArrivals, func(a arrival) bool { return now.Sub(a.at) >= n.config.CollapseAfter })
	for _, a := range n.recentArrivals {
		sum += a.work
	}
	if sum > n.config.CollapseMultiple*n.config.Speed*n.capacityShare(now)*n.config.CollapseAfter.Seconds() {
		n.collapsed = true
		n.config.Recorder.See(&pb.Seen{What: pb.Seen_BRICK_FELL, Brick: n.config.Name})
		n.stop()
	}
}
