package soak

import "time"

// timeRange is a stretch of the run.
type timeRange struct{ from, to time.Duration }

// recordSuspension records that the process was stopped by a signal. The machine may have stopped it for longer than was meant.
func (p *process) recordSuspension(from, to time.Duration) {
	if to-from <= maxProcessStall {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspensions = append(p.suspensions, timeRange{from, to})
}

// excessSuspension is by how much the longest suspension within a stretch of the run exceeds maxHold.
func (p *process) excessSuspension(from, to time.Duration) (excess time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, suspension := range p.suspensions {
		if suspension.from < to && suspension.to > from {
			excess = max(excess, suspension.to-suspension.from-maxProcessStall)
		}
	}
	return excess
}
