// Package lineproto reads and writes the line protocol (docs/protocol.md): a start line, MIME-style header lines,
// a body whose length is told. It stands on net/textproto, under which the reader is bounded here.
package lineproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Version is the protocol's name and major version in greetings.
const Version = "weirhaven/1"

// Verbs.
const (
	Hello  = "HELLO"
	Run    = "RUN"    // a command, or to a brick a dispatch
	Cancel = "CANCEL" // its sender waits no longer
	Begun  = "BEGUN"  // a streamed answer has begun
	Done   = "DONE"   // completed
	Busy   = "BUSY"   // busy-replied; from a brick: turned away unseen
	Abort  = "ABORT"  // aborted; from a brick: an error, the command may have run
	Probe  = "PROBE"
	Probed = "PROBED"
	Watch  = "WATCH"  // list changes from now on
	All    = "ALL"    // the whole list once
	List   = "LIST"   // lines of the list
	News   = "NEWS"   // from another host
	Lines  = "LINES"  // of bricks, from host to host
	Gossip = "GOSSIP" // of which hosts there are
	Drain  = "DRAIN"  // the sender takes nothing new
	Fleet  = "FLEET"  // an operator asks what is believed
	Forget = "FORGET" // an operator lets a host forget a brick
	Tape   = "TAPE"   // an operator starts, stops or asks after the capture of the load
	Bad    = "BAD"    // what was sent can't be understood; it had no effect
)

// Bounds of what is read. A message past them ends the connection.
const (
	maxLine   = 4 << 10
	maxFields = 32
	maxHead   = 16 << 10
	readAhead = 16 << 10
)

// ErrTooLong is returned for a line, a head or a body past its bound.
var ErrTooLong = errors.New("message is longer than allowed")

// Message is one message as read; it owns its body.
type Message struct {
	Verb  string
	ID    uint64
	Field textproto.MIMEHeader
	Body  []byte
}

// Get is a header field, empty when absent.
func (m *Message) Get(name string) string {
	if v := m.Field[name]; len(v) > 0 { // names here are canonical already
		return v[0]
	}
	return ""
}

// Whole is a field that holds a whole number; absent: none.
func (m *Message) Whole(name string, none int64) (int64, error) {
	s := m.Get(name)
	if s == "" {
		return none, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is not a whole number", name, clip(s))
	}
	return n, nil
}

// Number is a field that holds a number; absent: none.
func (m *Message) Number(name string, none float64) (float64, error) {
	s := m.Get(name)
	if s == "" {
		return none, nil
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x != x || x > 1e18 || x < -1e18 {
		return 0, fmt.Errorf("%s: %q is not a number", name, clip(s))
	}
	return x, nil
}

// Micros is a field that holds a time in microseconds; absent: none.
func (m *Message) Micros(name string, none time.Duration) (time.Duration, error) {
	n, err := m.Whole(name, none.Microseconds())
	if err == nil && (n > 1<<50 || n < -1<<50) {
		err = fmt.Errorf("%s: %d us is too long", name, n)
	}
	return time.Duration(n) * time.Microsecond, err
}

func clip(s string) string {
	if len(s) > 32 {
		return s[:32] + "..."
	}
	return s
}

// bounded lets at most left bytes through, so that what stands on it can't be made to grow without end.
type bounded struct {
	r    io.Reader
	left int
	err  error // the last
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		b.err = ErrTooLong
		return 0, ErrTooLong
	}
	if len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= n
	b.err = err
	return n, err
}

// Reader reads messages from one connection.
type Reader struct {
	conn    net.Conn // nil: no time-outs
	bound   bounded
	buf     *bufio.Reader
	text    *textproto.Reader
	maxBody int
	idle    time.Duration
	stall   time.Duration
}

// NewReader reads from r; a body may have at most maxBody bytes.
func NewReader(r io.Reader, maxBody int) *Reader {
	x := &Reader{bound: bounded{r: r}, maxBody: maxBody}
	x.buf = bufio.NewReaderSize(&x.bound, readAhead)
	x.text = textproto.NewReader(x.buf)
	return x
}

// NewConnReader is NewReader on a connection. A silence of idle between messages ends it, and so does a message
// that has begun and is not whole within stall; 0: no such end.
func NewConnReader(c net.Conn, maxBody int, idle, stall time.Duration) *Reader {
	x := NewReader(c, maxBody)
	x.conn, x.idle, x.stall = c, idle, stall
	return x
}

// Await returns when the first byte of a message is there.
func (x *Reader) Await() error {
	if x.buf.Buffered() > 0 {
		return nil
	}
	if x.conn != nil {
		until := time.Time{}
		if x.idle > 0 {
			until = time.Now().Add(x.idle)
		}
		if err := x.conn.SetReadDeadline(until); err != nil {
			return err
		}
	}
	x.bound.left = maxHead + readAhead
	_, err := x.buf.Peek(1)
	return err
}

// Buffered tells whether more bytes were read already.
func (x *Reader) Buffered() bool { return x.buf.Buffered() > 0 }

// Read returns the next message. io.EOF: the connection ended between messages.
func (x *Reader) Read() (*Message, error) {
	if err := x.Await(); err != nil {
		return nil, err
	}
	// What is buffered was let through already; the rest of this head may be no longer than a head.
	x.bound.left, x.bound.err = maxHead+readAhead, nil
	if x.conn != nil && x.stall > 0 && !x.whole() {
		if err := x.conn.SetReadDeadline(time.Now().Add(x.stall)); err != nil {
			return nil, err
		}
	}
	line, err := x.text.ReadLine()
	if err != nil {
		return nil, cut(err)
	}
	m, err := startLine(line)
	if err != nil {
		return nil, err
	}
	if m.Field, err = x.text.ReadMIMEHeader(); err != nil {
		if x.bound.err != nil { // textproto takes the line that this cut off for a malformed one
			err = x.bound.err
		}
		return nil, cut(err)
	}
	if err := checkFields(m.Field); err != nil {
		return nil, err
	}
	n, err := m.Whole("Length", 0)
	if err != nil {
		return nil, err
	}
	if n < 0 || n > int64(x.maxBody) {
		return nil, fmt.Errorf("%w: body of %d bytes, at most %d", ErrTooLong, n, x.maxBody)
	}
	if n > 0 {
		x.bound.left = int(n) + readAhead
		if x.conn != nil && x.stall > 0 && x.buf.Buffered() < int(n) {
			if err := x.conn.SetReadDeadline(time.Now().Add(x.stall)); err != nil {
				return nil, err
			}
		}
		m.Body = make([]byte, n)
		if _, err := io.ReadFull(x.buf, m.Body); err != nil {
			return nil, fmt.Errorf("body of %d bytes: %w", n, cut(err))
		}
	}
	return m, nil
}

// whole tells whether a whole head is buffered, so that no time-out needs to be set for it.
func (x *Reader) whole() bool {
	b, _ := x.buf.Peek(x.buf.Buffered())
	return bytes.Contains(b, []byte("\r\n\r\n"))
}

func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func startLine(line string) (*Message, error) {
	if len(line) > maxLine {
		return nil, fmt.Errorf("%w: start line", ErrTooLong)
	}
	verb, id, _ := strings.Cut(line, " ")
	if verb == "" || len(verb) > 16 {
		return nil, fmt.Errorf("start line %q: no verb", clip(line))
	}
	for _, r := range verb {
		if r < 'A' || r > 'Z' {
			return nil, fmt.Errorf("start line %q: a verb is written in capitals", clip(line))
		}
	}
	m := &Message{Verb: verb}
	if id != "" {
		n, err := strconv.ParseUint(id, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("start line %q: id is not a whole number", clip(line))
		}
		m.ID = n
	}
	return m, nil
}

func checkFields(h textproto.MIMEHeader) error {
	n, size := 0, 0
	for name, vs := range h {
		for _, v := range vs {
			n++
			size += len(name) + len(v)
			if len(v) > maxLine {
				return fmt.Errorf("%w: field %s", ErrTooLong, clip(name))
			}
			if i := strings.IndexFunc(v, func(r rune) bool { return r < ' ' || r == 0x7f }); i >= 0 {
				return fmt.Errorf("field %s: control character", clip(name))
			}
		}
	}
	if n > maxFields || size > maxHead {
		return fmt.Errorf("%w: %d header fields of %d bytes", ErrTooLong, n, size)
	}
	return nil
}

// Out builds messages in one buffer, to be written in one go.
type Out struct{ B []byte }

// Start opens a message; id 0 is left out.
func (o *Out) Start(verb string, id uint64) *Out {
	o.B = append(o.B, verb...)
	if id != 0 {
		o.B = strconv.AppendUint(append(o.B, ' '), id, 10)
	}
	o.B = append(o.B, "\r\n"...)
	return o
}

// Text adds a field; an empty value adds none, and control characters in it become spaces.
func (o *Out) Text(name, v string) *Out {
	if v == "" {
		return o
	}
	o.B = append(append(o.B, name...), ": "...)
	for i := range len(v) {
		if c := v[i]; c < ' ' || c == 0x7f {
			o.B = append(o.B, ' ')
		} else {
			o.B = append(o.B, c)
		}
	}
	o.B = append(o.B, "\r\n"...)
	return o
}

// Whole adds a field that holds a whole number.
func (o *Out) Whole(name string, n int64) *Out {
	o.B = append(append(o.B, name...), ": "...)
	o.B = append(strconv.AppendInt(o.B, n, 10), "\r\n"...)
	return o
}

// Number adds a field that holds a number.
func (o *Out) Number(name string, x float64) *Out {
	o.B = append(append(o.B, name...), ": "...)
	o.B = append(strconv.AppendFloat(o.B, x, 'g', -1, 64), "\r\n"...)
	return o
}

// Micros adds a field that holds a time in microseconds.
func (o *Out) Micros(name string, d time.Duration) *Out { return o.Whole(name, d.Microseconds()) }

// End closes the message with its body.
func (o *Out) End(body []byte) *Out {
	if len(body) > 0 {
		o.Whole("Length", int64(len(body)))
	}
	o.B = append(append(o.B, "\r\n"...), body...)
	return o
}

// Greet sends this side's greeting and reads the other's within wait. It returns the other's role and name.
func Greet(c net.Conn, x *Reader, role, name string, wait time.Duration, more func(*Out)) (*Message, error) {
	if err := c.SetDeadline(time.Now().Add(wait)); err != nil {
		return nil, err
	}
	var o Out
	o.Start(Hello, 0).Text("Version", Version).Text("Role", role).Text("Name", name)
	if more != nil {
		more(&o)
	}
	if _, err := c.Write(o.End(nil).B); err != nil {
		return nil, fmt.Errorf("greet: %w", err)
	}
	idle := x.idle
	x.idle = wait
	m, err := x.Read()
	x.idle = idle
	if err != nil {
		return nil, fmt.Errorf("greet: %w", err)
	}
	if m.Verb != Hello || m.Get("Version") != Version {
		return nil, fmt.Errorf("greet: %s %q, wanted %s %s; the other side is of another version or no part of this",
			clip(m.Verb), clip(m.Get("Version")), Hello, Version)
	}
	return m, c.SetDeadline(time.Time{})
}
