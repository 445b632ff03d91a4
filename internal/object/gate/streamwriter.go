package gate

import (
	"bytes"
	"context"
	"crypto/md5"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"sync"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/pb"
)

// headBytes is how much of an extent is read before a whole buffer is allocated for it: a client that sends slowly holds no more memory.
const headBytes = 16 << 10

// streamWriter cuts a stream into extents and writes up to MaxInFlight of them at once. One goroutine reads the stream; each extent has a
// goroutine of its own, all of which copyFrom's caller waits for.
type streamWriter struct {
	gate   *Gate
	volume string
	shards []uint32 // where the extents may lie; not empty
	ctx    context.Context
	cancel context.CancelFunc // ends the requests in flight

	// Used by the reading goroutine alone.
	head   []byte
	digest hash.Hash // MD5 of the stream
	size   int64     // bytes read

	slots   chan struct{} // holds one for each extent in flight
	buffers sync.Pool     // of *[]byte with ExtentBytes
	workers sync.WaitGroup

	mu        sync.Mutex
	extents   []*pb.ExtentRecord // in the order of the stream; nil: not written
	attempted []*pb.ExtentRecord // all, in the order in which they ended
	firstErr  error
}

func newStreamWriter(ctx context.Context, cancel context.CancelFunc, g *Gate, volume string, shards []uint32) *streamWriter {
	extentBytes := g.config.ExtentBytes
	return &streamWriter{gate: g, volume: volume, shards: shards, ctx: ctx, cancel: cancel,
		head:    make([]byte, min(extentBytes, headBytes)),
		digest:  md5.New(),
		slots:   make(chan struct{}, g.config.MaxInFlight),
		buffers: sync.Pool{New: func() any { buffer := make([]byte, extentBytes); return &buffer }},
	}
}

// fail ends the write; the first error counts.
func (w *streamWriter) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstErr == nil {
		w.firstErr = err
		w.cancel()
	}
}

// copyFrom reads the stream and starts the write of each extent, until the stream ends or the write fails.
func (w *streamWriter) copyFrom(in io.Reader, maxSize int64) {
	for w.acquireSlot() {
		next, err := w.readNext(in)
		if len(next.content) > 0 {
			w.start(next)
		} else {
			w.releaseSlot()
		}
		if w.size > maxSize {
			w.fail(decide.EntityTooLarge.With("At most %d.", maxSize))
		}
		if err != nil {
			if cause := streamError(in, err, len(next.content)); cause != nil {
				w.fail(cause)
			}
			return
		}
	}
}

// acquireSlot waits until another extent may be in flight; false: the write has ended.
func (w *streamWriter) acquireSlot() bool {
	if w.ctx.Err() != nil {
		return false
	}
	select {
	case w.slots <- struct{}{}:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (w *streamWriter) releaseSlot() { <-w.slots }

// chunk is the content of one extent.
type chunk struct {
	content []byte
	buffer  *[]byte // into which content points, to be returned to the pool; nil: none
}

// readNext reads the next extent's content. Its error is that of io.ReadFull: io.EOF or io.ErrUnexpectedEOF where the stream ended.
func (w *streamWriter) readNext(in io.Reader) (chunk, error) {
	n, err := io.ReadFull(in, w.head)
	if err != nil || len(w.head) == int(w.gate.config.ExtentBytes) {
		return chunk{content: bytes.Clone(w.head[:n])}, err
	}
	buffer := w.buffers.Get().(*[]byte)
	copy(*buffer, w.head)
	more, err := io.ReadFull(in, (*buffer)[n:])
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // the stream ended right behind the head, which is the last extent then
	}
	return chunk{content: (*buffer)[:n+more], buffer: buffer}, err
}

// streamError returns nil if err means the end of the stream, else the error that the client gets. n is how much was read before err.
//
// It guards against a stream that broke off: a reader may report that as io.ErrUnexpectedEOF, by which io.ReadFull also reports the end of
// the stream within an extent. The object would be acknowledged with its end missing. The next read tells them apart: after the end it
// returns io.EOF, after a failure its error again.
func streamError(in io.Reader, err error, n int) error {
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case !errors.Is(err, io.ErrUnexpectedEOF) || n == 0:
		return clientFault(err)
	}
	if _, err := in.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return clientFault(err)
	}
	return nil
}

// start writes an extent in a goroutine of its own, which ends with its request or with ctx. A slot must have been acquired for it.
func (w *streamWriter) start(next chunk) {
	w.digest.Write(next.content)
	w.size += int64(len(next.content))
	w.mu.Lock()
	position := len(w.extents)
	w.extents = append(w.extents, nil)
	w.mu.Unlock()
	w.workers.Add(1)
	go func() {
		defer w.workers.Done()
		defer w.releaseSlot()
		w.write(position, next)
	}()
}

// write writes one extent and notes the result.
func (w *streamWriter) write(position int, next chunk) {
	extent := newExtent(w.shards, next.content)
	err := w.gate.writeExtent(w.ctx, w.volume, extent, next.content)
	if next.buffer != nil {
		w.buffers.Put(next.buffer)
	}
	w.mu.Lock()
	w.attempted = append(w.attempted, extent)
	if err == nil {
		w.extents[position] = extent
	}
	w.mu.Unlock()
	if err != nil {
		w.fail(err)
	}
}

// finish returns the result once all goroutines have ended. After a failure it abandons and releases all extents.
func (w *streamWriter) finish() (WriteResult, error) {
	result := WriteResult{Extents: w.extents, Size: w.size, gate: w.gate, attempted: w.attempted}
	if w.firstErr == nil && w.ctx.Err() != nil {
		w.firstErr = decide.IncompleteBody.With("The client went away.")
	}
	if w.firstErr != nil {
		w.gate.Abandon(w.volume, w.attempted)
		result.Release()
		return result, w.firstErr
	}
	result.ETag = hex.EncodeToString(w.digest.Sum(nil))
	return result, nil
}
