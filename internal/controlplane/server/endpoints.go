package server

import (
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
)

// The endpoint list, the gateways' reports and the persisted records are inputs of package endpointstate. Each state of an endpoint
// that it derives from them becomes a desired record.

// restoreEndpoints initializes the endpoints' state from the persisted records.
func (c *Controller) restoreEndpoints(records []*pb.Item) {
	var restored []endpointstate.Belief
	for _, record := range records {
		endpoint := record.GetBrick()
		if record.Kind != pb.Item_BRICK || endpoint == nil {
			continue
		}
		drainedUpTo := time.Duration(endpoint.Drained)
		if endpoint.Drained == snapshot.DrainedForGood {
			drainedUpTo = now()
		}
		restored = append(restored, endpointstate.Belief{
			Source:      endpointstate.Saved,
			DrainedUpTo: drainedUpTo,
			Reason:      "as written",
			Report: endpointstate.Report{Name: record.Name, Address: endpoint.Address, Zone: endpoint.Zone, Shard: int(endpoint.Cell),
				Serving: endpoint.Serving, Removed: record.Gone, Started: time.Duration(endpoint.Started), ObservedAt: now()},
		})
	}
	c.endpoints.Restore(restored, endpointstate.Generation{}, now())
}

// endpointSink receives the changes from package endpointstate. The caller holds c.mu.
type endpointSink Controller

// EndpointChanged sets the new state of an endpoint as its desired record.
func (c *endpointSink) EndpointChanged(name, address, zone string, shard int, serving, removed bool, _ time.Duration) {
	endpoint := &pb.PlanBrick{Address: address, Zone: zone, Cell: int64(shard), Serving: serving && !removed}
	if belief, ok := c.endpoints.Belief(name); ok {
		endpoint.Started, endpoint.Drained = int64(belief.Started), int64(belief.DrainedUpTo)
	}
	c.state.SetDesired(&pb.Item{Kind: pb.Item_BRICK, Name: name, Gone: removed, Brick: endpoint})
}

// ListReceived processes an endpoint list, or changes of it, from the discovery service.
func (c *Controller) ListReceived(generation endpointstate.Generation, whole bool, entries []engine.EndpointEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	observedAt := now()
	reports := make([]endpointstate.Report, len(entries))
	for i, entry := range entries {
		reports[i] = endpointstate.Report{Name: entry.Name, Address: entry.Address, Zone: entry.Zone, Shard: entry.Shard,
			Serving: entry.Serving && !entry.Removed, Removed: entry.Removed, ObservedAt: observedAt}
		if entry.HasAge {
			reports[i].Started = observedAt - max(entry.Age, 0)
		}
	}
	c.endpoints.ListReceived(generation, whole, reports, observedAt)
	c.listVersion++
	c.writeDesired()
	c.wakeStreams()
}

// ListFailed is called when the endpoint list could not be fetched. The last received list remains in use.
func (c *Controller) ListFailed() {}

// ListUnchanged is called when the discovery service confirms that the endpoint list is unchanged.
func (c *Controller) ListUnchanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints.ListUnchanged(now())
}

// mergeReportedEndpoints merges the drains of a gateway's complete report into the endpoints' state. They apply whatever the
// endpoint list says. The caller holds c.mu.
func (c *Controller) mergeReportedEndpoints(records []*pb.Item) {
	var reports []endpointstate.Report
	for _, record := range records {
		endpoint := record.GetBrick()
		if endpoint == nil || !snapshot.Drained(endpoint) {
			continue
		}
		reports = append(reports, endpointstate.Report{Name: record.Name, Address: endpoint.Address, Zone: endpoint.Zone, Shard: int(endpoint.Cell),
			Started: max(time.Duration(endpoint.Started), time.Duration(endpoint.Drained)), ObservedAt: now()})
	}
	if len(reports) > 0 {
		c.endpoints.PeerReported(reports, now())
		c.writeDesired()
	}
}

// evidence returns the endpoints' state as records without a generation. It is sent to gateways while the controller cannot write,
// so that gateways learn of a replaced endpoint even if the controller never holds the lease for long. It excludes endpoints that
// were only restored from the store, since the gateways hold these. The caller holds c.mu.
func (c *Controller) evidence() (records []*pb.Item) {
	for _, belief := range c.endpoints.Beliefs() {
		if belief.Source == endpointstate.Saved {
			continue
		}
		records = append(records, &pb.Item{Kind: pb.Item_BRICK, Name: belief.Name, Gone: belief.Removed,
			Brick: &pb.PlanBrick{Address: belief.Address, Zone: belief.Zone, Cell: int64(belief.Shard), Serving: belief.Serving && !belief.Removed,
				Started: int64(belief.Started), Drained: int64(belief.DrainedUpTo)}})
	}
	return records
}
