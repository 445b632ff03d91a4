package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// countingMemory counts what is charged, and refuses more than limit bytes; 0: no limit.
type countingMemory struct{ limit, charged, peak int }

var errRefused = errors.New("refused")

func (m *countingMemory) Charge(n int) error {
	if m.limit > 0 && m.charged+n > m.limit {
		return errRefused
	}
	m.charged += n
	m.peak = max(m.peak, m.charged)
	return nil
}

func (m *countingMemory) Release(n int) { m.charged -= n }

// Very many short fields must not cost a multiple of their size before they are refused.
func TestShortFieldsAreRefusedEarly(t *testing.T) {
	var head strings.Builder
	head.WriteString("GET /a HTTP/1.1\r\nHost: h\r\n")
	for i := 0; head.Len() < maxHead; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	memory := &countingMemory{}
	r := NewReaderWithMemory(strings.NewReader(head.String()), memory)
	var wrong *Error
	if _, err := r.Request(); !errors.As(err, &wrong) || wrong.Status != 431 {
		t.Errorf("%v, wanted status 431", err)
	}
	if memory.peak > 8<<10 {
		t.Errorf("%d bytes were charged", memory.peak)
	}
	r.Close()
	if memory.charged != 0 {
		t.Errorf("%d bytes stay charged", memory.charged)
	}
}

// A peer that stops within a body must hold no more than a multiple of what it has sent.
func TestStoppedBodyHoldsLittle(t *testing.T) {
	for _, framing := range []string{"Content-Length: 65536\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n10000\r\n"} {
		memory := &countingMemory{}
		r := NewReaderWithMemory(strings.NewReader("PUT /a HTTP/1.1\r\nHost: h\r\n"+framing+"abc"), memory)
		h, err := r.Request()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := r.Body(h, 64<<10); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v", framing, err)
		}
		if memory.peak > 8<<10 {
			t.Errorf("%q: %d bytes were charged", framing, memory.peak)
		}
		r.Close()
		if memory.charged != 0 {
			t.Errorf("%q: %d bytes stay charged", framing, memory.charged)
		}
	}
}

// A body that was read whole stays charged until its user releases it; whatever is refused on the way leaves nothing charged.
func TestChargesAreBalanced(t *testing.T) {
	body := strings.Repeat("b", 40<<10)
	text := fmt.Sprintf("PUT /a HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("l", 3000), len(body), body)
	for limit := 500; limit < 200_000; limit += 500 {
		memory := &countingMemory{limit: limit}
		r := NewReaderWithMemory(iotest.HalfReader(strings.NewReader(text)), memory)
		h, err := r.Request()
		var got []byte
		if err == nil {
			got, err = r.Body(h, 64<<10)
		}
		r.Close()
		if memory.charged != cap(got) || err == nil && string(got) != body || err != nil && !errors.Is(err, errRefused) {
			t.Fatalf("limit %d: %d bytes stay charged, the body has %d; %v", limit, memory.charged, cap(got), err)
		}
	}
}

// A chunk's line that ends with LF alone, or a size that other parsers read otherwise, may hide a request.
func TestMalformedChunks(t *testing.T) {
	head := "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, chunks := range []string{"3\nabc\r\n0\r\n\r\n", "3\r\nabc\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
		"\r\n3\r\nabc\r\n0\r\n\r\n", " 3\r\nabc\r\n0\r\n\r\n", "3;x\nabc\r\n0\r\n\r\n", "-1\r\n", "00000000000000003\r\nabc\r\n0\r\n\r\n"} {
		if got := readRequest(head + chunks); got != "400: malformed chunk" {
			t.Errorf("%q: %s", chunks, got)
		}
	}
	if got := readRequest(head + "3;name=value\r\nabc\r\n0\r\nTrailer: t\r\n\r\n"); got != `PUT /a "abc", 0 buffered` {
		t.Error(got)
	}
}

// Fields must mean the same to this parser as to the standard library's, or be refused.
func FuzzFields(f *testing.F) {
	f.Add([]byte("A: b\r\nc:d\n e\r\nA: \r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		in = append(slices.Clone(in), "\r\n\r\n"...)
		got, err := NewReader(bytes.NewReader(in)).readFields(maxHead)
		if err != nil {
			return
		}
		want, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(in))).ReadMIMEHeader()
		if err != nil {
			t.Fatalf("%q: accepted, but the standard library refuses it: %v", in, err)
		}
		h := Head{fields: got}
		for name, values := range want {
			if !slices.Equal(h.values(name), values) {
				t.Fatalf("%q: %s: %q, wanted %q", in, name, h.values(name), values)
			}
		}
		for _, f := range got {
			if want[f.name] == nil {
				t.Fatalf("%q: %s is not a field", in, f.name)
			}
		}
	})
}
