package lineproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"time"
)

// Bounds of a message head; all but maxFields are in bytes. A message that exceeds them ends the connection.
const (
	maxLine   = 4 << 10
	maxFields = 32
	maxHead   = 16 << 10
	readAhead = 16 << 10 // size of the read buffer
)

// ErrTooLong is returned for a line, a head or a body that exceeds its bound.
var ErrTooLong = errors.New("message is longer than allowed")

// boundedReader is a reader that returns at most allowance bytes, so that a peer can't make its consumer allocate without bound.
type boundedReader struct {
	reader    io.Reader
	allowance int
	err       error // error of the latest Read
}

// Read reads up to the remaining allowance, and returns ErrTooLong once it is used up.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.allowance <= 0 {
		b.err = ErrTooLong
		return 0, ErrTooLong
	}
	if len(p) > b.allowance {
		p = p[:b.allowance]
	}
	n, err := b.reader.Read(p)
	b.allowance -= n
	b.err = err
	return n, err
}

// Reader reads messages from one connection. It is not safe for concurrent use.
type Reader struct {
	conn    net.Conn // nil: no timeouts
	bound   boundedReader
	buffer  *bufio.Reader
	text    *textproto.Reader
	maxBody int           // maximum size of a body, in bytes
	idle    time.Duration // timeout between messages; 0: none
	stall   time.Duration // timeout within a message; 0: none
}

// NewReader returns a Reader on r without timeouts. A body may have at most maxBody bytes.
func NewReader(r io.Reader, maxBody int) *Reader {
	reader := &Reader{bound: boundedReader{reader: r}, maxBody: maxBody}
	reader.buffer = bufio.NewReaderSize(&reader.bound, readAhead)
	reader.text = textproto.NewReader(reader.buffer)
	return reader
}

// NewConnReader returns a Reader on a connection. It times out if no message starts within idle, or if a message is not complete
// within stall after its start; 0: no timeout.
func NewConnReader(c net.Conn, maxBody int, idle, stall time.Duration) *Reader {
	reader := NewReader(c, maxBody)
	reader.conn, reader.idle, reader.stall = c, idle, stall
	return reader
}

// Await waits for the first byte of a message. It may be called again after a timeout.
func (r *Reader) Await() error {
	if r.buffer.Buffered() > 0 {
		return nil
	}
	if r.conn != nil {
		deadline := time.Time{} // none
		if r.idle > 0 {
			deadline = time.Now().Add(r.idle)
		}
		if err := r.conn.SetReadDeadline(deadline); err != nil {
			return err
		}
	}
	r.bound.allowance = maxHead + readAhead
	_, err := r.buffer.Peek(1)
	return err
}

// Buffered reports whether bytes of the next message are already buffered.
func (r *Reader) Buffered() bool { return r.buffer.Buffered() > 0 }

// Read returns the next message. Errors: io.EOF if the connection ended between messages, io.ErrUnexpectedEOF if it ended within one,
// a net.Error with Timeout after a timeout, ErrTooLong, or an error that describes a malformed message. After any error except a
// timeout between messages the Reader can't be used any more.
func (r *Reader) Read() (*Message, error) {
	if err := r.Await(); err != nil {
		return nil, err
	}
	m, err := r.readHead()
	if err != nil {
		return nil, err
	}
	n, err := m.Int(FieldLength, 0)
	if err != nil {
		return nil, err
	}
	if n < 0 || n > int64(r.maxBody) {
		return nil, fmt.Errorf("%w: body of %d bytes, at most %d", ErrTooLong, n, r.maxBody)
	}
	if n > 0 {
		if m.Body, err = r.readBody(int(n)); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// readHead reads the start line and the fields.
func (r *Reader) readHead() (*Message, error) {
	// Buffered bytes were already counted; the unread rest of this head is at most maxHead long.
	r.bound.allowance, r.bound.err = maxHead+readAhead, nil
	if !r.headBuffered() {
		if err := r.setStallDeadline(); err != nil {
			return nil, err
		}
	}
	line, err := r.text.ReadLine()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	m, err := parseStartLine(line)
	if err != nil {
		return nil, err
	}
	if m.Fields, err = r.text.ReadMIMEHeader(); err != nil {
		if r.bound.err != nil { // textproto reports a line truncated by this error as malformed
			err = r.bound.err
		}
		return nil, unexpectedEOF(err)
	}
	return m, checkFields(m.Fields)
}

func (r *Reader) readBody(n int) ([]byte, error) {
	r.bound.allowance = n + readAhead
	if r.buffer.Buffered() < n {
		if err := r.setStallDeadline(); err != nil {
			return nil, err
		}
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r.buffer, body); err != nil {
		return nil, fmt.Errorf("body of %d bytes: %w", n, unexpectedEOF(err))
	}
	return body, nil
}

func (r *Reader) setStallDeadline() error {
	if r.conn == nil || r.stall <= 0 {
		return nil
	}
	return r.conn.SetReadDeadline(time.Now().Add(r.stall))
}

// headBuffered reports whether a complete head is buffered; reading it then needs no deadline.
func (r *Reader) headBuffered() bool {
	buffered, _ := r.buffer.Peek(r.buffer.Buffered()) // never fails for buffered bytes
	return bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// unexpectedEOF replaces io.EOF, which is unexpected within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
