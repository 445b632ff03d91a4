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

// Bounds of what is read, in bytes but for maxFields. A message past them ends the connection.
const (
	maxLine   = 4 << 10
	maxFields = 32
	maxHead   = 16 << 10
	readAhead = 16 << 10 // of the buffer
)

// ErrTooLong is returned for a line, a head or a body past its bound.
var ErrTooLong = errors.New("message is longer than allowed")

// bounded lets at most allowance bytes through, so that what reads from it can't be made to grow without end.
type bounded struct {
	reader    io.Reader
	allowance int
	err       error // of the last Read
}

// Read reads what the allowance lets through, and fails with ErrTooLong past it.
func (b *bounded) Read(p []byte) (int, error) {
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
	bound   bounded
	buffer  *bufio.Reader
	text    *textproto.Reader
	maxBody int           // bytes
	idle    time.Duration // 0: no timeout
	stall   time.Duration // 0: no timeout
}

// NewReader returns a reader from r without timeouts. A body may have at most maxBody bytes.
func NewReader(r io.Reader, maxBody int) *Reader {
	reader := &Reader{bound: bounded{reader: r}, maxBody: maxBody}
	reader.buffer = bufio.NewReaderSize(&reader.bound, readAhead)
	reader.text = textproto.NewReader(reader.buffer)
	return reader
}

// NewConnReader returns a reader from a connection. Silence for idle between messages is a timeout, and so is a message that is
// not complete within stall after it began; 0: no timeout.
func NewConnReader(c net.Conn, maxBody int, idle, stall time.Duration) *Reader {
	reader := NewReader(c, maxBody)
	reader.conn, reader.idle, reader.stall = c, idle, stall
	return reader
}

// Await returns when the first byte of a message is there. After a timeout it may be called again.
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

// Buffered reports whether bytes of a further message were read already.
func (r *Reader) Buffered() bool { return r.buffer.Buffered() > 0 }

// Read returns the next message. Errors: io.EOF when the connection ended between messages, io.ErrUnexpectedEOF within one, a
// net.Error with Timeout after silence, ErrTooLong, or what is malformed. After any but a timeout between messages the stream is
// of no more use.
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

// readHead reads a start line and the fields.
func (r *Reader) readHead() (*Message, error) {
	// What is buffered was let through already; the rest of this head may be no longer than a head.
	r.bound.allowance, r.bound.err = maxHead+readAhead, nil
	if !r.headBuffered() {
		if err := r.setStallDeadline(); err != nil {
			return nil, err
		}
	}
	line, err := r.text.ReadLine()
	if err != nil {
		return nil, cutOff(err)
	}
	m, err := parseStartLine(line)
	if err != nil {
		return nil, err
	}
	if m.Fields, err = r.text.ReadMIMEHeader(); err != nil {
		if r.bound.err != nil { // textproto reports the line that this cut off as a malformed one
			err = r.bound.err
		}
		return nil, cutOff(err)
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
		return nil, fmt.Errorf("body of %d bytes: %w", n, cutOff(err))
	}
	return body, nil
}

func (r *Reader) setStallDeadline() error {
	if r.conn == nil || r.stall <= 0 {
		return nil
	}
	return r.conn.SetReadDeadline(time.Now().Add(r.stall))
}

// headBuffered reports whether a complete head is buffered, so that it needs no deadline.
func (r *Reader) headBuffered() bool {
	buffered, _ := r.buffer.Peek(r.buffer.Buffered()) // never fails for what is buffered
	return bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// cutOff is the error for an end within a message.
func cutOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
