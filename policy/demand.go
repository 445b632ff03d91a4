package policy

import (
	"math"
	"time"
)

// Demand: by Little's law a volume's demand at a shard is the mean number of units outstanding over a period, waiting here
// included, over the congestion threshold: units a second. What other gateways demand is taken from load reports; before the
// first one they are taken to use the plan's nominal rate.

const (
	// servedRateGain is how fast the served rate follows what was served in a period.
	servedRateGain = 0.5
	// idleDemand is a queue's least demand where demand elsewhere is spread over a volume's queues.
	idleDemand = 0.01
)

// measureDemand sets a volume's demand, and its part of the reservation by the demand of this gateway against the others'.
func (s *Scheduler) measureDemand(v *Volume, now time.Duration) {
	v.servedRate += servedRateGain * (v.served/demandPeriod.Seconds() - v.servedRate)
	v.served = 0
	here, elsewhere := 0.0, 0.0
	for _, queue := range v.queues {
		queue.countOutstanding(now, 0)
		queue.demand = queue.unitSeconds / demandPeriod.Seconds() / s.congestionThreshold.Seconds()
		queue.unitSeconds = 0
		here += queue.demand
	}
	for _, queue := range v.queues {
		queue.estimateElsewhere(here)
		elsewhere += queue.demandElsewhere
	}
	v.demand = here + elsewhere
	claims := []claim{{maximum: here, weight: 1}, {maximum: elsewhere, weight: v.gateways - 1}}
	v.reservation = divvy(v.plan.Reservation, claims)[0].granted
}

// estimateElsewhere sets the demand of the other gateways for a queue; here is that of this gateway over all the volume's queues.
func (q *volumeQueue) estimateElsewhere(here float64) {
	v := q.volume
	queues := float64(len(v.queues))
	switch {
	case v.gateways == 1:
		q.demandElsewhere = 0
	case v.hasReportedRate:
		q.demandElsewhere = math.Max(0, v.reportedRate-v.servedRate) * (q.demand + idleDemand) / (here + idleDemand*queues)
	case !q.hasReport:
		q.demandElsewhere = v.plan.NominalRate * (v.gateways - 1) / v.gateways / queues
	}
}

// applyLoadReport takes what an answer says of the volume's use through other gateways. With few requests of a volume a report
// covers a long time: the rate is over the time since the last one.
func (s *Scheduler) applyLoadReport(r *Request, load LoadReport, now time.Duration) {
	v, queue := r.Volume, r.queue
	if load.Utilization > 0 {
		v.reportedRate = (load.Utilization - 1) / 100 * v.plan.NominalRate
		v.hasReportedRate = true
	}
	since := (now - queue.reportedAt).Seconds()
	queue.demandElsewhere += (load.ServedElsewhere - queue.demandElsewhere*since) / (since + demandPeriod.Seconds())
	queue.reportedAt = now
	queue.hasReport = true
}
