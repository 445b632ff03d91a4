package lineproto

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

func read(s string, maxBody int) ([]*Message, error) {
	r := NewReader(strings.NewReader(s), maxBody)
	for all := []*Message(nil); ; {
		m, err := r.Read()
		if err != nil {
			return all, err
		}
		all = append(all, m)
	}
}

// A message that was built reads back unchanged. A value with line breaks must not inject a field.
func TestRoundTrip(t *testing.T) {
	var o Builder
	o.Start(VerbRequest, 7).Text("Volume", "a\r\nEvil: b").Float("Units", 2.5).Duration("Timeout", 1500*time.Microsecond).End([]byte("x\r\n\r\ny"))
	o.Start(VerbCancel, 7).End(nil)
	ms, err := read(string(o.Buffer), 100)
	if !errors.Is(err, io.EOF) || len(ms) != 2 || ms[0].Verb != VerbRequest || ms[0].ID != 7 || string(ms[0].Body) != "x\r\n\r\ny" || ms[1].Verb != VerbCancel {
		t.Fatalf("%v %+v", err, ms)
	}
	if v := ms[0].Get("Volume"); v != "a  Evil: b" || ms[0].Get("Evil") != "" {
		t.Errorf("a value with line breaks injected a field: %q", v)
	}
	if d, err := ms[0].Duration("Timeout", 0); err != nil || d != 1500*time.Microsecond {
		t.Errorf("%v %v", d, err)
	}
}

// A peer sends oversized, truncated or malformed messages: each must give an error, and the reader must not allocate beyond its bounds.
// An unknown verb is no error, since it may come from a later version.
func TestBounds(t *testing.T) {
	for name, c := range map[string]struct {
		in        string
		wantError string
	}{
		"endless line":       {"RUN " + strings.Repeat("1", 1<<20), "longer than allowed"},
		"long line":          {"RUN " + strings.Repeat("1", 8<<10) + "\r\n\r\n", "longer than allowed"},
		"header bomb":        {"RUN 1\r\n" + strings.Repeat("A: b\r\n", 1<<16), "longer than allowed"},
		"many fields":        {"RUN 1\r\n" + strings.Repeat("A: b\r\n", 40) + "\r\n", "longer than allowed"},
		"long field":         {"RUN 1\r\nA: " + strings.Repeat("b", 5<<10) + "\r\n\r\n", "longer than allowed"},
		"body over bound":    {"RUN 1\r\nLength: 101\r\n\r\n", "longer than allowed"},
		"negative body":      {"RUN 1\r\nLength: -1\r\n\r\n", "longer than allowed"},
		"body shorter":       {"RUN 1\r\nLength: 10\r\n\r\nabc", "unexpected EOF"},
		"length no number":   {"RUN 1\r\nLength: ten\r\n\r\n", "not a whole number"},
		"cut in the head":    {"RUN 1\r\nA: b\r\n", "unexpected EOF"},
		"no verb":            {"\r\n\r\n", "no verb"},
		"small letters":      {"run 1\r\n\r\n", "capitals"},
		"id no number":       {"RUN x\r\n\r\n", "id is not a whole number"},
		"id too large":       {"RUN 99999999999999999999\r\n\r\n", "id is not a whole number"},
		"no colon":           {"RUN 1\r\nabc\r\n\r\n", "malformed"},
		"control characters": {"RUN 1\r\nA: b\x01c\r\n\r\n", "malformed"},
	} {
		if _, err := read(c.in, 100); err == nil || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: %v, wanted %q", name, err, c.wantError)
		}
	}
	if ms, err := read("STRANGE 3\r\nX: y\r\n\r\nRUN 4\r\n\r\n", 0); !errors.Is(err, io.EOF) || len(ms) != 2 {
		t.Errorf("an unknown verb must not end the connection: %v %v", err, ms)
	}
}

// A peer starts a message and does not complete it, or sends nothing: the read times out after stall or after idle.
func TestTimeouts(t *testing.T) {
	for _, sent := range []string{"", "RUN 1\r\nA", "RUN 1\r\nLength: 5\r\n\r\nab"} {
		a, b := net.Pipe()
		go a.Write([]byte(sent))
		_, err := NewConnReader(b, 10, 20*time.Millisecond, 20*time.Millisecond).Read()
		var n net.Error
		if !errors.As(err, &n) || !n.Timeout() {
			t.Errorf("%q: %v", sent, err)
		}
		a.Close()
	}
}

// A connection breaks while messages are queued. The sender must bound its queue and report which messages may have been written: none
// before it has a connection.
func TestSender(t *testing.T) {
	s := NewSender(10, time.Second)
	first, err1 := s.Send([]byte("12345"))
	second, err2 := s.Send([]byte("67890"))
	_, err3 := s.Send([]byte("x"))
	if err1 != nil || err2 != nil || !errors.Is(err3, ErrFull) || s.MayHaveBeenWritten(first) {
		t.Fatal(err1, err2, err3)
	}
	a, b := net.Pipe()
	s.Start(a)
	got := make([]byte, 10)
	if _, err := io.ReadFull(b, got); err != nil || string(got) != "1234567890" || !s.MayHaveBeenWritten(second) {
		t.Fatal(err, string(got))
	}
	b.Close()
	s.Send([]byte("lost"))
	<-s.Done()
	if _, err := s.Send([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	s = NewSender(10, time.Second)
	at, _ := s.Send([]byte("12345"))
	s.Close()
	if <-s.Done(); s.MayHaveBeenWritten(at) {
		t.Error("a message counts as written although there was no connection")
	}
}

func FuzzRead(f *testing.F) {
	for _, s := range []string{"RUN 1\r\nVolume: v\r\nLength: 2\r\n\r\nab", "HELLO\r\nVersion: weirhaven/1\r\n\r\n", "DONE 18446744073709551615\n\n",
		"LIST\r\nWhole: yes\r\nA:\r\n b\r\n\r\n", "X\r\n\r\nX\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in), 64)
		for range 100 {
			m, err := r.Read()
			if err != nil {
				return
			}
			var o Builder // a message that was read can be written and read again
			o.Start(m.Verb, m.ID)
			for k, vs := range m.Fields {
				if k != "Length" {
					o.Text(k, vs[0])
				}
			}
			again, err := NewReader(bytes.NewReader(o.End(m.Body).Buffer), 64).Read()
			if err != nil || again.Verb != m.Verb || again.ID != m.ID || !bytes.Equal(again.Body, m.Body) {
				t.Fatalf("%q became %q: %v", in, o.Buffer, err)
			}
		}
	})
}

func BenchmarkRead(b *testing.B) {
	var o Builder
	o.Start(VerbRequest, 123456).Text("Volume", "standard-17").Text("Queue-Type", "read").Text("Object", "standard-17/9").Text("Trace", "123456").
		Int("Cell", 3).Float("Units", 2).Duration("Timeout", time.Second).End(nil)
	b.ReportAllocs()
	r := NewReader(&endless{o.Buffer, 0}, 100)
	for b.Loop() {
		if _, err := r.Read(); err != nil {
			b.Fatal(err)
		}
	}
}

type endless struct {
	b  []byte
	at int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.b[e.at:])
	e.at = (e.at + n) % len(e.b)
	return n, nil
}
