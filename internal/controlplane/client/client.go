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

// Sink receives what the snapshot says. It is called from the Follower's goroutines, mostly with its mutex held: a call must not block
// and must not call the Follower.
type Sink interface {
	// Changed gives records as they are now, removed ones with Gone. fresh: a connected controller holds them to be true; else they
	// were read from disk.
	Changed(records []*pb.Item, fresh bool)
}

// Config is a Follower's.
type Config struct {
	Controllers   *pb.Planner // addresses and keys of the controllers
	Gateway       string      // name of the gateway that follows
	ClientAddress string      // where clients reach the gateway
	SnapshotFile  string      // that keeps the snapshot
	Log           *slog.Logger
	Sink          Sink
	Seed          int64 // of the spread of reconnects
	// SilenceTimeout is how long a controller may send nothing before its stream is ended; 0: 10 s.
	SilenceTimeout time.Duration
	// MinBackoff and MaxBackoff bound the mean wait between attempts to reach a controller. MinBackoff 0: 200 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
}

// Follower follows the controllers for one gateway. Its methods may be called from any goroutine.
type Follower struct {
	config       Config
	credentials  credentials.TransportCredentials
	drainLearned chan struct{} // a drain was learned and is to be reported

	mu        sync.Mutex // guards all below
	snapshot  *snapshot.Snapshot
	store     *store.Store // nil: Run has ended
	followed  *stream      // nil: no controller is followed
	needsFull bool         // the next hello asks for the full snapshot
	rng       *rand.Rand
}

// Open reads the snapshot kept and gives it to the sink, not fresh. It fails where the keys can't be used, the settings allow no
// connection without keys, or the file is open in another program (store.ErrLocked). After it, Run must be called, which closes the
// file.
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

// clientCredentials are mutual TLS by the keys of the settings; without keys the settings must say so, and only loopback is allowed.
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
			return nil, fmt.Errorf("settings planner give no keys; without them say plain: true and use loopback (address: %s)", address)
		}
	}
	return insecure.NewCredentials(), nil
}

// Run follows the controllers until ctx ends, and closes the file. It may be called once.
func (f *Follower) Run(ctx context.Context) {
	var connections sync.WaitGroup
	for _, address := range f.config.Controllers.Address {
		connections.Go(func() { f.stayConnected(ctx, address) })
	}
	connections.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.store.Close() // each change is on disk when it was persisted
	f.store = nil
}

// Get is the record of a key; nil: none. Not to be modified.
func (f *Follower) Get(key snapshot.Key) *pb.Item {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot.Get(key)
}

// State is what is followed and held: the address of the controller, empty if none is followed, the highest term seen, the generation
// and all records in order.
func (f *Follower) State() (address string, term *pb.Tenure, generation uint64, records []*pb.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.followed != nil {
		address = f.followed.address
	}
	return address, f.snapshot.Term(), f.snapshot.Generation(), f.snapshot.Records()
}

// persist stores records with the term and generation held. f.mu is held.
func (f *Follower) persist(records []*pb.Item) error {
	return f.store.Persist(f.snapshot.Term(), f.snapshot.Generation(), records)
}

// connect makes a connection, which dials when it is first used.
func (f *Follower) connect(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(f.credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(protocol.MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepaliveParameters))
}
