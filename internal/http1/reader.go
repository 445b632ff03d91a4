// Package http1 reads and writes HTTP/1.1 messages of either direction on one connection. What it reads is bounded and strict:
// a message whose end isn't certain is an error, since another message might hide in it. It stands on net/textproto and on the
// chunk reader of net/http/httputil, beneath which the reader is bounded here.
//
// It has no clock: whoever owns the connection sets its deadlines. Nothing in it is safe for concurrent use.
//
// net/http is not used on purpose: its client sends requests again by itself and hides when the last byte left, and its
// server drops one of two contradicting lengths unseen.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/textproto"
)

// Bounds of a message's head; what is beyond them is an Error with status 431 or 502.
const (
	maxLine    = 4 << 10  // bytes of the start line, and of a field's value
	maxFields  = 64       // values of fields
	maxHead    = 16 << 10 // bytes of all
	readAhead  = 4 << 10  // bytes of the buffer
	maxInterim = 8        // interim responses before a final one
)

// Error says what is wrong with a message, and which status a server owes for it. The connection can't be used any further:
// it isn't known where the next message begins.
type Error struct {
	Status int
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

func malformed(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

var errTooLong = errors.New("longer than allowed")

// boundedReader lets at most remaining bytes through.
type boundedReader struct {
	source    io.Reader
	remaining int64
	err       error // of the last read
}

// Read returns errBound once remaining is 0.
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

// NewReader reads from source.
func NewReader(source io.Reader) *Reader {
	r := &Reader{bound: boundedReader{source: source}}
	r.buffer = bufio.NewReaderSize(&r.bound, readAhead)
	r.text = textproto.NewReader(r.buffer)
	return r
}

// Await returns nil when a byte of the next message is there, else the connection's error.
func (r *Reader) Await() error {
	r.bound.remaining = maxHead + readAhead
	_, err := r.buffer.Peek(1)
	return err
}

// Buffered is the number of bytes read beyond what was asked for.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Peek returns the first n bytes, or fewer, of those read beyond what was asked for. They are valid until the next read.
func (r *Reader) Peek(n int) []byte {
	bytes, _ := r.buffer.Peek(min(n, r.buffer.Buffered())) // no more than is buffered: it can't fail
	return bytes
}

// line reads a start line.
func (r *Reader) line() (string, error) {
	r.bound.remaining, r.bound.err = maxHead+readAhead, nil
	line, err := r.text.ReadLine()
	if err != nil || r.bound.err != nil { // what a broken connection cut comes as if it were a line
		return "", r.cause(err)
	}
	if len(line) > maxLine {
		return "", malformed(431, "start line longer than %d bytes", maxLine)
	}
	return line, nil
}

// cause finds what is behind an error of the readers above the bound: textproto takes the line that a broken connection cut
// for a malformed one, and a client that has gone would be answered.
func (r *Reader) cause(err error) error {
	var protocol textproto.ProtocolError
	switch {
	case errors.Is(r.bound.err, errTooLong):
		return malformed(431, "longer than allowed")
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
