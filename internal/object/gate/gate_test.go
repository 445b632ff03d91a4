package gate

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/index"
	"weirhaven/internal/pb"
)

const testExtentBytes = 32 << 10

// fakeEngine serves every request from memory. Its objects are keyed by name.
type fakeEngine struct {
	mu      sync.Mutex
	objects map[string][]byte
	written chan bool
}

func (e *fakeEngine) Submit(request *engine.Request) bool {
	e.mu.Lock()
	body := e.objects[request.Object]
	if request.Class == "write" {
		e.objects[request.Object] = request.Body
		body = nil
	}
	e.mu.Unlock()
	request.Respond(engine.Response{Result: engine.Served, Body: body})
	if request.Class == "write" && len(request.Body) > 0 {
		e.written <- true
	}
	return true
}

func (e *fakeEngine) ClientDisconnected(*engine.Request) {}
func (e *fakeEngine) Shards(string) ([]uint32, bool)     { return []uint32{0}, true }

// manualClock is a clock that advances only when the test calls step.
type manualClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *manualClock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) step(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// Guards against the sweep removing extents of an upload in progress: with a slow client or after a clock step, the upload takes longer
// than IntentTimeout. The sweep must not remove its extents, and the acknowledged object must be readable.
func TestSweepSparesUploadInProgress(t *testing.T) {
	idx, err := index.Open(filepath.Join(t.TempDir(), "index.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer idx.Close()
	fake, testClock := &fakeEngine{objects: map[string][]byte{}, written: make(chan bool, 10)}, &manualClock{now: 1000 * time.Hour}
	g := New(Config{Engine: fake, Index: idx, ReadClass: "read", WriteClass: "write", ExtentBytes: testExtentBytes, UnitBytes: testExtentBytes, MaxInFlight: 2,
		UploadIdleTimeout: 24 * time.Hour, IntentTimeout: time.Hour, Log: slog.New(slog.DiscardHandler), Now: testClock.read})
	content := bytes.Repeat([]byte("content."), 2*testExtentBytes/8)
	stream, client := io.Pipe()
	type result struct {
		w     WriteResult
		fault error
	}
	done := make(chan result, 1)
	go func() {
		written, fault := g.Write(context.Background(), "v", stream, 1<<30)
		done <- result{written, fault}
	}()
	client.Write(content[:testExtentBytes])
	<-fake.written
	testClock.step(2 * time.Hour)
	if _, _, err := g.Sweep(context.Background()); err != nil {
		t.Fatal(err)
	}
	client.Write(content[testExtentBytes:])
	client.Close()
	outcome := <-done
	if outcome.fault != nil {
		t.Fatal("writing the extents failed: ", outcome.fault)
	}
	object := &pb.ObjectRecord{Volume: "v", Name: "o", Size: outcome.w.Size, Extent: outcome.w.Extents}
	if err := idx.Commit(object, nil, testClock.read()); err != nil {
		t.Fatal("the commit failed: ", err)
	}
	testClock.step(2 * time.Hour)
	if _, _, err := g.Sweep(context.Background()); err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := g.Read(context.Background(), object, decide.Range{From: 0, Size: object.Size}, &got, func() {}); err != nil || !bytes.Equal(got.Bytes(), content) {
		t.Errorf("an acknowledged object can't be read: %v, %d of %d bytes", err, got.Len(), len(content))
	}
}
