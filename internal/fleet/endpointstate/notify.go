package endpointstate

import "time"

// Sink receives every change of an endpoint's state. A Fleet calls it synchronously; it must not call back.
type Sink interface {
	// EndpointChanged reports an endpoint's state: it accepts requests (serving), takes no new ones (neither flag), or is removed.
	// startedAt is the start time for the scheduler to assume; 0 means long ago.
	EndpointChanged(name, address, zone string, shard int, serving, removed bool, startedAt time.Duration)
}

// notification is the last state that the sink was notified of.
type notification struct {
	sent             bool // false: the sink was never notified of the endpoint
	address, zone    string
	shard            int
	serving, removed bool
	startedAt        time.Duration
}

// notify notifies the sink of a belief unless the last notification was the same.
func (f *Fleet) notify(b *Belief, serving, removed bool, startedAt time.Duration) {
	n := notification{sent: true, address: b.Address, zone: b.Zone, shard: b.Shard, serving: serving, removed: removed, startedAt: startedAt}
	if n == b.notified {
		return
	}
	b.notified = n
	f.sink.EndpointChanged(b.Name, b.Address, b.Zone, b.Shard, serving, removed, startedAt)
}

// notifyDropped notifies the sink that an endpoint is removed because its belief is being deleted.
func (f *Fleet) notifyDropped(b *Belief) { f.notify(b, false, true, b.notified.startedAt) }
