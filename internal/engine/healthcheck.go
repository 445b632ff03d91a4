package engine

import "weirhaven/policy"

// checkHealth carries out the scheduler's CheckHealth. Without a connection the check fails once the scheduler has
// returned. An endpoint has one check under way at most; a new one takes the place of the one before, whose outcome is late
// then.
func (c *Core) checkHealth(scheduled *policy.Endpoint) {
	endpoint := c.endpoints[scheduled.Name]
	if endpoint == nil || endpoint.conn == nil {
		c.deferCall(func() { c.scheduler.HealthChecked(scheduled, policy.ConnectFailed, 0) })
		return
	}
	c.lastID++
	id := c.lastID
	endpoint.healthCheckID, endpoint.healthCheckSentAt = id, c.now
	c.schedule(c.healthCheckTimeout, timer{fire: func() { c.HealthChecked(scheduled.Name, id, policy.TimedOut) }})
	endpoint.conn.CheckHealth(id)
}

// HealthChecked reports how the health check id ended. A report on one that is over is counted and dropped.
func (c *Core) HealthChecked(endpointName string, id uint64, outcome policy.Outcome) {
	endpoint := c.endpoints[endpointName]
	if endpoint == nil || id == 0 || endpoint.healthCheckID != id {
		c.counts.LateOutcomes++
		return
	}
	endpoint.healthCheckID = 0
	if outcome == policy.TimedOut {
		endpoint.conn.Abandon(id)
	}
	c.scheduler.HealthChecked(&endpoint.Endpoint, outcome, c.now-endpoint.healthCheckSentAt)
	c.runDeferred()
}
