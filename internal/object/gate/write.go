package gate

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"

	"weirhaven/internal/engine"
	"weirhaven/internal/object/decide"
	"weirhaven/internal/pb"
)

// WriteResult is what Write stored. The zero value stands for nothing.
type WriteResult struct {
	Extents []*pb.ExtentRecord // in order
	Size    int64              // bytes
	ETag    string             // MD5, in hex

	gate      *Gate
	attempted []*pb.ExtentRecord // all that were recorded for this write
}

// Release lets Sweep remove those extents that nothing refers to. Call it once the extents are referenced or abandoned.
func (w *WriteResult) Release() {
	if w.gate == nil {
		return
	}
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	for _, extent := range w.attempted {
		delete(w.gate.writing, extent.Id)
	}
}

// Write stores a stream of at most maxSize bytes as extents of a volume. The extents are unreferenced: the caller commits or abandons them
// and then calls Release. After an error, which is a *decide.Fault, Write has abandoned and released everything itself.
func (g *Gate) Write(ctx context.Context, volume string, in io.Reader, maxSize int64) (WriteResult, error) {
	shards, ok := g.config.Engine.Shards(volume)
	if !ok {
		fault := decide.NoSuchBucket
		return WriteResult{}, &fault
	}
	if len(shards) == 0 {
		return WriteResult{}, decide.ServiceUnavailable.With("No brick serves the volume.")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newStreamWriter(ctx, cancel, g, volume, shards)
	w.copyFrom(in, maxSize)
	w.workers.Wait()
	return w.finish()
}

// Abandon marks extents as abandoned. Where the index can't record that, they stay intended, and are removed after IntentTimeout.
func (g *Gate) Abandon(volume string, extents []*pb.ExtentRecord) {
	if err := g.config.Index.Abandon(volume, extents, g.config.Now()); err != nil {
		g.config.Log.Warn("abandoning extents failed, they are removed by age", "err", err)
	}
}

// writeExtent writes one extent to its endpoint. Its id is new and never used again, and it is the idempotency key, too: a request that runs
// late, or twice, can't touch the bytes of another write.
func (g *Gate) writeExtent(ctx context.Context, volume string, extent *pb.ExtentRecord, content []byte) error {
	g.mu.Lock()
	g.writing[extent.Id] = true
	g.mu.Unlock()
	if err := g.config.Index.RecordIntent(volume, []*pb.ExtentRecord{extent}, g.config.Now()); err != nil {
		g.config.Log.Warn("recording an extent failed, it is not written", "err", err)
		return decide.ServiceUnavailable.With("The index takes no writes.")
	}
	body := make([]byte, len(content)) // the engine may use it for longer than the caller keeps content
	copy(body, content)
	request := &engine.Request{Volume: volume, Class: g.config.WriteClass, Object: extentObject(extent.Id), Tag: extent.Id,
		Shard: int(extent.Cell), Units: decide.Units(extent.Size, g.config.UnitBytes), Body: body}
	if _, fault := g.submit(ctx, request); fault != nil {
		return fault
	}
	return nil
}

func newExtent(shards []uint32, content []byte) *pb.ExtentRecord {
	id := newID()
	return &pb.ExtentRecord{Id: id, Cell: decide.RankShards(shards, id)[0], Size: int64(len(content)), Sum: checksum(content)}
}

// NewUploadID returns an id for a multipart upload, which no other has.
func NewUploadID() string { return newID() }

func newID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails: the program ends instead
	return hex.EncodeToString(id[:])
}

// clientFault is the fault for an error of the client's stream.
func clientFault(err error) error {
	var fault *decide.Fault
	if errors.As(err, &fault) {
		return fault
	}
	return decide.IncompleteBody.With("(%v)", err)
}
