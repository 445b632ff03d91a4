package soak

import "time"

// interval is a stretch of the run.
type interval struct{ from, to time.Duration }

// recordSuspension records that the process was stopped by a signal. The machine may have stopped it for longer than was meant.
func (p *process) recordSuspension(from, to time.Duration) {
	if to-from <= maxHold {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspensions = append(p.suspensions, interval{from, to})
}

// excessSuspension is by how much the longest suspension within a stretch of the run exceeds maxHold.
func (p *process) excessSuspension(from, to time.Duration) (excess time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, suspension := range p.suspensions {
		if suspension.from < to && suspension.to > from {
			excess = max(excess, suspension.to-suspension.from-maxHold)
		}
	}
	return excess
}
