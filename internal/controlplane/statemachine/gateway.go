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

// maxGateways bounds the memory that connecting under ever new names can take.
const maxGateways = 1 << 16

var (
	// ErrTooManyGateways is returned where one more gateway than is supported connects.
	ErrTooManyGateways = errors.New("too many gateways")
	// ErrUnknownGateway is returned where a gateway that never connected reports.
	ErrUnknownGateway = errors.New("unknown gateway")
)

// gateway is what is known of one. It is kept after its stream ends: it still counts for the majority.
type gateway struct {
	name, address          string
	connected              bool
	reported               bool // what it holds is merged here
	acknowledgedTerm       *pb.Tenure
	acknowledgedGeneration uint64
	leaseRenewedAt         time.Duration // sending time of the latest heartbeat that it acknowledged; 0: none
	lastHeardAt            time.Duration
	snapshotInFlight       bool
	snapshotStartedAt      time.Duration
	queuePosition          int // among those that wait for a snapshot; 0: it doesn't wait
}

// Connect takes the hello of a gateway's new stream. reportNeeded: the gateway must report what it holds. After an error the stream
// is to be ended with that text; the gateway comes back.
func (s *State) Connect(hello *pb.EdgeHello, now time.Duration) (reportNeeded bool, err error) {
	g, err := s.findOrAddGateway(hello.Name)
	if err != nil {
		return false, err
	}
	g.address, g.connected, g.lastHeardAt, g.snapshotInFlight, g.queuePosition = hello.Address, true, now, false, 0
	if snapshot.CompareTerms(hello.Tenure, s.term) > 0 {
		if hello.Following {
			s.supersededAt = now
			s.updatePhase(now)
			return false, fmt.Errorf("%w: gateway %s follows %q of term %d, this controller has term %d", ErrSuperseded, hello.Name,
				hello.Tenure.GetPlanner(), hello.Tenure.GetTerm(), s.term.Term)
		}
		// This disk was replaced by an older copy, or that controller is gone: its terms are not used again.
		if err := s.raiseTerm(hello.Tenure.GetTerm() + 1); err != nil {
			return false, err
		}
	}
	if hello.Generation > s.generation { // written by another controller, or lost with a disk
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

// mayHoldUnknownRecords tells whether what a gateway holds differs from the records of its generation here.
func (s *State) mayHoldUnknownRecords(hello *pb.EdgeHello) bool {
	return hello.Whole ||
		hello.Generation == s.generation && hello.Digest != s.Digest() ||
		hello.Tenure.GetTerm() > 0 && !s.sameLineage(hello.Tenure)
}

// Disconnected takes the end of a gateway's stream.
func (s *State) Disconnected(name string, now time.Duration) {
	if g := s.gateways[name]; g != nil {
		g.connected, g.snapshotInFlight, g.queuePosition = false, false, 0
		s.updatePhase(now)
	}
}

// GatewayStatus describes all gateways that ever connected in this life, by name.
func (s *State) GatewayStatus(now time.Duration) (all []*pb.EdgeStatus) {
	for _, g := range s.gateways {
		all = append(all, &pb.EdgeStatus{
			Name:       g.name,
			Address:    g.address,
			Connected:  g.connected,
			Generation: g.acknowledgedGeneration,
			Heard:      int64(now - g.lastHeardAt),
			Term:       g.acknowledgedTerm.GetTerm(),
		})
	}
	slices.SortFunc(all, func(a, b *pb.EdgeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
