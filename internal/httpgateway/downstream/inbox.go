package downstream

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// inbox lies between a connection and the reader of its requests. Pipelined requests come in while an earlier one waits
// for its answer: they are kept here, with the times at which their bytes came, since their time-outs count from then.
type pipelineBuffer struct {
	r        io.Reader
	now      func() time.Duration
	buffered []byte
	given    int64  // bytes handed on so far
	marks    []mark // of the stretches that hold kept or lately given bytes, oldest first
	err      error  // of the connection, for good
	cut      bool   // more came than could be kept: the connection ends where kept ends
	room     *atomic.Int64
}

// mark is a stretch of bytes that came at a time.
type mark struct {
	from int64
	at   time.Duration
}

const (
	mostKept = 256 << 10 // of one connection
	ownKept  = 16 << 10  // of that, without taking from the room that all share
	piece    = 4 << 10
	mostMark = 64 // beyond these a stretch counts from when the one before it came
)

var errCut = errors.New("more was sent at once than may be kept")

// Read hands on what is kept, then what comes.
func (x *pipelineBuffer) Read(p []byte) (int, error) {
	if len(x.buffered) > 0 {
		n := copy(p, x.buffered)
		x.given += int64(n)
		x.take(-n)
		if x.buffered = x.buffered[n:]; len(x.buffered) == 0 {
			x.buffered = nil
		}
		return n, nil
	}
	if x.err != nil {
		return 0, x.err
	}
	if x.cut {
		return 0, errCut
	}
	n, err := x.r.Read(p)
	x.came(x.given, n, err)
	x.given += int64(n)
	return n, err
}

// ahead waits for bytes and keeps them. What there is no room for is dropped, and with it all that follows: only so is a
// client noticed that sends much and goes.
func (x *pipelineBuffer) ahead() error {
	if x.err != nil {
		return x.err
	}
	var b [piece]byte
	n, err := x.r.Read(b[:])
	x.came(x.given+int64(len(x.buffered)), n, err)
	if x.cut = x.cut || n > 0 && !x.fits(n); !x.cut {
		x.take(n)
		x.buffered = append(x.buffered, b[:n]...)
	}
	return err
}

func (x *pipelineBuffer) fits(n int) bool {
	n += len(x.buffered)
	return n <= ownKept || n <= mostKept && x.room.Load() >= piece
}

// take counts n more bytes as kept, or fewer.
func (x *pipelineBuffer) take(n int) {
	x.room.Add(int64(max(len(x.buffered)-ownKept, 0) - max(len(x.buffered)+n-ownKept, 0)))
}

// close gives back the room of what was kept.
func (x *pipelineBuffer) close() { x.take(-len(x.buffered)) }

func (x *pipelineBuffer) came(from int64, n int, err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		x.err = err
	}
	switch {
	case n <= 0:
	case len(x.marks) < mostMark:
		x.marks = append(x.marks, mark{from, x.now()})
	default:
		x.marks[mostMark-1] = mark{from, x.now()}
	}
}

// arrived is when the first of the bytes came that were handed on last, held of which wait unread.
func (x *pipelineBuffer) arrived(held int) time.Duration {
	at := x.given - int64(held)
	for len(x.marks) > 1 && x.marks[1].from <= at {
		x.marks = x.marks[1:]
	}
	if len(x.marks) == 0 {
		return x.now()
	}
	return x.marks[0].at
}

// head is the first n bytes kept, or fewer.
func (x *pipelineBuffer) head(n int) []byte { return x.buffered[:min(n, len(x.buffered))] }
