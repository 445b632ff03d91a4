// Package http1 reads HTTP/1.1 messages of either direction from one connection, bounded and strict. It stands on
// net/textproto and on the chunk reader of net/http/httputil, beneath which the reader is bounded here. It has no clock:
// whoever owns the connection sets its deadlines.
//
// net/http is not used on purpose: its client sends again by itself and hides when the last byte left, its server drops
// one of two contradicting lengths unseen.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Bounds of a head; what is past them is an Error.
const (
	maxLine    = 4 << 10
	maxFields  = 64
	maxHead    = 16 << 10
	readAhead  = 4 << 10
	maxInterim = 8
)

// Error tells what was wrong with a message and which status a server owes for it. The connection can't be used on.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

func bad(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

var errBound = errors.New("longer than allowed")

// bounded lets at most left bytes through.
type bounded struct {
	r    io.Reader
	left int64
	err  error // the last
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		b.err = errBound
		return 0, errBound
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	b.err = err
	return n, err
}

// Head is a start line with its fields.
type Head struct {
	Method, Target string // of a request
	Status         int    // of an answer
	Close          bool   // the sender closes the connection after this message
	Length         int64  // of the body; -1: chunked, -2: until the connection ends
	fields         textproto.MIMEHeader
}

// Length of a body that no number tells.
const (
	Chunked  = -1
	UntilEnd = -2
)

// Get is a field's value, empty when absent; more than one value is none. The name must be in canonical form.
func (h *Head) Get(name string) string {
	if v := h.fields[name]; len(v) == 1 {
		return v[0]
	}
	return ""
}

// hopByHop fields are for the next hop alone (RFC 9110, 7.6.1), as are those that Connection names; the framing of what is
// passed on is its sender's own.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true}

// AppendForward adds the fields that whoever passes a message on has to pass on too, known to it or not, but for those
// it sets itself.
func (h *Head) AppendForward(b []byte, own ...string) []byte {
	var named []string
	for _, v := range h.fields["Connection"] {
		for _, token := range strings.Split(v, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.fields)) {
		if hopByHop[name] || slices.Contains(own, name) || slices.Contains(named, name) {
			continue
		}
		for _, v := range h.fields[name] {
			b = AppendField(b, name, v)
		}
	}
	return b
}

// Times is how often a field stands in the head.
func (h *Head) Times(name string) int { return len(h.fields[name]) }

// Reader reads messages from a connection.
type Reader struct {
	bound bounded
	buf   *bufio.Reader
	text  *textproto.Reader
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader {
	x := &Reader{bound: bounded{r: r}}
	x.buf = bufio.NewReaderSize(&x.bound, readAhead)
	x.text = textproto.NewReader(x.buf)
	return x
}

// Await returns nil when a byte of the next message is there, else the connection's error.
func (x *Reader) Await() error {
	x.bound.left = maxHead + readAhead
	_, err := x.buf.Peek(1)
	return err
}

// Buffered is the number of bytes read beyond what was asked for.
func (x *Reader) Buffered() int { return x.buf.Buffered() }

// Ahead is the first n bytes, or fewer, of those read beyond what was asked for.
func (x *Reader) Peek(n int) []byte {
	b, _ := x.buf.Peek(min(n, x.buf.Buffered()))
	return b
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"}

// StartSize is how many bytes tell for sure whether a request may begin with them.
const MinRequestPrefix = len("\r\nCONNECT ")

// MayStart tells whether a pipelined request may begin with b, of which more may come. What can't be one was meant as a
// body: the length before it was wrong.
func MayStartRequest(b []byte) bool {
	text := strings.TrimPrefix(string(b), "\r\n")
	if text == "\r" || text == "" {
		return true
	}
	for _, m := range methods {
		if m += " "; strings.HasPrefix(text, m) || strings.HasPrefix(m, text) {
			return true
		}
	}
	return false
}

// Request reads the head of a request.
func (x *Reader) Request() (*Head, error) {
	line, err := x.line()
	if err == nil && line == "" { // RFC 9112, 2.2: an empty line before a request is to be passed over
		line, err = x.line()
	}
	if err != nil {
		return nil, err
	}
	h := &Head{}
	var version string
	var ok bool
	if h.Method, line, ok = strings.Cut(line, " "); ok {
		h.Target, version, ok = strings.Cut(line, " ")
	}
	switch {
	case !ok || h.Method == "" || len(h.Method) > 16 || strings.Trim(h.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
		return nil, bad(400, "malformed start line")
	case !strings.HasPrefix(h.Target, "/") || strings.IndexFunc(h.Target, notVisible) >= 0:
		return nil, bad(400, "malformed target")
	case version != "HTTP/1.1":
		return nil, bad(505, "version is not HTTP/1.1")
	}
	if err := x.fieldsOf(h); err != nil {
		return nil, err
	}
	if h.Times("Host") != 1 {
		return nil, bad(400, "%d Host fields, wanted 1", h.Times("Host"))
	}
	if h.Length == UntilEnd {
		h.Length = 0
	}
	return h, nil
}

// Answer reads the head of an answer; interim ones before it are skipped, a bounded number of them.
func (x *Reader) Answer() (*Head, error) {
	for range maxInterim {
		line, err := x.line()
		if err != nil {
			return nil, err
		}
		version, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, ok := Whole(code)
		if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 || !ok || status < 100 {
			return nil, bad(502, "malformed status line")
		}
		h := &Head{Status: int(status)}
		if err := x.fieldsOf(h); err != nil {
			return nil, err
		}
		switch {
		case status == 101:
			return nil, bad(502, "an upgrade that nobody asked for")
		case status < 200:
			x.bound.left = maxHead + readAhead
			continue
		case status == 204 || status == 304:
			h.Length = 0
		}
		h.Close = h.Close || version == "HTTP/1.0" || h.Length == UntilEnd
		return h, nil
	}
	return nil, bad(502, "more than %d interim answers", maxInterim)
}

func notVisible(r rune) bool { return r <= ' ' || r >= 0x7f }

func (x *Reader) line() (string, error) {
	x.bound.left, x.bound.err = maxHead+readAhead, nil
	line, err := x.text.ReadLine()
	if err != nil || x.bound.err != nil { // what a broken connection cut comes as if it were a line
		return "", x.cause(err)
	}
	if len(line) > maxLine {
		return "", bad(431, "start line longer than %d bytes", maxLine)
	}
	return line, nil
}

// cause finds what is behind an error of the readers above the bound.
func (x *Reader) cause(err error) error {
	var p textproto.ProtocolError
	switch {
	case x.bound.err == errBound:
		return bad(431, "longer than allowed")
	case x.bound.err != nil: // textproto takes the line that a broken connection cut for a malformed one
		err = x.bound.err
	case errors.As(err, &p):
		return bad(400, "malformed head")
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func (x *Reader) fieldsOf(h *Head) (err error) {
	if h.fields, err = x.text.ReadMIMEHeader(); err != nil {
		return x.cause(err)
	}
	n := 0
	for name, values := range h.fields {
		if strings.IndexFunc(name, notVisible) >= 0 {
			return bad(400, "malformed field name")
		}
		for _, v := range values {
			if n++; n > maxFields || len(v) > maxLine {
				return bad(431, "fields longer or more than allowed")
			}
			if strings.IndexFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) >= 0 {
				return bad(400, "control character in field %s", clip(name))
			}
		}
	}
	for _, v := range h.fields["Connection"] {
		for _, token := range strings.Split(v, ",") {
			h.Close = h.Close || strings.EqualFold(strings.TrimSpace(token), "close")
		}
	}
	h.Length, err = framing(h)
	return err
}

// framing tells how a body is bounded. Two ways at once are never guessed at: another message may hide in the body.
func framing(h *Head) (int64, error) {
	length, coding := h.fields["Content-Length"], h.fields["Transfer-Encoding"]
	switch {
	case len(length) > 0 && len(coding) > 0:
		return 0, bad(400, "both Content-Length and Transfer-Encoding")
	case len(length) > 1:
		return 0, bad(400, "%d lengths", len(length))
	case len(coding) > 1 || len(coding) == 1 && !strings.EqualFold(coding[0], "chunked"):
		return 0, bad(501, "transfer coding %q", clip(strings.Join(coding, ", ")))
	case len(coding) == 1:
		return Chunked, nil
	case len(length) == 0:
		return UntilEnd, nil
	}
	n, ok := Whole(length[0])
	if !ok {
		return 0, bad(400, "length %q is no whole number", clip(length[0]))
	}
	return n, nil
}

// Whole reads a number that is digits only and fits.
func Whole(s string) (int64, bool) {
	if s == "" || len(s) > 18 || strings.Trim(s, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

// Body reads a whole body of at most most bytes. One without a length ends with its connection and is whole where that
// ended in good order (RFC 9112, 6.3); a reset is no end.
func (x *Reader) Body(h *Head, most int) ([]byte, error) {
	switch {
	case h.Length == UntilEnd:
		x.bound.left, x.bound.err = int64(most)+1, nil
		b, err := io.ReadAll(io.LimitReader(x.buf, int64(most)+1))
		if len(b) > most {
			return nil, bad(413, "body of more than %d bytes", most)
		}
		return b, err
	case h.Length > int64(most):
		return nil, bad(413, "body of %d bytes, at most %d", h.Length, most)
	case h.Length >= 0:
		x.bound.left, x.bound.err = h.Length, nil
		b := make([]byte, h.Length)
		if _, err := io.ReadFull(x.buf, b); err != nil {
			return nil, x.cause(err)
		}
		return b, nil
	}
	x.bound.left, x.bound.err = 2*int64(most)+maxHead, nil // chunks of one byte each are no bodies
	b, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(x.buf), int64(most)+1))
	if err != nil {
		if x.bound.err == nil {
			return nil, bad(400, "malformed chunk")
		}
		return nil, x.cause(err)
	}
	if len(b) > most {
		return nil, bad(413, "body of more than %d bytes", most)
	}
	x.bound.left = maxHead
	if _, err := x.text.ReadMIMEHeader(); err != nil { // trailers mean nothing here
		return nil, x.cause(err)
	}
	return b, nil
}

// Stream is an endless chunked body. Of what comes in one go at most most bytes are taken at a time; whoever reads it
// bounds what a value in it may hold.
func (x *Reader) Stream(h *Head, most int) (io.Reader, error) {
	if h.Length != Chunked {
		return nil, bad(502, "the body is not chunked")
	}
	return &stream{x, httputil.NewChunkedReader(x.buf), int64(most)}, nil
}

type stream struct {
	x    *Reader
	r    io.Reader
	most int64
}

func (s *stream) Read(p []byte) (int, error) {
	s.x.bound.left = s.most + maxHead
	return s.r.Read(p[:min(int64(len(p)), s.most)])
}

// AppendField adds a field to a head; what could end the field early is left out of the value.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	for i := range len(value) {
		if c := value[i]; c >= ' ' && c != 0x7f || c == '\t' {
			b = append(b, c)
		}
	}
	return append(b, "\r\n"...)
}

// AppendEnd ends a head with its body's length and adds the body.
func AppendEnd(b, body []byte) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

func clip(s string) string {
	if len(s) > 32 {
		return s[:32] + "..."
	}
	return s
}
