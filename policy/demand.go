package policy

import (
	"math"
	"time"
)

// Demand: by Little's law, a volume's demand at a shard is the mean number of units outstanding over a demand period, including
// those waiting in this gateway, divided by the congestion threshold, in units per second. The demand through other gateways comes
// from load reports; before the first report this gateway assumes that the others use the plan's nominal rate.

const (
	// servedRateGain is the weight of the last demand period in the smoothed served rate.
	servedRateGain = 0.5
	// idleDemand is the minimum demand of a queue when the demand through other gateways is divided among a volume's queues, in
	// units per second.
	idleDemand = 0.01
)

// measureDemand updates the demand of a volume and divides its reservation between this gateway and the others by their demand.
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

// estimateElsewhere estimates the demand of a queue through other gateways; here is the demand through this gateway over all queues
// of the volume.
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

// applyLoadReport updates the use of a volume through other gateways from a load report. A volume with few requests gets reports at
// long intervals, so the rate is averaged over the time since the last one.
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
