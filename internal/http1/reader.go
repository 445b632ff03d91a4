// Package http1 reads and writes HTTP/1.1 requests and responses on a connection. Reading is bounded and strict: a message
// whose end is ambiguous is an error, since another message might hide in it. What a reader holds for its peer is charged to
// its Memory before it is allocated.
//
// The package has no clock: the owner of the connection sets its deadlines. Its types are not safe for concurrent use.
//
// The package deliberately doesn't use net/http. The client of net/http retries requests on its own and doesn't expose when
// the last byte was sent; its server silently drops one of two contradicting lengths.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Limits on a message's head. Beyond them reading returns an Error with status 431 or 502.
const (
	maxLine    = 4 << 10  // size of the start line and of a field's value in bytes
	maxFields  = 64       // number of field values
	maxHead    = 20 << 10 // size of the head in bytes
	maxInterim = 8        // number of interim responses before a final one
)

// InitialBuffer is the size in bytes of the buffer that a reader has from its first read on. Only what exceeds it is charged to
// the reader's Memory.
const InitialBuffer = 1 << 10

// Memory bounds what readers allocate for their peers.
type Memory interface {
	// Charge reserves n bytes. It may block for a bounded time; an error means that the bytes must not be allocated.
	Charge(n int) error
	// Release returns n bytes that were charged.
	Release(n int)
}

// unbounded is the Memory of a reader without one.
type unbounded struct{}

func (unbounded) Charge(int) error { return nil }
func (unbounded) Release(int)      {}

// Error reports a malformed message. After it the connection can't be used any further, since the start of the next message is
// unknown.
type Error struct {
	Status int // status with which a server should answer
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

func malformed(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

var errTooLong = malformed(431, "message exceeds the size limit")

// Reader reads messages from a connection.
type Reader struct {
	source      io.Reader
	memory      Memory
	buffer      []byte // nil until the first read
	start, end  int    // the unparsed bytes are buffer[start:end]
	headCharged int    // bytes charged for the fields of the latest head
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader) *Reader { return NewReaderWithMemory(source, unbounded{}) }

// NewReaderWithMemory returns a Reader that reads from source and charges what it holds to memory. Its owner calls Close.
func NewReaderWithMemory(source io.Reader, memory Memory) *Reader {
	return &Reader{source: source, memory: memory}
}

// SetMemory makes the reader charge to memory from now on; nil: to none. It releases what the reader has charged so far, except the bodies
// that it has returned. It is called between two messages.
func (r *Reader) SetMemory(memory Memory) {
	if memory == nil {
		memory = unbounded{}
	}
	r.ReleaseHead()
	r.memory.Release(max(len(r.buffer)-InitialBuffer, 0))
	if r.Buffered() == 0 && len(r.buffer) > InitialBuffer {
		r.buffer, r.start, r.end = nil, 0, 0
	}
	r.memory = memory
}

// Close releases what the reader has charged, except the bodies that it has returned. The reader is not used afterwards.
func (r *Reader) Close() {
	r.ReleaseHead()
	r.start, r.end = 0, 0
	r.shrink()
}

// ReleaseHead releases the charge of the latest head. The head's values are not used afterwards.
func (r *Reader) ReleaseHead() {
	r.memory.Release(r.headCharged)
	r.headCharged = 0
}

// Await blocks until a byte of the next message is available. It returns the connection's error otherwise.
func (r *Reader) Await() error {
	if r.Buffered() > 0 {
		return nil
	}
	r.shrink()
	return r.fill()
}

// Buffered returns the number of bytes that were read from the connection and not parsed yet.
func (r *Reader) Buffered() int { return r.end - r.start }

// Peek returns the first n buffered bytes, or fewer, without consuming them. They are valid until the next read.
func (r *Reader) Peek(n int) []byte { return r.buffer[r.start : r.start+min(n, r.Buffered())] }

// shrink replaces an empty buffer that has grown by one of the initial size.
func (r *Reader) shrink() {
	if r.Buffered() > 0 {
		return
	}
	r.start, r.end = 0, 0
	if grown := len(r.buffer) - InitialBuffer; grown > 0 {
		r.buffer = nil
		r.memory.Release(grown)
	}
}

// fill reads from the source at least once, until a byte has come or the source has failed. It makes room in the buffer first.
func (r *Reader) fill() error {
	if err := r.makeRoom(); err != nil {
		return err
	}
	for {
		n, err := r.source.Read(r.buffer[r.end:])
		r.end += n
		if n > 0 {
			return nil // an error shows again at the next read
		}
		if err != nil {
			return err
		}
	}
}

// makeRoom makes space for at least one byte at the end of the buffer.
func (r *Reader) makeRoom() error {
	switch {
	case r.buffer == nil:
		r.buffer = make([]byte, InitialBuffer)
	case r.end < len(r.buffer):
	case r.start > 0:
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	default:
		return r.grow()
	}
	return nil
}

// grow doubles the buffer.
func (r *Reader) grow() error {
	size := len(r.buffer)
	if err := r.memory.Charge(size); err != nil {
		return err
	}
	larger := make([]byte, 2*size)
	copy(larger, r.buffer[:r.end])
	r.buffer = larger
	return nil
}

// readLine reads a line of at most limit bytes and returns it without its end, which is LF or CRLF. It is valid until the next
// read.
func (r *Reader) readLine(limit int) ([]byte, error) {
	line, err := r.readToLF(limit)
	return bytes.TrimSuffix(line, []byte("\r")), err
}

// readToLF reads a line of at most limit bytes and returns it without its LF. It is valid until the next read.
func (r *Reader) readToLF(limit int) ([]byte, error) {
	for scanned := 0; ; {
		unparsed := r.buffer[r.start:r.end]
		if i := bytes.IndexByte(unparsed[scanned:], '\n'); i >= 0 {
			length := scanned + i
			if length >= limit {
				return nil, errTooLong
			}
			r.start += length + 1
			return unparsed[:length], nil
		}
		if scanned = len(unparsed); scanned >= limit {
			return nil, errTooLong
		}
		if err := r.fill(); err != nil {
			return nil, unexpected(err)
		}
	}
}

// readFull fills p with the bytes that follow, from the buffer first.
func (r *Reader) readFull(p []byte) error {
	n := copy(p, r.buffer[r.start:r.end])
	r.start += n
	_, err := io.ReadFull(r.source, p[n:])
	return unexpected(err)
}

// readSome reads at least one byte into p, from the buffer first.
func (r *Reader) readSome(p []byte) (int, error) {
	if r.Buffered() == 0 {
		return r.source.Read(p)
	}
	n := copy(p, r.buffer[r.start:r.end])
	r.start += n
	return n, nil
}

// unexpected returns io.ErrUnexpectedEOF for the end of the connection within a message, and any other error as it is.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
