// Package http1 reads and writes HTTP/1.1 requests and responses on a connection. Reading is bounded and strict: a message
// whose end is ambiguous is an error, since another message might hide in it. The package uses net/textproto and the chunk
// reader of net/http/httputil on top of its own bounded reader.
//
// The package has no clock: the owner of the connection sets its deadlines. Its types are not safe for concurrent use.
//
// The package deliberately doesn't use net/http. The client of net/http retries requests on its own and doesn't expose when
// the last byte was sent; its server silently drops one of two contradicting lengths.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/textproto"
)

// Limits on a message's head. Beyond them reading returns an Error with status 431 or 502.
const (
	maxLine    = 4 << 10  // size of the start line and of a field's value in bytes
	maxFields  = 64       // number of field values
	maxHead    = 16 << 10 // size of the head in bytes
	readAhead  = 4 << 10  // size of the read buffer in bytes
	maxInterim = 8        // number of interim responses before a final one
)

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

var errTooLong = errors.New("message exceeds the size limit")

// boundedReader reads at most remaining bytes from source.
type boundedReader struct {
	source    io.Reader
	remaining int64
	err       error // error of the last read
}

// Read returns errTooLong once remaining is 0.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		b.err = errTooLong
		return 0, errTooLong
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.err = err
	return n, err
}

// Reader reads messages from a connection.
type Reader struct {
	bound  boundedReader
	buffer *bufio.Reader
	text   *textproto.Reader
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader) *Reader {
	r := &Reader{bound: boundedReader{source: source}}
	r.buffer = bufio.NewReaderSize(&r.bound, readAhead)
	r.text = textproto.NewReader(r.buffer)
	return r
}

// Await blocks until a byte of the next message is available. It returns the connection's error otherwise.
func (r *Reader) Await() error {
	r.bound.remaining = maxHead + readAhead
	_, err := r.buffer.Peek(1)
	return err
}

// Buffered returns the number of bytes that were read from the connection and not parsed yet.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Peek returns the first n buffered bytes, or fewer, without consuming them. They are valid until the next read.
func (r *Reader) Peek(n int) []byte {
	bytes, _ := r.buffer.Peek(min(n, r.buffer.Buffered())) // can't fail: at most the buffered bytes are requested
	return bytes
}

// line reads a start line.
func (r *Reader) line() (string, error) {
	r.bound.remaining, r.bound.err = maxHead+readAhead, nil
	line, err := r.text.ReadLine()
	if err != nil || r.bound.err != nil { // ReadLine returns a line that was cut by a broken connection without an error
		return "", r.cause(err)
	}
	if len(line) > maxLine {
		return "", malformed(431, "start line longer than %d bytes", maxLine)
	}
	return line, nil
}

// cause returns the cause of an error of the readers on top of boundedReader. textproto reports a line that was cut by a broken
// connection as malformed; without cause the gateway would answer a client that has disconnected.
func (r *Reader) cause(err error) error {
	var protocol textproto.ProtocolError
	switch {
	case errors.Is(r.bound.err, errTooLong):
		return malformed(431, "message exceeds the size limit")
	case r.bound.err != nil:
		err = r.bound.err
	case errors.As(err, &protocol):
		return malformed(400, "malformed head")
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return err
}
