package storagenode

import (
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

// finish completes an attempt and sends its response. A write takes effect once for each idempotency key. The caller holds mu.
func (n *Node) finish(j *job) {
	write := n.config.WriteClasses[j.class]
	first := j.idempotencyKey == "" || !write || n.config.IdempotencyWindow == 0 || n.config.Keys.addNew(j.idempotencyKey, n.config.IdempotencyWindow)
	if write && first {
		n.config.Data.put(j.object, j.body)
		n.record(j, &pb.Seen{What: pb.Seen_EFFECT, Brick: n.config.Name, Command: j.request, Dispatch: j.attempt, Tag: j.idempotencyKey,
			Object: j.object})
	}
	n.servedUnits[j.volume] += j.units
	if n.servedUnitsByGateway[j.connection.gateway] == nil {
		n.servedUnitsByGateway[j.connection.gateway], n.reportedUnits[j.connection.gateway] = map[string]float64{}, map[string]float64{}
	}
	n.servedUnitsByGateway[j.connection.gateway][j.volume] += j.units
	if n.config.Meter != nil {
		n.config.Meter.add(j.volume, j.units)
	}
	body := j.body
	if !write {
		if stored, ok := n.config.Data.get(j.object); ok {
			body = stored.body
		}
	}
	n.respond(j, lineproto.VerbServed, body)
}

// respond sends the outcome of an attempt, unless it draws the loss of the response. The caller holds mu.
func (n *Node) respond(j *job, verb string, body []byte) {
	if n.conditions.LostShare > 0 && n.random.Float64() < n.conditions.LostShare {
		if n.conditions.ResetOnLoss {
			reset(j.connection.conn)
		}
		return
	}
	var response lineproto.Builder
	response.Buffer = make([]byte, 0, 128+len(body))
	response.Start(verb, j.id)
	otherGateways := n.unreportedUnits(j.connection.gateway, j.volume)
	if otherGateways > 0 {
		response.Float("Elsewhere", otherGateways)
	}
	if n.config.Meter != nil {
		if metered := n.config.Meter.lastPeriod(j.volume); metered > 0 {
			response.Float("Metered", metered)
		}
	}
	response.Int("Load-Queue", int64(len(n.queue)))
	n.record(j, &pb.Seen{What: pb.Seen_REPLIED, Brick: n.config.Name, Command: j.request, Dispatch: j.attempt, How: verb,
		Connection: j.connection.number, Volume: j.volume, Units: j.units})
	delete(j.connection.unanswered, j.id)
	if j.connection.sender == nil {
		n.respondHTTP(j, verb, otherGateways)
		return
	}
	_, _ = j.connection.sender.Send(response.End(body).Buffer)
}

// unreportedUnits returns the units served to other gateways for a volume since the last report to this gateway. If it is 0 or
// negative, there is nothing to report. The caller holds mu.
func (n *Node) unreportedUnits(gateway, volume string) float64 {
	reported := n.reportedUnits[gateway]
	if !n.config.ReportOtherGateways || reported == nil {
		return 0
	}
	served := n.servedUnits[volume] - n.servedUnitsByGateway[gateway][volume]
	unreported := served - reported[volume]
	reported[volume] = served
	return unreported
}

// answerHealthCheck answers a health check with the length of the queue. The caller holds mu.
func (n *Node) answerHealthCheck(j *job) {
	var o lineproto.Builder
	_, _ = j.connection.sender.Send(o.Start(lineproto.VerbHealthCheckPassed, j.id).Int("Load-Queue", int64(len(n.queue))).End(nil).Buffer)
}
