package statemachine

import (
	"fmt"
	"log/slog"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// initialSnapshotTime is the estimated duration of sending a snapshot until the first one has been sent.
const initialSnapshotTime = 20 * time.Millisecond

// Persister stores the controller's state durably.
type Persister interface {
	// Persist stores the term, the generation and the changed records in one transaction. After an error, the disk holds either
	// the whole transaction or nothing of it.
	Persist(term *pb.Tenure, generation uint64, changed []*pb.Item) error
}

// Config contains the timeouts and limits of a State. All fields must be set.
type Config struct {
	MinGateways          int           // minimum number of gateways of which a majority is needed; additional gateways count once connected
	Lease                time.Duration // lease duration, from the sending time of an acknowledged heartbeat
	RecoveryTimeout      time.Duration // time since the start after which the reports of the connected gateways suffice
	MaxSnapshotsInFlight int           // maximum number of snapshots sent concurrently, over all gateways
	MaxTombstones        int           // maximum number of tombstones, which let a removal be sent as a change
	MaxRecords           int           // maximum number of records, including tombstones
}

// State is the state of a controller from its start until its process ends.
type State struct {
	config    Config
	persister Persister
	log       *slog.Logger
	startedAt time.Duration
	phase     Phase

	term       *pb.Tenure
	generation uint64 // generation of the latest write, or the highest reported one

	records           map[snapshot.Key]*pb.Item // persisted records
	desired           map[snapshot.Key]*pb.Item // records to write while the lease is held
	uncertain         map[snapshot.Key]bool     // records whose last write failed; the disk holds the old or the new version
	tombstones        []snapshot.Key            // keys of removed records, in order of removal
	changesKnownSince uint64                    // oldest generation since which changes are known; older gateways need the full snapshot
	digest            uint64                    // digest of records, if digestValid
	digestValid       bool

	gateways  map[string]*gateway
	recovered bool // enough gateways have reported their records

	lastHeartbeat   uint64
	heartbeatSentAt map[uint64]time.Duration
	majoritySince   time.Duration // start of the current uninterrupted majority of lease renewals; 0: no majority
	supersededAt    time.Duration // time at which a gateway last followed a higher term; 0: never

	lastQueuePosition  int
	meanSnapshotTime   time.Duration  // smoothed time to send one snapshot
	placementsPerShard map[uint32]int // number of placements by shard
}

// Persisted is the state read from disk at the start. The zero value means that nothing has been persisted.
type Persisted struct {
	Term       *pb.Tenure
	Generation uint64
	Records    []*pb.Item
}

// New returns the State of a starting controller with the given name. It takes and persists a new term before it returns; an error
// means that the term could not be persisted. The caller draws incarnation at random at each start, which distinguishes two starts
// without a disk and two controllers with the same name.
func New(name string, incarnation uint64, persisted Persisted, config Config, persister Persister, log *slog.Logger, now time.Duration) (*State, error) {
	s := &State{
		config:             config,
		persister:          persister,
		log:                log,
		startedAt:          now,
		generation:         persisted.Generation,
		records:            map[snapshot.Key]*pb.Item{},
		desired:            map[snapshot.Key]*pb.Item{},
		uncertain:          map[snapshot.Key]bool{},
		changesKnownSince:  persisted.Generation,
		gateways:           map[string]*gateway{},
		heartbeatSentAt:    map[uint64]time.Duration{},
		meanSnapshotTime:   initialSnapshotTime,
		placementsPerShard: map[uint32]int{},
	}
	for _, record := range persisted.Records {
		s.put(record)
	}
	s.term = &pb.Tenure{Term: persisted.Term.GetTerm() + 1, Planner: fmt.Sprintf("%s#%016x", name, incarnation)}
	if err := persister.Persist(s.term, s.generation, nil); err != nil {
		return nil, fmt.Errorf("persist term %d: %w", s.term.Term, err)
	}
	return s, nil
}

// Term returns the controller's current term. The term is raised when a gateway has seen a higher one but follows no other
// controller. The result must not be modified.
func (s *State) Term() *pb.Tenure { return s.term }

// Generation returns the generation of the latest write, or the highest one that a gateway reported.
func (s *State) Generation() uint64 { return s.generation }

// Phase returns the phase at the time passed to the latest call.
func (s *State) Phase() Phase { return s.phase }

// Records returns all persisted records in order, including tombstones. The records must not be modified.
func (s *State) Records() []*pb.Item { return snapshot.Sorted(s.records) }
