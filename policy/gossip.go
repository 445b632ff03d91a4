package policy

// Gossip between gateways. A message is one letter for its kind, then the endpoint's name. Losing a message does little harm: an
// ejection is renewed while it lasts and expires by itself.
const (
	gossipEjected   = 's'
	gossipRecovered = 'f'
)

func (s *Scheduler) sendGossip(kind byte, e *Endpoint) {
	s.runtime.SendGossip(append([]byte{kind}, e.Name...))
}

// GossipReceived applies another gateway's finding about an endpoint. If two gateways check the same endpoint, the one with the
// lower ordinal continues. Messages of unknown kinds or about unknown endpoints are ignored.
func (s *Scheduler) GossipReceived(sender int, message []byte) {
	if len(message) == 0 {
		return
	}
	kind, name := message[0], string(message[1:])
	now := s.runtime.Now()
	for _, e := range s.endpoints {
		if e.Name != name {
			continue
		}
		switch kind {
		case gossipRecovered:
			s.endEjection(e, now)
		case gossipEjected:
			s.eject(e, now)
			e.checkedByThisGateway = e.checkedByThisGateway && sender > s.settings.Ordinal
		}
	}
}
