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

// WriteResult describes the data stored by Write. The zero value describes no data.
type WriteResult struct {
	Extents []*pb.ExtentRecord // extents in the order of the stream
	Size    int64              // bytes
	ETag    string             // MD5 of the content, in hex

	gate      *Gate
	attempted []*pb.ExtentRecord // all extents that were created for this write
}

// Release allows Sweep to remove the write's extents if they are unreferenced. Call it once the extents are referenced or abandoned.
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

// Write stores a stream of at most maxSize bytes as extents of a volume. The extents are unreferenced: the caller must commit or abandon
// them and then call Release. If Write returns an error, which is a *decide.Fault, it has abandoned and released all extents itself.
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

// Abandon marks extents as abandoned. If that fails, they stay intended and are removed after IntentTimeout.
func (g *Gate) Abandon(volume string, extents []*pb.ExtentRecord) {
	if err := g.config.Index.Abandon(volume, extents, g.config.Now()); err != nil {
		g.config.Log.Warn("abandoning extents failed, they are removed by age", "err", err)
	}
}

// writeExtent writes one extent to its endpoint. The id of the extent is unique and also serves as the idempotency key, so a request that
// runs late or twice can't overwrite the bytes of another write.
func (g *Gate) writeExtent(ctx context.Context, volume string, extent *pb.ExtentRecord, content []byte) error {
	g.mu.Lock()
	g.writing[extent.Id] = true
	g.mu.Unlock()
	if err := g.config.Index.RecordIntent(volume, []*pb.ExtentRecord{extent}, g.config.Now()); err != nil {
		g.config.Log.Warn("recording an extent failed, it is not written", "err", err)
		return decide.ServiceUnavailable.With("The index takes no writes.")
	}
	body := make([]byte, len(content)) // a copy: the engine may still use the body after the caller has reused content
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

// NewUploadID returns a unique id for a multipart upload.
func NewUploadID() string { return newID() }

func newID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never returns an error; the program crashes instead
	return hex.EncodeToString(id[:])
}

// clientFault returns the fault to send for an error of reading the client's stream.
func clientFault(err error) error {
	var fault *decide.Fault
	if errors.As(err, &fault) {
		return fault
	}
	return decide.IncompleteBody.With("(%v)", err)
}
