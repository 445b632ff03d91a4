package policy

// Gossip between gateways: one letter and the endpoint's name. A lost message costs little: an ejection is renewed while it lasts
// and ends by itself.
const (
	gossipEjected   = 's'
	gossipRecovered = 'f'
)

func (s *Scheduler) sendGossip(kind byte, e *Endpoint) {
	s.runtime.SendGossip(append([]byte{kind}, e.Name...))
}

// GossipReceived takes what another gateway found at an endpoint. Of two that check one endpoint the one with the lower number
// goes on. A message of another form is ignored.
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
