package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
	"weirhaven/policy"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func past(i int) *engine.RequestRecord {
	return &engine.RequestRecord{Volume: fmt.Sprint("v", i%7), Plan: "basic", Class: "read", Object: fmt.Sprint("secret-object-", i%5), Units: 2, Shard: i % 3,
		ReceivedAt: time.Duration(i) * time.Millisecond, Duration: time.Millisecond, Timeout: time.Second,
		Attempts: []engine.AttemptRecord{{Endpoint: "b1", SentAt: time.Duration(i)*time.Millisecond + 5, Duration: 900, Outcome: policy.ErrorResponse}}}
}

func open(t testing.TB, c Config) *Writer {
	t.Helper()
	if c.Key == nil {
		c.Key = []byte("0123456789abcdef")
	}
	if c.Head == nil {
		c.Head = &pb.CaptureHead{Host: "host-0", Life: 7}
	}
	c.Log = quiet
	w, err := Open(c)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func TestWriteAndRead(t *testing.T) {
	dir := t.TempDir()
	w := open(t, Config{Folder: dir, Queue: 5000})
	w.EndpointChanged(engine.EndpointChange{Endpoint: "b1", Zone: "north", Shard: 4, Serving: true, StartedAt: 55, ChangedAt: 60}) // before it was on: needed all the same
	if w.Enabled() {
		t.Error("on before Start")
	}
	w.Start()
	for i := range 2000 {
		w.RequestEnded(past(i))
	}
	w.Stop()
	s := w.State()
	w.Close()
	if s.Lost != 0 || s.Lines != 2000 && s.Lines != 2001 || s.On {
		t.Errorf("%+v", s)
	}
	l, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	n, same, started := 0, map[uint64]bool{}, int64(0)
	for _, c := range l.Lines {
		started = max(started, c.GetBrick().GetStarted())
		if x := c.GetCommand(); x != nil {
			if x.Host != "host-0" || c.At != int64(n)*1e6 || x.Dispatch[0].How != int32(policy.ErrorResponse) || x.Dispatch[0].After != 5 || x.Timeout != 1e9 {
				t.Fatalf("%d: %v", n, c)
			}
			same[x.Object] = true
			n++
		}
	}
	if n != 2000 || len(same) != 5 || started != 55 {
		t.Errorf("%d commands, %d objects, started %d", n, len(same), started)
	}
	all, _ := filepath.Glob(dir + "/*")
	for _, f := range all {
		if b, _ := os.ReadFile(f); bytes.Contains(b, []byte("secret")) {
			t.Error("an object's name is in the file")
		}
	}
}

// However a capture is cut off, all whole blocks before the cut are read, and what is lost is told. Bytes spoilt in the middle cost
// their block.
func TestTorn(t *testing.T) {
	dir := t.TempDir()
	w := open(t, Config{Folder: dir})
	w.Start()
	for i := range 300 {
		w.RequestEnded(past(i))
		if i%100 == 99 {
			w.Stop() // a block
			w.Start()
		}
	}
	w.Close()
	all, _ := filepath.Glob(dir + "/*" + Suffix)
	whole, err := os.ReadFile(all[0])
	if err != nil || len(all) != 1 {
		t.Fatal(err, all)
	}
	count := func(b []byte) (n int, torn Torn, err error) {
		_, torn, err = Segment(bytes.NewReader(b), func(c *pb.Captured) error {
			if c.GetCommand() != nil {
				n++
			}
			return nil
		})
		return n, torn, err
	}
	last := 0
	for cut := range len(whole) {
		n, torn, err := count(whole[:cut])
		if err == nil && (n%100 != 0 || n < last) || n != 300 && err == nil && n < 300 && torn.Blocks == 0 && n%100 != 0 {
			t.Fatalf("cut at %d: %d commands, %+v, %v", cut, n, torn, err)
		}
		last = n
	}
	if n, torn, err := count(whole); n != 300 || torn.Blocks != 0 || err != nil {
		t.Fatal(n, torn, err)
	}
	spoilt := bytes.Clone(whole)
	middle := bytes.LastIndex(spoilt, magic[:])
	middle = bytes.LastIndex(spoilt[:middle], magic[:]) // the second block of commands
	spoilt[middle+20] ^= 0xff
	if n, torn, err := count(spoilt); n != 200 || torn.Blocks != 1 || err != nil {
		t.Errorf("%d commands, %+v, %v", n, torn, err)
	}
	if _, _, err := count([]byte("something else altogether, and long enough")); err == nil {
		t.Error("a foreign file was read")
	}
	p, _ := newPacker()
	p.add(&pb.CaptureHead{Version: Version + 1})
	if _, _, err := count(p.block()); err == nil || !strings.Contains(err.Error(), "form 2") {
		t.Error(err)
	}
}

func TestRingIsBounded(t *testing.T) {
	dir := t.TempDir()
	for life := range 3 {
		w := open(t, Config{Folder: dir, Most: 64 << 10, Queue: 100})
		w.Start()
		for i := range 4000 {
			w.RequestEnded(past(life*4000 + i))
			if i%40 == 39 {
				w.Stop()
				w.Start()
			}
		}
		w.Close()
		if s := w.State(); s.Lost != 0 {
			t.Errorf("%+v", s)
		}
		total := int64(0)
		all, _ := filepath.Glob(dir + "/*")
		for _, f := range all {
			s, _ := os.Stat(f)
			total += s.Size()
		}
		if total > 72<<10 || total < 32<<10 {
			t.Errorf("%d bytes in %d segments of at most %d", total, len(all), 64<<10)
		}
	}
	l, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, to := l.Span(); to != 11999*time.Millisecond {
		t.Errorf("the newest line is at %v", to)
	}
}

type gate struct {
	mu    sync.Mutex
	open  chan bool
	fails bool
	got   bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fails {
		n, _ := g.got.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return g.got.Write(b)
}
func (g *gate) Close() error { return nil }

// A disk that takes nothing never holds the loop up: lines beyond the queue are dropped and counted, and the capture says how many.
func TestSlowDisk(t *testing.T) {
	g := &gate{open: make(chan bool)}
	w := open(t, Config{Folder: t.TempDir(), Queue: 100, Create: func(string) (io.WriteCloser, error) { return g, nil }})
	w.Start()
	for i := range 20000 { // must come back though nothing is ever written; a block is full somewhere on the way
		w.RequestEnded(past(i))
	}
	lost := w.State().Lost
	if lost == 0 {
		t.Error("nothing was dropped")
	}
	close(g.open)
	w.Stop()
	w.RequestEnded(past(1))
	w.Close()
	told := uint64(0)
	_, _, err := Segment(bytes.NewReader(g.got.Bytes()), func(c *pb.Captured) error {
		told += c.GetLost()
		return nil
	})
	if err != nil || told != uint64(w.State().Lost) {
		t.Errorf("%v: the capture tells %d lost, the writer %d", err, told, w.State().Lost)
	}
}

// A full disk costs the lines of the blocks that did not fit; once there is room the capture goes on.
func TestFullDisk(t *testing.T) {
	var files []*gate
	fails := true
	w := open(t, Config{Folder: t.TempDir(), Queue: 10000, Create: func(string) (io.WriteCloser, error) {
		g := &gate{open: make(chan bool), fails: fails}
		close(g.open)
		files = append(files, g)
		return g, nil
	}})
	w.Start()
	for i := range 50 {
		w.RequestEnded(past(i))
	}
	w.Stop()
	if s := w.State(); s.Lost != 50 || !strings.Contains(s.LastError, "no space") {
		t.Errorf("%+v", s)
	}
	fails = false // the writer has nothing to do: Stop came back
	w.Start()
	for i := range 50 {
		w.RequestEnded(past(i))
	}
	w.Stop()
	w.Close()
	if s := w.State(); s.Lost != 50 || s.Lines < 50 || s.LastError != "" {
		t.Errorf("%+v", s)
	}
	n := 0
	if _, _, err := Segment(bytes.NewReader(files[len(files)-1].got.Bytes()), func(c *pb.Captured) error {
		if c.GetCommand() != nil {
			n++
		}
		return nil
	}); err != nil || n != 50 {
		t.Error(n, err)
	}
}

// Two hosts whose clocks differ by an hour come out in the order in which things happened; a cut keeps the bricks.
func TestMerge(t *testing.T) {
	dir := t.TempDir()
	for h, off := range []time.Duration{0, time.Hour} {
		w := open(t, Config{Folder: dir, Head: &pb.CaptureHead{Host: fmt.Sprint("host-", h), Life: int64(h + 1)}})
		for b := range 5 {
			w.EndpointChanged(engine.EndpointChange{Endpoint: fmt.Sprint("b", b), Zone: "north", Shard: b, Serving: true,
				StartedAt: time.Duration(1e15+b*1000) + off, ChangedAt: 1e15})
		}
		w.Start()
		for i := range 100 {
			p := past(2*i + h)
			p.ReceivedAt += off + 1e15
			w.RequestEnded(p)
		}
		w.Close()
	}
	l, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Align(); err != nil || l.Offset[1].Add != -time.Hour {
		t.Fatal(err, l.Offset)
	}
	var out bytes.Buffer
	if err := l.Cut(50*time.Millisecond, 150*time.Millisecond).Write(&out); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "merged"+Suffix)
	os.WriteFile(file, out.Bytes(), 0o600)
	m, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, c := range m.Lines {
		if x := c.GetCommand(); x != nil {
			if x.Host != fmt.Sprint("host-", n%2) || c.At != int64(1e15)+int64(50+n)*1e6 {
				t.Fatalf("%d: %v", n, c)
			}
			n++
		}
	}
	if n != 100 || m.Heads[0].Host != "merged" {
		t.Error(n, m.Heads)
	}
	if _, err := Read(t.TempDir()); err == nil {
		t.Error("an empty folder was read")
	}
}

func FuzzSegment(f *testing.F) {
	p, _ := newPacker()
	p.add(&pb.CaptureHead{Version: 1, Host: "h"})
	p.add(&pb.Captured{At: 3, What: &pb.Captured_Lost{Lost: 3}})
	f.Add(p.block())
	f.Add([]byte("WCAP\x01\x00\x00\x00\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		head, torn, err := Segment(bytes.NewReader(b), func(*pb.Captured) error { return nil })
		if err == nil && head == nil || torn.Bytes > int64(len(b)) {
			t.Error(head, torn, err)
		}
	})
}

// What a line costs the host loop, and what it takes on disk.
func BenchmarkOver(b *testing.B) {
	w := open(b, Config{Folder: b.TempDir(), Queue: 1 << 20})
	w.Start()
	for i := 0; b.Loop(); i++ {
		w.RequestEnded(past(i))
	}
	b.StopTimer()
	w.Close()
	s := w.State()
	b.ReportMetric(float64(s.Bytes)/max(float64(s.Lines), 1), "bytes/line")
	if s.LastError != "" {
		b.Fatal(errors.New(s.LastError))
	}
}
