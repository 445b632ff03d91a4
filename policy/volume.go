package policy

import (
	"math"
	"time"
)

// Volume is one volume with its service plan, as this gateway knows it. Its zero value is ready for RequestReceived, which binds
// it to the plan of its first request; the gateway creates one per volume.
type Volume struct {
	plan     *ServicePlan
	gateways float64 // number of gateways that serve the volume
	queues   []*volumeQueue

	demand      float64 // demand through all gateways, in units per second, by Little's law
	reservation float64 // this gateway's part of the reservation, in units per second
	limit       tokenBucket

	reservationTag time.Duration // mClock's reservation tag: when the next request under the reservation is due

	served          float64 // units served since the last demand period
	servedRate      float64 // smoothed rate of units served, per second
	reportedRate    float64 // units per second through all gateways, from reported utilization
	hasReportedRate bool
}

// volumeQueue holds the requests of one volume for one shard.
type volumeQueue struct {
	volume  *Volume
	shard   int
	waiting []*Request

	weightTag float64 // mClock's weight tag, in units divided by weight

	outstandingUnits float64 // units waiting and in flight
	unitSeconds      float64 // integral of outstandingUnits over time since the last demand period
	countedAt        time.Duration

	demand          float64 // demand through this gateway, in units per second
	demandElsewhere float64 // estimated demand through the other gateways, in units per second
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

// ForgetVolume deletes the state of a volume and reports true, unless the volume has requests, or its rate limit has not recovered yet:
// a new bucket would let it exceed the limit. The gateway drops the volume if it was deleted.
func (s *Scheduler) ForgetVolume(v *Volume) bool {
	if v.plan == nil {
		return true
	}
	if v.plan.Limit > 0 && v.limit.refill(s.runtime.Now()) < v.plan.InitialBurst/v.gateways {
		return false
	}
	for _, queue := range v.queues {
		if len(queue.waiting) > 0 || queue.outstandingUnits > 0 {
			return false
		}
	}
	for _, queue := range v.queues {
		s.removeQueue(queue)
	}
	s.volumes = without(s.volumes, v)
	v.plan, v.queues = nil, nil
	return true
}

// removeQueue removes a queue from its shard, and the shard if nothing is left of it: clients name shards, too.
func (s *Scheduler) removeQueue(queue *volumeQueue) {
	at := s.shards[queue.shard]
	at.queues = without(at.queues, queue)
	if len(at.queues) == 0 && len(at.endpoints) == 0 {
		delete(s.shards, queue.shard)
	}
}

// SetVolumeGateways sets the number of gateways that serve a volume. The volume's limit is divided anew, in such a way that all
// gateways together stay within it during the change.
func (s *Scheduler) SetVolumeGateways(v *Volume, gateways int) {
	n := math.Max(1, float64(gateways))
	if v.plan == nil || n == v.gateways {
		return
	}
	v.limit.rescale(v.plan, v.gateways, n, s.runtime.Now())
	v.gateways = n
}

// queueOf returns a volume's queue for a shard, and creates it if it does not exist.
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

// countOutstanding adds units to the outstanding ones and updates their integral over time, so that waiting here counts as demand.
func (q *volumeQueue) countOutstanding(now time.Duration, units float64) {
	q.unitSeconds += q.outstandingUnits * (now - q.countedAt).Seconds()
	q.countedAt = now
	q.outstandingUnits += units
}
