package front

import (
	"errors"
	"io"
	"os"
	"time"
)

// inbox lies between a connection and the reader of its requests. Pipelined requests come in while an earlier one waits
// for its answer: they are kept here, with the times at which their bytes came, since their time-outs count from then.
type inbox struct {
	r     io.Reader
	now   func() time.Duration
	kept  []byte
	given int64  // bytes handed on so far
	marks []mark // of the stretches that hold kept or lately given bytes, oldest first
	err   error  // of the connection, for good
}

// mark is a stretch of bytes that came at a time.
type mark struct {
	from int64
	at   time.Duration
}

const (
	mostKept = 64 << 10 // of one connection; what is beyond waits in the kernel's buffers
	piece    = 4 << 10
	mostMark = 64 // beyond these a stretch counts from when the one before it came
)

var errFull = errors.New("as much as may be kept")

// Read hands on what is kept, then what comes.
func (x *inbox) Read(p []byte) (int, error) {
	if len(x.kept) > 0 {
		n := copy(p, x.kept)
		x.given += int64(n)
		if x.kept = x.kept[n:]; len(x.kept) == 0 {
			x.kept = nil
		}
		return n, nil
	}
	if x.err != nil {
		return 0, x.err
	}
	n, err := x.r.Read(p)
	x.came(x.given, n, err)
	x.given += int64(n)
	return n, err
}

// ahead waits for bytes and keeps them.
func (x *inbox) ahead() error {
	if x.err != nil {
		return x.err
	}
	if len(x.kept) >= mostKept {
		return errFull
	}
	var b [piece]byte
	n, err := x.r.Read(b[:])
	x.came(x.given+int64(len(x.kept)), n, err)
	x.kept = append(x.kept, b[:n]...)
	return err
}

func (x *inbox) came(from int64, n int, err error) {
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
func (x *inbox) arrived(held int) time.Duration {
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
func (x *inbox) head(n int) []byte { return x.kept[:min(n, len(x.kept))] }
