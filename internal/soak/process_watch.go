package soak

import (
	"time"

	"weirhaven/internal/fake/agent"
)

// onNotified records that the agent wrote an entry to the process.
func (p *process) onNotified(entry agent.Server) {
	p.known.Lock()
	p.known.notified[entry.ID] = entryVersion(entry)
	p.known.Unlock()
	p.run.recordEntry(p, entry)
}

// entryVersion returns a number that differs between any two states of an endpoint.
func entryVersion(s agent.Server) int64 {
	phases := map[string]int64{agent.InService: 1, agent.Terminating: 2, agent.Terminated: 3}
	return s.UpSince*4 + phases[s.Phase]
}

// expectNotified records the process as notified of an entry after notifyWithin, unless it was notified before.
func (p *process) expectNotified(entry agent.Server) {
	p.run.mu.Lock()
	down := p.run.discoveryDown
	p.run.mu.Unlock()
	if down { // stopDiscovery calls expectNotified again when discovery is back
		return
	}
	time.AfterFunc(notifyWithin, func() {
		p.known.Lock()
		notified := p.known.notified[entry.ID] == entryVersion(entry)
		p.known.Unlock()
		if !notified && p.serving.Load() {
			p.run.recordEntry(p, entry)
		}
	})
}
