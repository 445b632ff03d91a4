package downstream

import (
	"errors"
	"io"
	"os"
	"time"

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/membudget"
)

// pipelineBuffer buffers input between a connection and its request reader. It holds the pipelined requests that arrive while
// an earlier request is in progress. It records when their bytes arrived, since their timeouts start then. Only the
// connection's goroutine uses it.
type pipelineBuffer struct {
	source    io.Reader
	now       func() time.Duration // the loop's clock
	buffered  []byte               // bytes read ahead; their array is charged to memory
	charged   int                  // size of that array
	consumed  int64                // number of bytes returned by Read so far
	arrivals  []arrival            // ranges that contain the buffered and the last consumed bytes, oldest first
	err       error                // permanent error of the connection
	muchComes bool                 // true: the last read filled its buffer
	received  int64                // bytes read from the connection so far
	discarded int                  // bytes discarded since the buffer limit was exceeded
	stopped   bool                 // true: nothing more is read from the connection
	truncated bool                 // true: the buffer limit was exceeded, and input after buffered was discarded
	memory    *membudget.Account
}

// arrival is a range of bytes that arrived at the same time.
type arrival struct {
	from int64 // offset of the first byte in the connection's input
	at   time.Duration
}

const (
	maxBuffered      = 256 << 10 // buffer limit of one connection in bytes
	firstBuffered    = 2 << 10   // size of a connection's first buffer in bytes
	smallReadAhead   = 1 << 10   // size of a read in bytes
	largeReadAhead   = 16 << 10  // size of a read in bytes while much comes
	largeReadBuffers = 8         // number of buffers for large reads, for all connections together
	maxDiscarded     = 512 << 10 // input of one connection, in bytes, that is discarded beyond the buffer limit
	maxArrivals      = 64        // limit on recorded ranges; the last one is overwritten beyond it
)

// errPipelineFlood reports that a client sends on and on beyond the buffer limit. Its disconnect may hide behind what it has sent, so
// the request in progress ends, too.
var errPipelineFlood = &http1.Error{Status: 504, Reason: "far more pipelined input than is buffered"}

var errPipelineLimit = errors.New("pipelined requests exceed the buffer limit")

// Read returns buffered bytes if there are any, else it reads from the connection.
func (b *pipelineBuffer) Read(p []byte) (int, error) {
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.consumed += int64(n)
		if b.buffered = b.buffered[n:]; len(b.buffered) == 0 {
			b.drop()
		}
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.truncated || b.stopped {
		return 0, errPipelineLimit
	}
	n, err := b.source.Read(p)
	b.record(b.consumed, n, err)
	b.consumed += int64(n)
	return n, err
}

// readAhead waits for bytes and buffers them. It discards bytes beyond the buffer limit, and all bytes after them. If they
// stayed unread in the socket, the disconnect of a client that sends much would go undetected.
func (b *pipelineBuffer) readAhead() error {
	if b.err != nil {
		return b.err
	}
	if b.muchComes {
		select {
		case buffer := <-largeBuffers:
			defer func() { largeBuffers <- buffer }()
			return b.readAheadInto(buffer)
		default:
		}
	}
	var small [smallReadAhead]byte
	return b.readAheadInto(small[:])
}

// largeBuffers holds the unused buffers for large reads.
var largeBuffers = func() chan []byte {
	buffers := make(chan []byte, largeReadBuffers)
	for range largeReadBuffers {
		buffers <- make([]byte, largeReadAhead)
	}
	return buffers
}()

// readAheadInto waits for bytes, reads them into piece and buffers them.
func (b *pipelineBuffer) readAheadInto(piece []byte) error {
	n, err := b.source.Read(piece)
	b.muchComes = n == len(piece)
	b.record(b.consumed+int64(len(b.buffered)), n, err)
	if b.truncated = b.truncated || n > 0 && !b.makeRoom(n); !b.truncated {
		b.buffered = append(b.buffered, piece[:n]...)
		return err
	}
	if b.discarded += n; b.discarded > maxDiscarded {
		return errPipelineFlood
	}
	return err
}

// makeRoom charges and makes space for n more bytes; false: the limit or the memory is used up.
func (b *pipelineBuffer) makeRoom(n int) bool {
	length := len(b.buffered) + n
	if length <= cap(b.buffered) {
		return true
	}
	size := max(firstBuffered, length, min(2*length, maxBuffered))
	if length > maxBuffered || !b.memory.TryCharge(size) {
		return false
	}
	larger := make([]byte, len(b.buffered), size)
	copy(larger, b.buffered)
	b.memory.Release(b.charged)
	b.buffered, b.charged = larger, size
	return true
}

// drop drops the buffered bytes and releases their charge.
func (b *pipelineBuffer) drop() {
	b.memory.Release(b.charged)
	b.buffered, b.charged = nil, 0
}

// close releases everything when the connection is closed.
func (b *pipelineBuffer) close() { b.memory.Close() }

// record records the arrival time of n bytes, the first of which has the offset from. It keeps err as the permanent error
// unless err is an exceeded deadline.
func (b *pipelineBuffer) record(from int64, n int, err error) {
	b.received += int64(max(n, 0))
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
