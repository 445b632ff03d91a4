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

// BeginRead protects all extents that are referenced when it is called from being removed until done is called. Call it before looking up
// the object.
//
// It prevents reads of removed extents: if an object were replaced while a slow client reads it, and the sweep removed the old extents,
// the response would be cut short or fail with a checksum mismatch. The sweep removes only extents that were abandoned before the oldest
// read began; reads that began later can't find those extents, because no object refers to them.
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

// oldestRead returns the start of the oldest active read, or limit if that is earlier or there is no active read.
func (g *Gate) oldestRead(limit time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for read := range g.reads {
		limit = min(limit, read.since)
	}
	return limit
}

// Read writes a range of an object to out, in order, reading up to MaxInFlight extents ahead. It calls started, which may be nil, once:
// after the first extent has been read and its checksum verified, and before anything is written. After an error without a call of
// started, the caller can still send an error response; after an error that follows it, the output is incomplete. The error is a
// *decide.Fault or wraps the error of out.
func (g *Gate) Read(ctx context.Context, object *pb.ObjectRecord, r decide.Range, out io.Writer, started func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ahead := &readAhead{gate: g, object: object, ranges: decide.ExtentRanges(object.Extent, r)}
	defer ahead.workers.Wait()
	defer cancel() // runs before the wait and cancels the requests still in flight
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
			return fmt.Errorf("write to the client: %w", err)
		}
		ahead.startNext(ctx) // after the write, so that memory stays bounded if the client reads slowly
	}
	return nil
}

// readAhead reads the extents of a range, each in its own goroutine. Only the goroutine that runs Read calls its methods.
type readAhead struct {
	gate    *Gate
	object  *pb.ObjectRecord
	ranges  []decide.ExtentRange
	results []chan readResult // result of each element of ranges; nil: not started
	next    int               // index in ranges of the next extent to read
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
	go func() { // returns when the request ends or ctx is done
		defer a.workers.Done()
		content, err := a.gate.readExtent(ctx, a.object, extentRange)
		result <- readResult{content, err}
	}()
}

// readExtent reads a complete extent, verifies its checksum and returns the requested bytes of it.
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
