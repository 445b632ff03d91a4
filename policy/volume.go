package policy

import (
	"math"
	"time"
)

// Volume is one volume with its service plan, as this gateway knows it. Its zero value is ready for RequestReceived, which binds
// it to the plan of its first request; the gateway makes one per volume.
type Volume struct {
	plan     *ServicePlan
	gateways float64 // through which it is used
	queues   []*volumeQueue

	demand      float64 // through all gateways, requests outstanding by Little's law
	reservation float64 // this gateway's part, units a second
	limit       tokenBucket

	reservationTag time.Duration // mClock's: when the next request under the reservation is due

	served          float64 // units since the last demand period
	servedRate      float64 // units a second, smoothed
	reportedRate    float64 // through all gateways, from utilization
	hasReportedRate bool
}

// volumeQueue is the requests of one volume for one shard.
type volumeQueue struct {
	volume  *Volume
	shard   int
	waiting []*Request

	weightTag float64 // mClock's, in units over weight

	outstandingUnits float64 // waiting and in flight
	unitSeconds      float64 // the same over time, since the last demand period
	countedAt        time.Duration

	demand          float64 // of this gateway
	demandElsewhere float64 // of the other gateways, as far as known
	reportedAt      time.Duration
	hasReport       bool
}

// bindPlan binds a volume to the plan of its first request.
func (s *Scheduler) bindPlan(v *Volume, plan *ServicePlan, gateways int, now time.Duration) {
	if v.plan != nil {
		return
	}
	v.plan = plan
	v.gateways = math.Max(1, float64(gateways))
	v.reservation = plan.Reservation / v.gateways
	v.limit = newTokenBucket(plan, v.gateways, now)
	s.volumes = append(s.volumes, v)
}

// SetVolumeGateways says through how many gateways a volume is used from now on. Its limit is split anew so that all gateways
// together stay within it meanwhile.
func (s *Scheduler) SetVolumeGateways(v *Volume, gateways int) {
	n := math.Max(1, float64(gateways))
	if v.plan == nil || n == v.gateways {
		return
	}
	v.limit.rescale(v.plan, v.gateways, n, s.runtime.Now())
	v.gateways = n
}

// queueOf finds a volume's queue for a shard, or makes it.
func (s *Scheduler) queueOf(v *Volume, shardNumber int) *volumeQueue {
	for _, queue := range v.queues {
		if queue.shard == shardNumber {
			return queue
		}
	}
	now := s.runtime.Now()
	queue := &volumeQueue{volume: v, shard: shardNumber, countedAt: now, reportedAt: now}
	v.queues = append(v.queues, queue)
	at := s.shardOf(shardNumber)
	at.queues = append(at.queues, queue)
	return queue
}

// count adds units to what is outstanding and keeps its integral over time, so that time spent waiting here counts as demand.
func (q *volumeQueue) countOutstanding(now time.Duration, units float64) {
	q.unitSeconds += q.outstandingUnits * (now - q.countedAt).Seconds()
	q.countedAt = now
	q.outstandingUnits += units
}
