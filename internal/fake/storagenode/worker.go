package storagenode

import (
	"time"

	"weirhaven/internal/settings"
)

// wakeWorker wakes the worker if it waits for work.
func (n *Node) wakeWorker() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// speed returns how many seconds of work the worker does in a second at a time. The caller holds mu.
func (n *Node) speed(now time.Time) float64 {
	speed, c := n.config.Speed*n.capacityShare(now), n.conditions
	if c.Slowdown > 1 {
		speed /= c.Slowdown
	}
	since := now.Sub(n.conditionsSince)
	if c.NeighborShare > 0 && (c.NeighborPeriod <= 0 || since/c.NeighborPeriod%2 == 0) {
		speed *= 1 - c.NeighborShare
	}
	if c.Pause > 0 && since%max(c.PauseInterval, c.Pause+1) < c.Pause {
		speed = 0
	}
	return speed
}

// runWorker executes jobs one after the other until the node stops.
func (n *Node) runWorker() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n.ctx.Err() == nil {
		j := n.nextJob()
		if j == nil {
			select {
			case <-n.wake:
			case <-n.ctx.Done():
			}
			continue
		}
		if !n.execute(j, timer) {
			continue
		}
		n.mu.Lock()
		n.current = nil
		if j.healthCheck {
			n.answerHealthCheck(j)
		} else if j.connection != nil {
			n.finish(j)
		}
		n.mu.Unlock()
	}
}

// nextJob takes the worker's next job: deferred work if it is due, otherwise the head of the queue; nil if there is none.
func (n *Node) nextJob() *job {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.deferredWork > 0 && now.After(n.flushAt) {
		j := &job{work: n.deferredWork}
		n.deferredWork, n.flushAt = 0, now.Add(settings.Duration(n.config.Kind.FlushEvery, time.Hour))
		n.current = j
		return j
	}
	for len(n.queue) > 0 {
		j := n.queue[0]
		n.queue = n.queue[1:]
		if n.config.Kind.DropsExpired && !j.healthCheck && now.After(j.deadline) {
			continue
		}
		if n.config.WriteClasses[j.class] {
			n.deferredWork += j.work * n.config.Kind.Deferred
			j.work *= 1 - n.config.Kind.Deferred
		}
		n.current = j
		return j
	}
	return nil
}

// execute works on a job. It returns false if the job was canceled or the node stopped before the job was complete.
func (n *Node) execute(j *job, timer *time.Timer) bool {
	last := time.Now()
	for remaining := j.work; remaining > 0; {
		n.mu.Lock()
		speed, canceled := n.speed(last), j.canceled
		n.mu.Unlock()
		if canceled {
			return false
		}
		slice := workSlice
		if speed > 0 {
			slice = min(slice, time.Duration(remaining/speed*float64(time.Second)))
		}
		timer.Reset(slice)
		select {
		case <-timer.C:
		case <-n.ctx.Done():
			return false
		}
		now := time.Now()
		remaining -= speed * now.Sub(last).Seconds()
		last = now
	}
	return true
}

// workSlice is the longest time for which the worker works before it updates its speed.
const workSlice = 5 * time.Millisecond
