// Package gate stores objects through the engine. The bytes of an object lie in extents of fixed size, each on one endpoint; a write is
// one engine request for each extent, a read of a range is one for each extent that it touches.
//
// To which endpoint a request goes, whether it is retried, waits or is rejected, is the scheduler's decision alone; the package repeats
// none. The memory of a transfer is bounded by Config.MaxInFlight extents. Every extent is recorded in the index before its bytes are
// sent, and stays unreferenced until its caller commits it: see package index for the invariants.
//
// The package knows nothing of HTTP.
package gate

import (
	"context"
	"hash/crc32"
	"log/slog"
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/index"
)

// Engine runs requests. Its methods are called by many goroutines at once.
type Engine interface {
	// Submit passes a request to the engine. It returns false if the engine accepts none; else the request's Respond is called once,
	// unless ClientDisconnected came first.
	Submit(request *engine.Request) bool
	// ClientDisconnected ends a request whose client does not wait any more.
	ClientDisconnected(request *engine.Request)
	// Shards returns the shards where new data of a volume may lie; ok is false if there is no such volume.
	Shards(volume string) (shards []uint32, ok bool)
}

// Config configures a Gate. All fields are required.
type Config struct {
	Engine            Engine
	Index             *index.Index
	ReadClass         string        // request class of reads
	WriteClass        string        // request class of writes and removals
	ExtentBytes       int64         // size of an extent; the last of an object may be smaller
	UnitBytes         int64         // bytes that count as one unit of work
	MaxInFlight       int           // extents of one transfer
	UploadIdleTimeout time.Duration // after which an upload that got no part is aborted
	IntentTimeout     time.Duration // after which an extent that was never referenced is removed
	Log               *slog.Logger
	Now               func() time.Duration // moves with real time, also when the wall clock is stepped
}

// Gate stores and reads objects. Its methods may be called by many goroutines at once.
type Gate struct {
	config Config

	mu    sync.Mutex
	reads map[*activeRead]bool
	// writing are the extents that this process writes, or has written and not released yet. Sweep leaves them alone.
	writing map[string]bool
}

// activeRead is a read that may use extents which are abandoned meanwhile.
type activeRead struct{ since time.Duration }

// New returns a Gate.
func New(config Config) *Gate {
	return &Gate{config: config, reads: map[*activeRead]bool{}, writing: map[string]bool{}}
}

// Now returns the time by which extents age, on the clock of Config.Now.
func (g *Gate) Now() time.Duration { return g.config.Now() }

// Index returns the index of Config.
func (g *Gate) Index() *index.Index { return g.config.Index }

// HasVolume reports whether there is a volume of the name.
func (g *Gate) HasVolume(name string) bool {
	_, ok := g.config.Engine.Shards(name)
	return ok
}

// submit runs one request and returns the body of its response. If ctx ends first, the request ends with it.
func (g *Gate) submit(ctx context.Context, request *engine.Request) ([]byte, *decide.Fault) {
	responses := make(chan engine.Response, 1)
	request.Respond = func(response engine.Response) { responses <- response }
	if !g.config.Engine.Submit(request) {
		return nil, decide.ResponseFault(decide.Rejected, 0)
	}
	select {
	case response := <-responses:
		if fault := decide.ResponseFault(outcome(response), response.RetryAfter); fault != nil {
			return nil, fault
		}
		return response.Body, nil
	case <-ctx.Done():
		g.config.Engine.ClientDisconnected(request)
		return nil, decide.InternalError.With("The client went away.")
	}
}

func outcome(response engine.Response) decide.Outcome {
	switch {
	case response.Result == engine.Served:
		return decide.Served
	case response.Result == engine.Rejected:
		return decide.Rejected
	case response.MayHaveRun:
		return decide.MaybeRun
	}
	return decide.NotRun
}

// extentObject is the name of an extent at its endpoint.
func extentObject(id string) string { return "x/" + id }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum is the checksum of an extent that the index keeps: CRC-32C.
func checksum(content []byte) uint32 { return crc32.Checksum(content, castagnoli) }
