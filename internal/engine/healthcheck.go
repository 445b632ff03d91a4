package engine

import "weirhaven/policy"

// checkHealth carries out the scheduler's CheckHealth. Without a connection, the check fails after the scheduler has
// returned. An endpoint has at most one check in flight; a new check replaces the previous one, whose outcome then counts
// as late.
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

// HealthChecked takes the outcome of the health check id. A report on a check that has already ended is counted and
// dropped.
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
