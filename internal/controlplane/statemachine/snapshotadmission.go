package statemachine

import "time"

const (
	// minSnapshotRetry is the minimum retry delay of a gateway waiting for admission.
	minSnapshotRetry = 5 * time.Millisecond
	// snapshotTimeSmoothing is the divisor of the exponential smoothing: a new sample has a weight of 1/snapshotTimeSmoothing.
	snapshotTimeSmoothing = 8
)

// AdmitSnapshot decides whether a snapshot may be sent to a gateway now. At most Config.MaxSnapshotsInFlight snapshots are sent
// concurrently over all gateways, so that a hundred gateways that reconnect together don't slow each other down. Waiting gateways
// are admitted in the order of their first call. If a gateway is not admitted, retryAfter is the expected duration of the snapshots
// ahead.
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

// snapshotQueue returns the number of snapshots in flight and the number of connected gateways waiting ahead of g.
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

// SnapshotSent ends a transfer that AdmitSnapshot admitted.
func (s *State) SnapshotSent(name string, now time.Duration) {
	g := s.gateways[name]
	if g == nil || !g.snapshotInFlight {
		return
	}
	g.snapshotInFlight = false
	s.meanSnapshotTime += (now - g.snapshotStartedAt - s.meanSnapshotTime) / snapshotTimeSmoothing
}
