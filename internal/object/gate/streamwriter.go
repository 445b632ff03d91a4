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

// headBytes is the number of bytes of an extent that are read before a buffer for the complete extent is allocated. It bounds the memory
// used for a client that sends slowly.
const headBytes = 16 << 10

// streamWriter divides a stream into extents and writes up to MaxInFlight of them at once. One goroutine reads the stream; each extent is
// written by its own goroutine. The caller of copyFrom waits for these goroutines.
type streamWriter struct {
	gate   *Gate
	volume string
	shards []uint32 // shards that may store the extents; not empty
	ctx    context.Context
	cancel context.CancelFunc // cancels the requests in flight

	// Used only by the goroutine that reads the stream.
	head   []byte
	digest hash.Hash // MD5 of the stream
	size   int64     // bytes read

	slots   chan struct{} // one element for each extent in flight
	buffers sync.Pool     // *[]byte of ExtentBytes each
	workers sync.WaitGroup

	mu        sync.Mutex
	extents   []*pb.ExtentRecord // extents in the order of the stream; nil: not written
	attempted []*pb.ExtentRecord // extents whose write has ended, successfully or not, in that order
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

// fail records an error and cancels the write. Only the first error is kept.
func (w *streamWriter) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstErr == nil {
		w.firstErr = err
		w.cancel()
	}
}

// copyFrom reads the stream and starts writing each extent, until the stream ends or the write fails.
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

// acquireSlot waits until another extent may be in flight. It returns false if the write was cancelled.
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
	buffer  *[]byte // pooled buffer that content is a slice of; nil: not pooled
}

// readNext reads the content of the next extent. It returns errors like io.ReadFull: io.EOF or io.ErrUnexpectedEOF at the end of the
// stream.
func (w *streamWriter) readNext(in io.Reader) (chunk, error) {
	n, err := io.ReadFull(in, w.head)
	if err != nil || len(w.head) == int(w.gate.config.ExtentBytes) {
		return chunk{content: bytes.Clone(w.head[:n])}, err
	}
	buffer := w.buffers.Get().(*[]byte)
	copy(*buffer, w.head)
	more, err := io.ReadFull(in, (*buffer)[n:])
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // the stream ended exactly after the head, which is the complete last extent
	}
	return chunk{content: (*buffer)[:n+more], buffer: buffer}, err
}

// streamError returns nil if err stands for the end of the stream, otherwise the error to send to the client. n is the number of bytes
// read before err.
//
// It prevents acknowledging a truncated object: a reader may report a broken connection as io.ErrUnexpectedEOF, which io.ReadFull also
// returns if the stream ends within an extent. Another read distinguishes the two: after the end of the stream it returns io.EOF, after a
// failure it returns the reader's error again.
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

// start starts a goroutine that writes an extent; it returns when the request ends or ctx is done. The caller must have acquired a slot,
// which the goroutine releases.
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

// write writes one extent and records the result. position is the index of the extent in the stream.
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

// finish returns the result of the write. All goroutines must have ended. After a failure it abandons and releases all extents.
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
