package statemachine

import "time"

const (
	// minSnapshotRetry is the shortest time after which a waiting gateway is looked at again.
	minSnapshotRetry = 5 * time.Millisecond
	// snapshotTimeSmoothing: a new sample moves the smoothed time of a snapshot by one part in so many of the difference.
	snapshotTimeSmoothing = 8
)

// AdmitSnapshot decides whether a snapshot may be sent to a gateway now. At most Config.MaxSnapshotsInFlight are sent at the same
// time over all gateways, so that a hundred gateways that return together don't slow each other down; those that wait are admitted
// in the order of their first call. If not admitted, retryAfter is how long the snapshots ahead are expected to take.
func (s *State) AdmitSnapshot(name string, now time.Duration) (admitted bool, retryAfter time.Duration) {
	g := s.gateways[name]
	if g == nil {
		return false, s.config.Lease
	}
	if g.snapshotInFlight {
		return true, 0
	}
	inFlight, ahead := s.snapshotQueue(g)
	if inFlight+ahead < s.config.MaxSnapshotsInFlight {
		g.snapshotInFlight, g.snapshotStartedAt, g.queuePosition = true, now, 0
		return true, 0
	}
	if g.queuePosition == 0 {
		s.lastQueuePosition++
		g.queuePosition = s.lastQueuePosition
	}
	rounds := (ahead + s.config.MaxSnapshotsInFlight) / s.config.MaxSnapshotsInFlight
	return false, max(time.Duration(rounds)*s.meanSnapshotTime, minSnapshotRetry)
}

// snapshotQueue counts the snapshots in flight and the connected gateways that wait ahead of g.
func (s *State) snapshotQueue(g *gateway) (inFlight, ahead int) {
	for _, other := range s.gateways {
		if other.snapshotInFlight {
			inFlight++
		}
		waits := other != g && other.connected && other.queuePosition > 0
		if waits && (g.queuePosition == 0 || other.queuePosition < g.queuePosition) {
			ahead++
		}
	}
	return inFlight, ahead
}

// SnapshotSent ends the sending that AdmitSnapshot admitted.
func (s *State) SnapshotSent(name string, now time.Duration) {
	g := s.gateways[name]
	if g == nil || !g.snapshotInFlight {
		return
	}
	g.snapshotInFlight = false
	s.meanSnapshotTime += (now - g.snapshotStartedAt - s.meanSnapshotTime) / snapshotTimeSmoothing
}
