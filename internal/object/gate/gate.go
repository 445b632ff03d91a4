// Package gate stores and reads objects through the engine. It divides an object into extents of fixed size and stores each extent on one
// endpoint. A write makes one engine request for each extent; a read makes one for each extent that overlaps the requested range.
//
// The scheduler alone decides which endpoint a request goes to, and whether the request is retried, queued or rejected; the package
// retries nothing. A transfer holds at most Config.MaxInFlight extents in memory. Every extent is recorded in the index before its bytes
// are sent, and stays unreferenced until the caller commits it; see package index for the invariants.
//
// The package does not depend on HTTP.
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

// Engine runs requests. Implementations must be safe for concurrent use.
type Engine interface {
	// Submit submits a request. It returns false if the engine does not accept the request. Otherwise the engine calls the request's
	// Respond once, unless ClientDisconnected is called first.
	Submit(request *engine.Request) bool
	// ClientDisconnected cancels a request whose client no longer waits for the response.
	ClientDisconnected(request *engine.Request)
	// Shards returns the shards that may store new data of a volume; ok is false if the volume does not exist.
	Shards(volume string) (shards []uint32, ok bool)
}

// Config configures a Gate. All fields are required.
type Config struct {
	Engine            Engine
	Index             *index.Index
	ReadClass         string        // request class of reads
	WriteClass        string        // request class of writes and removals
	ExtentBytes       int64         // size of an extent; the last extent of an object may be smaller
	UnitBytes         int64         // size of one unit of work
	MaxInFlight       int           // maximum number of extents of one transfer in flight
	UploadIdleTimeout time.Duration // time without a new part after which an upload is aborted
	IntentTimeout     time.Duration // age at which an extent that was never referenced is removed
	Log               *slog.Logger
	Now               func() time.Duration // clock that advances in real time even if the wall clock is stepped
}

// Gate stores and reads objects. It is safe for concurrent use.
type Gate struct {
	config Config

	mu    sync.Mutex
	reads map[*activeRead]bool
	// writing holds the ids of the extents that this process is writing, or has written and not released yet. Sweep does not remove them.
	writing map[string]bool
}

// activeRead is a read in progress. It may use extents that are abandoned after its start.
type activeRead struct{ since time.Duration }

// New returns a Gate.
func New(config Config) *Gate {
	return &Gate{config: config, reads: map[*activeRead]bool{}, writing: map[string]bool{}}
}

// Now returns the time on the clock of Config.Now, which the ages of extents are measured with.
func (g *Gate) Now() time.Duration { return g.config.Now() }

// Index returns the index of Config.
func (g *Gate) Index() *index.Index { return g.config.Index }

// HasVolume reports whether the volume exists.
func (g *Gate) HasVolume(name string) bool {
	_, ok := g.config.Engine.Shards(name)
	return ok
}

// submit runs one request and returns the body of its response. It cancels the request if ctx ends first.
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

// extentObject returns the name under which an endpoint stores an extent.
func extentObject(id string) string { return "x/" + id }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum of an extent's content, CRC-32C, as stored in the index.
func checksum(content []byte) uint32 { return crc32.Checksum(content, castagnoli) }
