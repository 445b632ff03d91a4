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

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// testRecord returns the i-th request of a load, received i milliseconds after its start.
func testRecord(i int) *engine.RequestRecord {
	return &engine.RequestRecord{Volume: fmt.Sprint("v", i%7), Plan: "basic", Class: "read", Object: fmt.Sprint("secret-object-", i%5), Units: 2, Shard: i % 3,
		ReceivedAt: time.Duration(i) * time.Millisecond, Duration: time.Millisecond, Timeout: time.Second,
		Attempts: []engine.AttemptRecord{{Endpoint: "b1", SentAt: time.Duration(i)*time.Millisecond + 5, Duration: 900, Outcome: policy.ErrorResponse}}}
}

func openWriter(t testing.TB, c Config) *Writer {
	t.Helper()
	if c.Key == nil {
		c.Key = []byte("0123456789abcdef")
	}
	if c.Head == nil {
		c.Head = &pb.CaptureHead{Host: "host-0", Life: 7}
	}
	c.Log = discardLog
	w, err := Open(c)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// 2000 captured requests must be read back, each with its attempts and its gateway. Requests for the same object must have the same hash, and no
// object name may be on disk.
func TestWriteAndRead(t *testing.T) {
	dir := t.TempDir()
	w := openWriter(t, Config{Folder: dir, QueueSize: 5000})
	w.EndpointChanged(engine.EndpointChange{Endpoint: "b1", Zone: "north", Shard: 4, Serving: true, StartedAt: 55, ChangedAt: 60}) // before Start: the capture needs it
	if w.Enabled() {
		t.Error("enabled before Start")
	}
	w.Start()
	for i := range 2000 {
		w.RequestEnded(testRecord(i))
	}
	w.Stop()
	state := w.State()
	w.Close()
	if state.Lost != 0 || state.Written != 2000 && state.Written != 2001 || state.Enabled {
		t.Errorf("%+v", state)
	}
	load, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	requests, objects, started := 0, map[uint64]bool{}, int64(0)
	for _, c := range load.Records {
		started = max(started, c.GetBrick().GetStarted())
		if x := c.GetCommand(); x != nil {
			if x.Host != "host-0" || c.At != int64(requests)*1e6 || x.Dispatch[0].How != int32(policy.ErrorResponse) || x.Dispatch[0].After != 5 || x.Timeout != 1e9 {
				t.Fatalf("%d: %v", requests, c)
			}
			objects[x.Object] = true
			requests++
		}
	}
	if requests != 2000 || len(objects) != 5 || started != 55 {
		t.Errorf("%d requests, %d objects, started %d", requests, len(objects), started)
	}
	all, _ := filepath.Glob(dir + "/*")
	for _, f := range all {
		if b, _ := os.ReadFile(f); bytes.Contains(b, []byte("secret")) {
			t.Error("an object's name is in the file")
		}
	}
}

// A gateway that is killed leaves a segment that ends at an arbitrary byte. Wherever it ends, the reader must return all whole blocks before the
// end and count the torn one. A flipped byte must cost only its block. A file that is not a segment, or of a later version, must be an error.
func TestTornSegments(t *testing.T) {
	dir := t.TempDir()
	w := openWriter(t, Config{Folder: dir})
	w.Start()
	for i := range 300 {
		w.RequestEnded(testRecord(i))
		if i%100 == 99 {
			w.Stop() // ends a block
			w.Start()
		}
	}
	w.Close()
	all, _ := filepath.Glob(dir + "/*" + Suffix)
	whole, err := os.ReadFile(all[0])
	if err != nil || len(all) != 1 {
		t.Fatal(err, all)
	}
	readRequests := func(b []byte) (n int, torn Torn, err error) {
		_, torn, err = ReadSegment(bytes.NewReader(b), func(c *pb.Captured) error {
			if c.GetCommand() != nil {
				n++
			}
			return nil
		})
		return n, torn, err
	}
	last := 0
	for cut := range len(whole) {
		n, torn, err := readRequests(whole[:cut])
		if err == nil && (n%100 != 0 || n < last) || n != 300 && err == nil && n < 300 && torn.Blocks == 0 && n%100 != 0 {
			t.Fatalf("cut at %d: %d requests, %+v, %v", cut, n, torn, err)
		}
		last = n
	}
	if n, torn, err := readRequests(whole); n != 300 || torn.Blocks != 0 || err != nil {
		t.Fatal(n, torn, err)
	}
	corrupted := bytes.Clone(whole)
	middle := bytes.LastIndex(corrupted, magic[:])
	middle = bytes.LastIndex(corrupted[:middle], magic[:]) // the second block with requests
	corrupted[middle+20] ^= 0xff
	if n, torn, err := readRequests(corrupted); n != 200 || torn.Blocks != 1 || err != nil {
		t.Errorf("%d requests, %+v, %v", n, torn, err)
	}
	if _, _, err := readRequests([]byte("something else altogether, and long enough")); err == nil {
		t.Error("a foreign file was read")
	}
	p, _ := newBlockBuilder()
	p.add(&pb.CaptureHead{Version: Version + 1})
	if _, _, err := readRequests(p.finish()); err == nil || !strings.Contains(err.Error(), "capture format 2 is not supported") {
		t.Error(err)
	}
}

// Three gateway processes write far more than the ring may hold. The ring must stay within its size limit and end with the newest request, and no
// record may be lost on the way.
func TestRingIsBounded(t *testing.T) {
	dir := t.TempDir()
	for life := range 3 {
		w := openWriter(t, Config{Folder: dir, MaxBytes: 64 << 10, QueueSize: 100})
		w.Start()
		for i := range 4000 {
			w.RequestEnded(testRecord(life*4000 + i))
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
	load, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, to := load.Span(); to != 11999*time.Millisecond {
		t.Errorf("the newest request is at %v", to)
	}
}

// fakeFile is a segment on a disk that blocks until unblocked is closed or, if full, takes only half of each block.
type fakeFile struct {
	mu        sync.Mutex
	unblocked chan bool
	full      bool
	content   bytes.Buffer
}

func (f *fakeFile) Write(b []byte) (int, error) {
	<-f.unblocked
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		n, _ := f.content.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.content.Write(b)
}
func (f *fakeFile) Close() error { return nil }

// While the disk blocks, RequestEnded must not block: records beyond the queue must be dropped and counted. Once the disk works again, the capture
// must hold the number of lost records.
func TestSlowDisk(t *testing.T) {
	file := &fakeFile{unblocked: make(chan bool)}
	w := openWriter(t, Config{Folder: t.TempDir(), QueueSize: 100, Create: func(string) (io.WriteCloser, error) { return file, nil }})
	w.Start()
	for i := range 20000 { // must not block although nothing is written; a block fills up meanwhile
		w.RequestEnded(testRecord(i))
	}
	lost := w.State().Lost
	if lost == 0 {
		t.Error("nothing was dropped")
	}
	close(file.unblocked)
	w.Stop()
	w.RequestEnded(testRecord(1))
	w.Close()
	recorded := uint64(0)
	_, _, err := ReadSegment(bytes.NewReader(file.content.Bytes()), func(c *pb.Captured) error {
		recorded += c.GetLost()
		return nil
	})
	if err != nil || recorded != uint64(w.State().Lost) {
		t.Errorf("%v: the capture says %d are lost, the writer %d", err, recorded, w.State().Lost)
	}
}

// While the disk is full, records that don't fit must be counted as lost. Once there is space again, the capture must continue in a new segment.
func TestFullDisk(t *testing.T) {
	var files []*fakeFile
	full := true
	w := openWriter(t, Config{Folder: t.TempDir(), QueueSize: 10000, Create: func(string) (io.WriteCloser, error) {
		file := &fakeFile{unblocked: make(chan bool), full: full}
		close(file.unblocked)
		files = append(files, file)
		return file, nil
	}})
	w.Start()
	for i := range 50 {
		w.RequestEnded(testRecord(i))
	}
	w.Stop()
	if s := w.State(); s.Lost != 50 || !strings.Contains(s.LastError, "no space") {
		t.Errorf("%+v", s)
	}
	full = false // no race: the writer is idle once Stop has returned
	w.Start()
	for i := range 50 {
		w.RequestEnded(testRecord(i))
	}
	w.Stop()
	w.Close()
	if s := w.State(); s.Lost != 50 || s.Written < 50 || s.LastError != "" {
		t.Errorf("%+v", s)
	}
	n := 0
	if _, _, err := ReadSegment(bytes.NewReader(files[len(files)-1].content.Bytes()), func(c *pb.Captured) error {
		if c.GetCommand() != nil {
			n++
		}
		return nil
	}); err != nil || n != 50 {
		t.Error(n, err)
	}
}

// The clocks of two gateways differ by an hour. Once aligned and merged, their requests must be in the order in which they were received, and a cut
// must keep the records of endpoints, which are needed to interpret the requests.
func TestMergedClocks(t *testing.T) {
	dir := t.TempDir()
	for gateway, offset := range []time.Duration{0, time.Hour} {
		w := openWriter(t, Config{Folder: dir, Head: &pb.CaptureHead{Host: fmt.Sprint("host-", gateway), Life: int64(gateway + 1)}})
		for b := range 5 {
			w.EndpointChanged(engine.EndpointChange{Endpoint: fmt.Sprint("b", b), Zone: "north", Shard: b, Serving: true,
				StartedAt: time.Duration(1e15+b*1000) + offset, ChangedAt: 1e15})
		}
		w.Start()
		for i := range 100 {
			record := testRecord(2*i + gateway)
			record.ReceivedAt += offset + 1e15
			w.RequestEnded(record)
		}
		w.Close()
	}
	load, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := load.Align(); err != nil || load.Offsets[1].Add != -time.Hour {
		t.Fatal(err, load.Offsets)
	}
	var out bytes.Buffer
	if err := load.Cut(50*time.Millisecond, 150*time.Millisecond).Write(&out); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "merged"+Suffix)
	os.WriteFile(file, out.Bytes(), 0o600)
	merged, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, c := range merged.Records {
		if x := c.GetCommand(); x != nil {
			if x.Host != fmt.Sprint("host-", n%2) || c.At != int64(1e15)+int64(50+n)*1e6 {
				t.Fatalf("%d: %v", n, c)
			}
			n++
		}
	}
	if n != 100 || merged.Heads[0].Host != "merged" {
		t.Error(n, merged.Heads)
	}
	if _, err := Read(t.TempDir()); err == nil {
		t.Error("an empty folder was read")
	}
}

// FuzzSegment checks that arbitrary bytes never make ReadSegment panic or report more torn bytes than there are.
func FuzzSegment(f *testing.F) {
	p, _ := newBlockBuilder()
	p.add(&pb.CaptureHead{Version: 1, Host: "h"})
	p.add(&pb.Captured{At: 3, What: &pb.Captured_Lost{Lost: 3}})
	f.Add(p.finish())
	f.Add([]byte("WCAP\x01\x00\x00\x00\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		head, torn, err := ReadSegment(bytes.NewReader(b), func(*pb.Captured) error { return nil })
		if err == nil && head == nil || torn.Bytes > int64(len(b)) {
			t.Error(head, torn, err)
		}
	})
}

// BenchmarkRequestEnded measures the time that capturing a request takes the engine, and the bytes per record on disk.
func BenchmarkRequestEnded(b *testing.B) {
	w := openWriter(b, Config{Folder: b.TempDir(), QueueSize: 1 << 20})
	w.Start()
	for i := 0; b.Loop(); i++ {
		w.RequestEnded(testRecord(i))
	}
	b.StopTimer()
	w.Close()
	s := w.State()
	b.ReportMetric(float64(s.Bytes)/max(float64(s.Written), 1), "bytes/line")
	if s.LastError != "" {
		b.Fatal(errors.New(s.LastError))
	}
}
