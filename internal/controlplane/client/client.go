package client

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/controlplane/store"
	"weirhaven/internal/pb"
	"weirhaven/internal/tlskeys"
)

const (
	defaultMinBackoff     = 200 * time.Millisecond
	defaultMaxBackoff     = 5 * time.Second
	defaultSilenceTimeout = 10 * time.Second
)

// Sink receives the records of the snapshot. The Follower calls it from its goroutines, mostly with its mutex held. A call must not
// block and must not call the Follower.
type Sink interface {
	// Changed passes the current version of records; removed records have Gone set. If fresh, a connected controller confirms the
	// records; otherwise they were read from disk.
	Changed(records []*pb.Item, fresh bool)
}

// Config is the configuration of a Follower.
type Config struct {
	Controllers   *pb.Planner // addresses and keys of the controllers
	Gateway       string      // name of this gateway
	ClientAddress string      // address at which clients reach the gateway
	SnapshotFile  string      // file that stores the snapshot
	Log           *slog.Logger
	Sink          Sink
	Seed          int64 // seed of the jitter between reconnects
	// SilenceTimeout is how long a controller may send nothing before its stream is closed; 0: 10 s.
	SilenceTimeout time.Duration
	// MinBackoff and MaxBackoff limit the mean delay between attempts to connect to a controller. If MinBackoff is 0, the limits
	// are 200 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
}

// Follower follows the controllers for one gateway. Its methods are safe for concurrent use.
type Follower struct {
	config       Config
	credentials  credentials.TransportCredentials
	drainLearned chan struct{} // signals that a learned drain must be reported

	mu        sync.Mutex // guards the fields below
	snapshot  *snapshot.Snapshot
	store     *store.Store // nil: Run has ended
	followed  *stream      // stream of the followed controller; nil: none
	needsFull bool         // the next hello requests the full snapshot
	rng       *rand.Rand
}

// Open reads the stored snapshot and passes it to the sink as not fresh. It fails if the keys are not usable, if the settings do
// not allow a connection without keys, or if another program has the file open (store.ErrLocked). The caller must then call Run,
// which closes the file.
func Open(config Config) (*Follower, error) {
	if config.MinBackoff == 0 {
		config.MinBackoff, config.MaxBackoff = defaultMinBackoff, defaultMaxBackoff
	}
	if config.SilenceTimeout == 0 {
		config.SilenceTimeout = defaultSilenceTimeout
	}
	security, err := clientCredentials(config.Controllers, config.Log)
	if err != nil {
		return nil, err
	}
	opened, saved, setAside, err := store.Open(config.SnapshotFile)
	if err != nil {
		return nil, err
	}
	if setAside != "" {
		config.Log.Warn("stored snapshot unreadable and set aside, the controller will send it again", "aside", setAside)
	}
	if len(saved.Records) > 0 {
		config.Sink.Changed(saved.Records, false)
	}
	config.Log.Info("stored snapshot loaded", "term", saved.Term.GetTerm(), "generation", saved.Generation, "records", len(saved.Records))
	return &Follower{
		config:       config,
		credentials:  security,
		drainLearned: make(chan struct{}, 1),
		snapshot:     snapshot.New(saved.Term, saved.Generation, saved.Records, protocol.MaxRecords),
		store:        opened,
		rng:          rand.New(rand.NewSource(config.Seed)),
	}, nil
}

// clientCredentials returns credentials for mutual TLS with the configured keys. Without keys the settings must contain plain:
// true, and only loopback addresses are allowed.
func clientCredentials(settings *pb.Planner, log *slog.Logger) (credentials.TransportCredentials, error) {
	if settings.Keys != nil {
		keys, err := tlskeys.Load(settings.Keys, log)
		if err != nil {
			return nil, err
		}
		serverName := settings.ServerName
		if serverName == "" {
			serverName = tlskeys.DefaultServerName
		}
		return credentials.NewTLS(keys.Client(serverName)), nil
	}
	for _, address := range settings.Address {
		if !settings.Plain || !tlskeys.Loopback(address) {
			return nil, fmt.Errorf("settings planner contain no keys; a connection without keys needs plain: true and a loopback address (address: %s)", address)
		}
	}
	return insecure.NewCredentials(), nil
}

// Run follows the controllers until ctx ends, and then closes the file. It may be called only once.
func (f *Follower) Run(ctx context.Context) {
	var connections sync.WaitGroup
	for _, address := range f.config.Controllers.Address {
		connections.Go(func() { f.maintainStream(ctx, address) })
	}
	connections.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.store.Close() // every persisted change is already on disk
	f.store = nil
}

// Get returns the record with the given key, or nil if there is none. The record must not be modified.
func (f *Follower) Get(key snapshot.Key) *pb.Item {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot.Get(key)
}

// State returns the address of the followed controller ("" if there is none), the highest term seen, the generation held and all
// records in order.
func (f *Follower) State() (address string, term *pb.Tenure, generation uint64, records []*pb.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.followed != nil {
		address = f.followed.address
	}
	return address, f.snapshot.Term(), f.snapshot.Generation(), f.snapshot.Records()
}

// persist stores records with the current term and generation. The caller holds f.mu.
func (f *Follower) persist(records []*pb.Item) error {
	return f.store.Persist(f.snapshot.Term(), f.snapshot.Generation(), records)
}

// connect returns a connection, which is established on its first use.
func (f *Follower) connect(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(f.credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(protocol.MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepaliveParameters))
}
