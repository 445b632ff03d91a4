package statemachine

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// maxGateways limits the memory used by gateways that connect under many different names.
const maxGateways = 1 << 16

var (
	// ErrTooManyGateways is returned if a new gateway connects and the maximum number of gateways is reached.
	ErrTooManyGateways = errors.New("too many gateways")
	// ErrUnknownGateway is returned for a report of a gateway that has never connected.
	ErrUnknownGateway = errors.New("unknown gateway")
)

// gateway is the controller's state of one gateway. It is kept after the gateway's stream has ended, since the gateway still counts
// for the majority.
type gateway struct {
	name, address          string
	connected              bool
	reported               bool // a complete report of the gateway's records has been merged
	acknowledgedTerm       *pb.Tenure
	acknowledgedGeneration uint64
	leaseRenewedAt         time.Duration // sending time of the latest acknowledged heartbeat; 0: none
	lastMessageAt          time.Duration
	snapshotInFlight       bool
	snapshotStartedAt      time.Duration
	queuePosition          int // position among the gateways waiting for a snapshot; 0: not waiting
}

// Connect handles the hello message of a gateway's new stream. If reportNeeded, the caller must request a report of the gateway's
// records. After an error, the caller ends the stream with the error's text and the gateway reconnects.
func (s *State) Connect(hello *pb.EdgeHello, now time.Duration) (reportNeeded bool, err error) {
	g, err := s.findOrAddGateway(hello.Name)
	if err != nil {
		return false, err
	}
	g.address, g.connected, g.lastMessageAt, g.snapshotInFlight, g.queuePosition = hello.Address, true, now, false, 0
	if snapshot.CompareTerms(hello.Tenure, s.term) > 0 {
		if hello.Following {
			s.supersededAt = now
			s.updatePhase(now)
			return false, fmt.Errorf("%w: gateway %s follows %q of term %d, this controller has term %d", ErrSuperseded, hello.Name,
				hello.Tenure.GetPlanner(), hello.Tenure.GetTerm(), s.term.Term)
		}
		// Either this controller's disk was replaced by an older copy, or the controller of the higher term no longer serves the
		// gateway. The new term is above both, so no term is used twice.
		if err := s.raiseTerm(hello.Tenure.GetTerm() + 1); err != nil {
			return false, err
		}
	}
	if hello.Generation > s.generation { // written by another controller, or by this one before it lost its disk
		s.generation, s.changesKnownSince = hello.Generation, hello.Generation
		s.log.Info("gateway holds a higher generation", "gateway", hello.Name, "generation", hello.Generation)
		g.reported = false
	}
	if s.mayHoldUnknownRecords(hello) {
		g.reported = false
	}
	reportNeeded = !g.reported
	s.updatePhase(now)
	return reportNeeded, nil
}

func (s *State) findOrAddGateway(name string) (*gateway, error) {
	if g := s.gateways[name]; g != nil {
		return g, nil
	}
	if len(s.gateways) >= maxGateways {
		return nil, fmt.Errorf("%w: at most %d", ErrTooManyGateways, maxGateways)
	}
	g := &gateway{name: name, acknowledgedTerm: &pb.Tenure{}}
	s.gateways[name] = g
	return g, nil
}

// mayHoldUnknownRecords reports whether a gateway may hold records that the controller does not have.
func (s *State) mayHoldUnknownRecords(hello *pb.EdgeHello) bool {
	return hello.Whole ||
		hello.Generation == s.generation && hello.Digest != s.Digest() ||
		hello.Tenure.GetTerm() > 0 && !s.sameLineage(hello.Tenure)
}

// Disconnected handles the end of a gateway's stream.
func (s *State) Disconnected(name string, now time.Duration) {
	if g := s.gateways[name]; g != nil {
		g.connected, g.snapshotInFlight, g.queuePosition = false, false, 0
		s.updatePhase(now)
	}
}

// GatewayStatus returns the status of all gateways that have connected since the controller started, sorted by name.
func (s *State) GatewayStatus(now time.Duration) (all []*pb.EdgeStatus) {
	for _, g := range s.gateways {
		all = append(all, &pb.EdgeStatus{
			Name:       g.name,
			Address:    g.address,
			Connected:  g.connected,
			Generation: g.acknowledgedGeneration,
			Heard:      int64(now - g.lastMessageAt),
			Term:       g.acknowledgedTerm.GetTerm(),
		})
	}
	slices.SortFunc(all, func(a, b *pb.EdgeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
