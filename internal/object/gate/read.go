package gate

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/object/decide"
	"weirhaven/internal/pb"
)

// BeginRead keeps the extents of all objects as they stand from being removed until done is called. Call it before the object is looked up.
//
// It guards against reads of bytes that are gone: an object that is replaced while a slow client reads it loses its extents to the sweep,
// which shows as a response that breaks off, or as a checksum mismatch. It holds since the sweep removes only extents that were
// abandoned before the oldest read began, and a read that began later finds no name that refers to them.
func (g *Gate) BeginRead() (done func()) {
	read := &activeRead{g.config.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads[read] = true
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.reads, read)
	}
}

// oldestRead returns when the oldest active read began; limit if there is none, or none that old.
func (g *Gate) oldestRead(limit time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for read := range g.reads {
		limit = min(limit, read.since)
	}
	return limit
}

// Read writes a range of an object to out, in order, with up to MaxInFlight extents read ahead. started is called once, when the first
// extent has arrived intact and before anything is written; may be nil. An error before that leaves the response free for the fault;
// one after it means that the stream is cut short. The error is a *decide.Fault, or that of out.
func (g *Gate) Read(ctx context.Context, object *pb.ObjectRecord, r decide.Range, out io.Writer, started func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ahead := &readAhead{gate: g, object: object, ranges: decide.ExtentRanges(object.Extent, r)}
	defer ahead.workers.Wait()
	defer cancel() // before the wait: what is still in flight is of no use then
	ahead.results = make([]chan readResult, len(ahead.ranges))
	for range g.config.MaxInFlight {
		ahead.startNext(ctx)
	}
	if len(ahead.ranges) == 0 && started != nil {
		started()
	}
	for i := range ahead.ranges {
		result := <-ahead.results[i]
		if result.err != nil {
			return result.err
		}
		if i == 0 && started != nil {
			started()
		}
		if _, err := out.Write(result.content); err != nil {
			return fmt.Errorf("the client went away: %w", err)
		}
		ahead.startNext(ctx) // only now: memory stays bounded for a client that reads slowly
	}
	return nil
}

// readAhead reads the extents of a range, each by a goroutine of its own. Only the goroutine of Read calls its methods.
type readAhead struct {
	gate    *Gate
	object  *pb.ObjectRecord
	ranges  []decide.ExtentRange
	results []chan readResult // by the index of ranges; nil: not started
	next    int               // of ranges, to be started
	workers sync.WaitGroup
}

type readResult struct {
	content []byte
	err     error
}

// startNext starts the read of the next extent, if there is one.
func (a *readAhead) startNext(ctx context.Context) {
	if a.next >= len(a.ranges) {
		return
	}
	extentRange, result := a.ranges[a.next], make(chan readResult, 1)
	a.results[a.next] = result
	a.next++
	a.workers.Add(1)
	go func() { // ends with its request, or with ctx
		defer a.workers.Done()
		content, err := a.gate.readExtent(ctx, a.object, extentRange)
		result <- readResult{content, err}
	}()
}

// readExtent reads an extent whole, checks its checksum and returns the stretch that is asked for.
func (g *Gate) readExtent(ctx context.Context, object *pb.ObjectRecord, r decide.ExtentRange) ([]byte, error) {
	extent := r.Extent
	content, fault := g.submit(ctx, &engine.Request{Volume: object.Volume, Class: g.config.ReadClass, Object: extentObject(extent.Id),
		Shard: int(extent.Cell), Units: decide.Units(extent.Size, g.config.UnitBytes)})
	if fault != nil {
		return nil, fault
	}
	if int64(len(content)) != extent.Size || checksum(content) != extent.Sum {
		g.config.Log.Error("checksum mismatch of an extent", "volume", object.Volume, "object", object.Name, "extent", extent.Id,
			"shard", extent.Cell, "bytes", len(content), "want_bytes", extent.Size)
		fault := decide.ChecksumMismatch
		return nil, &fault
	}
	return content[r.From : r.From+r.Size], nil
}
