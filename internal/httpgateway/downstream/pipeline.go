package downstream

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// pipelineBuffer lies between a connection and the reader of its requests. Pipelined requests come in while an earlier one
// waits for its response: they are kept here, with the times at which their bytes arrived, since their timeouts count from
// then. It is used by the connection's goroutine only.
type pipelineBuffer struct {
	source     io.Reader
	now        func() time.Duration // the loop's clock
	buffered   []byte               // read ahead
	consumed   int64                // bytes handed on so far
	arrivals   []arrival            // of the stretches that hold buffered or lately consumed bytes, oldest first
	err        error                // of the connection, for good
	truncated  bool                 // more came than may be kept: the connection ends where buffered ends
	sharedFree *atomic.Int64        // bytes that all connections may still keep beyond their own
}

// arrival is a stretch of bytes that came at one time.
type arrival struct {
	from int64 // its first byte, counted from the connection's first
	at   time.Duration
}

const (
	maxBuffered   = 256 << 10 // bytes of one connection
	ownBuffered   = 16 << 10  // of these, without use of what all connections share
	readAheadSize = 4 << 10   // bytes of one read
	maxArrivals   = 64        // a stretch beyond these counts as part of the last one
)

var errPipelineLimit = errors.New("more pipelined requests than may be kept")

// Read hands on what is buffered, then what comes.
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

// readAhead waits for bytes and keeps them. What may not be kept is dropped, and with it all that follows: were it left
// unread in the socket, a client that sends much and then disconnects would not be noticed.
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

// fits reports whether n more bytes may be kept.
func (b *pipelineBuffer) fits(n int) bool {
	n += len(b.buffered)
	return n <= ownBuffered || n <= maxBuffered && b.sharedFree.Load() >= readAheadSize
}

// account takes n more bytes from what all connections share, as far as they are beyond ownBuffered; n below 0 gives back.
func (b *pipelineBuffer) account(n int) {
	before, after := max(len(b.buffered)-ownBuffered, 0), max(len(b.buffered)+n-ownBuffered, 0)
	b.sharedFree.Add(int64(before - after))
}

// release gives back what was taken, once the connection ends.
func (b *pipelineBuffer) release() { b.account(-len(b.buffered)) }

// received notes when n bytes came, the first of which has the number from. A deadline is no error for good.
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

// arrivalTime is when the first byte came, on the loop's clock, that was handed on last and not parsed yet; unparsed is how
// many such bytes there are.
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
