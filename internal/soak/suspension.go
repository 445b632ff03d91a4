package soak

import "time"

// timeRange is a period of the run, in time since its beginning.
type timeRange struct{ from, to time.Duration }

// recordSuspension records that the process was suspended by a signal, if for longer than maxProcessStall. On a busy machine a
// suspension may take longer than intended.
func (p *process) recordSuspension(from, to time.Duration) {
	if to-from <= maxProcessStall {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspensions = append(p.suspensions, timeRange{from, to})
}

// excessSuspension returns by how much the longest suspension within a period exceeds maxProcessStall, or 0.
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
