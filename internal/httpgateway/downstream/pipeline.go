package downstream

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// pipelineBuffer buffers input between a connection and its request reader. It holds the pipelined requests that arrive while
// an earlier request is in progress. It records when their bytes arrived, since their timeouts start then. Only the
// connection's goroutine uses it.
type pipelineBuffer struct {
	source     io.Reader
	now        func() time.Duration // the loop's clock
	buffered   []byte               // bytes read ahead
	consumed   int64                // number of bytes returned by Read so far
	arrivals   []arrival            // ranges that contain the buffered and the last consumed bytes, oldest first
	err        error                // permanent error of the connection
	truncated  bool                 // true: the buffer limit was exceeded, and input after buffered was discarded
	sharedFree *atomic.Int64        // bytes left in the buffer space that all connections share
}

// arrival is a range of bytes that arrived at the same time.
type arrival struct {
	from int64 // offset of the first byte in the connection's input
	at   time.Duration
}

const (
	maxBuffered   = 256 << 10 // buffer limit of one connection in bytes
	ownBuffered   = 16 << 10  // part of maxBuffered that doesn't count against the shared space, in bytes
	readAheadSize = 4 << 10   // size of one read in bytes
	maxArrivals   = 64        // limit on recorded ranges; the last one is overwritten beyond it
)

var errPipelineLimit = errors.New("pipelined requests exceed the buffer limit")

// Read returns buffered bytes if there are any, else it reads from the connection.
func (b *pipelineBuffer) Read(p []byte) (int, error) {
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.consumed += int64(n)
		b.account(-n)
		if b.buffered = b.buffered[n:]; len(b.buffered) == 0 {
			b.buffered = nil
		}
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.truncated {
		return 0, errPipelineLimit
	}
	n, err := b.source.Read(p)
	b.received(b.consumed, n, err)
	b.consumed += int64(n)
	return n, err
}

// readAhead waits for bytes and buffers them. It discards bytes beyond the buffer limit, and all bytes after them. If they
// stayed unread in the socket, the disconnect of a client that sends much would go undetected.
func (b *pipelineBuffer) readAhead() error {
	if b.err != nil {
		return b.err
	}
	var piece [readAheadSize]byte
	n, err := b.source.Read(piece[:])
	b.received(b.consumed+int64(len(b.buffered)), n, err)
	if b.truncated = b.truncated || n > 0 && !b.fits(n); !b.truncated {
		b.account(n)
		b.buffered = append(b.buffered, piece[:n]...)
	}
	return err
}

// fits reports whether n more bytes may be buffered.
func (b *pipelineBuffer) fits(n int) bool {
	n += len(b.buffered)
	return n <= ownBuffered || n <= maxBuffered && b.sharedFree.Load() >= readAheadSize
}

// account charges n more buffered bytes to the shared space, as far as they exceed ownBuffered; a negative n releases bytes.
func (b *pipelineBuffer) account(n int) {
	before, after := max(len(b.buffered)-ownBuffered, 0), max(len(b.buffered)+n-ownBuffered, 0)
	b.sharedFree.Add(int64(before - after))
}

// release returns the connection's part of the shared space when the connection is closed.
func (b *pipelineBuffer) release() { b.account(-len(b.buffered)) }

// received records the arrival time of n bytes, the first of which has the offset from. It keeps err as the permanent error
// unless err is an exceeded deadline.
func (b *pipelineBuffer) received(from int64, n int, err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		b.err = err
	}
	switch {
	case n <= 0:
	case len(b.arrivals) < maxArrivals:
		b.arrivals = append(b.arrivals, arrival{from, b.now()})
	default:
		b.arrivals[maxArrivals-1] = arrival{from, b.now()}
	}
}

// arrivalTime returns the arrival time, on the loop's clock, of the first byte that Read has returned and that is not parsed
// yet. unparsed is the number of such bytes.
func (b *pipelineBuffer) arrivalTime(unparsed int) time.Duration {
	first := b.consumed - int64(unparsed)
	for len(b.arrivals) > 1 && b.arrivals[1].from <= first {
		b.arrivals = b.arrivals[1:]
	}
	if len(b.arrivals) == 0 {
		return b.now()
	}
	return b.arrivals[0].at
}

// peek returns the first n buffered bytes, or fewer.
func (b *pipelineBuffer) peek(n int) []byte { return b.buffered[:min(n, len(b.buffered))] }
