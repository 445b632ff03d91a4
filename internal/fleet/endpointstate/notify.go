package endpointstate

import "time"

// Sink is notified of each change of what is believed. It is called from within the calls of a Fleet and must not call back.
type Sink interface {
	// EndpointChanged gives the state of an endpoint that requests may be sent to (serving), that takes no new ones, or that is gone.
	// startedAt is the start that the scheduler is to assume; 0: long ago.
	EndpointChanged(name, address, zone string, shard int, serving, gone bool, startedAt time.Duration)
}

// notification is what the sink was last notified of.
type notification struct {
	sent             bool // false: the sink doesn't know the endpoint
	address, zone    string
	shard            int
	serving, removed bool
	startedAt        time.Duration
}

// notify passes a belief on to the sink unless the sink knows just that.
func (f *Fleet) notify(b *Belief, serving, gone bool, startedAt time.Duration) {
	n := notification{sent: true, address: b.Address, zone: b.Zone, shard: b.Shard, serving: serving, removed: gone, startedAt: startedAt}
	if n == b.notified {
		return
	}
	b.notified = n
	f.sink.EndpointChanged(b.Name, b.Address, b.Zone, b.Shard, serving, gone, startedAt)
}

// notifyDropped tells the sink that an endpoint is gone because nothing is held of it any more.
func (f *Fleet) notifyDropped(b *Belief) { f.notify(b, false, true, b.notified.startedAt) }
