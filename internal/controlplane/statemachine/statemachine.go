package statemachine

import (
	"fmt"
	"log/slog"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// initialSnapshotTime is the estimate of how long sending a snapshot takes, until one has been sent.
const initialSnapshotTime = 20 * time.Millisecond

// Persister stores the controller's state durably.
type Persister interface {
	// Persist stores the term, the generation and the changed records in one transaction. After an error all or none of it may
	// be on disk.
	Persist(term *pb.Tenure, generation uint64, changed []*pb.Item) error
}

// Config bounds a State. All fields must be set.
type Config struct {
	MinGateways          int           // gateways counted for a majority; more count once they have connected
	Lease                time.Duration // how long an acknowledged heartbeat counts, from its sending
	RecoveryTimeout      time.Duration // from the start: then the connected gateways' reports are enough
	MaxSnapshotsInFlight int           // snapshots sent at the same time, over all gateways
	MaxTombstones        int           // removed records remembered, so that their removal can be sent as a change
	MaxRecords           int           // tombstones included
}

// State is what one life of a controller knows and has decided.
type State struct {
	config    Config
	persister Persister
	log       *slog.Logger
	startedAt time.Duration
	phase     Phase

	term       *pb.Tenure
	generation uint64 // of the latest write, or the highest that was reported

	records           map[snapshot.Key]*pb.Item // as persisted
	desired           map[snapshot.Key]*pb.Item // to be written while the lease is held
	uncertain         map[snapshot.Key]bool     // a write failed: on disk as before it, or as after it
	tombstones        []snapshot.Key            // in order of removal
	changesKnownSince uint64                    // changes since an earlier generation can't be listed: the full snapshot is sent
	digest            uint64                    // of records, while digestValid
	digestValid       bool

	gateways  map[string]*gateway
	recovered bool // enough gateways have reported what they hold

	lastHeartbeat   uint64
	heartbeatSentAt map[uint64]time.Duration
	majoritySince   time.Duration // since when a majority renews the lease without a break; 0: none does
	supersededAt    time.Duration // when a gateway last followed a higher term; 0: never

	lastQueuePosition  int
	meanSnapshotTime   time.Duration  // smoothed time to send one snapshot
	placementsPerShard map[uint32]int // by shard
}

// Persisted is what the disk holds at a start. The zero value: nothing was persisted, or the disk is new.
type Persisted struct {
	Term       *pb.Tenure
	Generation uint64
	Records    []*pb.Item
}

// New starts a life of the controller called name. It takes and persists a new term before it returns; an error means that the term
// could not be persisted. life is drawn at random at each start: it tells apart two starts without a disk, and two controllers given
// one name.
func New(name string, life uint64, persisted Persisted, config Config, persister Persister, log *slog.Logger, now time.Duration) (*State, error) {
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
	s.term = &pb.Tenure{Term: persisted.Term.GetTerm() + 1, Planner: fmt.Sprintf("%s#%016x", name, life)}
	if err := persister.Persist(s.term, s.generation, nil); err != nil {
		return nil, fmt.Errorf("persist term %d: %w", s.term.Term, err)
	}
	return s, nil
}

// Term is the term of this life. It rises when a gateway knows of a higher one that nobody holds any more. Not to be modified.
func (s *State) Term() *pb.Tenure { return s.term }

// Generation is that of the latest write, or the highest that a gateway reported.
func (s *State) Generation() uint64 { return s.generation }

// Phase is the phase as of the latest call that took the time.
func (s *State) Phase() Phase { return s.phase }

// Records are all persisted records in order, tombstones included. Not to be modified.
func (s *State) Records() []*pb.Item { return snapshot.Sorted(s.records) }
