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

const extentSize = 32 << 10

// memory is servers that keep what is written, by object.
type memory struct {
	mu      sync.Mutex
	objects map[string][]byte
	written chan bool
}

func (m *memory) Take(t *engine.Request) bool {
	m.mu.Lock()
	body := m.objects[t.Object]
	if t.Class == "write" {
		m.objects[t.Object] = t.Body
		body = nil
	}
	m.mu.Unlock()
	t.Respond(engine.Response{Result: engine.Served, Body: body})
	if t.Class == "write" && len(t.Body) > 0 {
		m.written <- true
	}
	return true
}

func (m *memory) Gone(*engine.Request)          {}
func (m *memory) Cells(string) ([]uint32, bool) { return []uint32{0}, true }

// clock is moved by the test.
type clock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *clock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) step(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// An upload that lasts longer than the age at which loose extents are swept, or during which the clock is stepped: what is
// acknowledged can be read.
func TestSweepSparesUploadInProgress(t *testing.T) {
	x, err := index.Open(filepath.Join(t.TempDir(), "index.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	servers, now := &memory{objects: map[string][]byte{}, written: make(chan bool, 10)}, &clock{now: 1000 * time.Hour}
	g := New(Config{Commands: servers, Index: x, ReadType: "read", WriteType: "write", Extent: extentSize, Unit: extentSize, Window: 2,
		UploadAge: 24 * time.Hour, LooseAge: time.Hour, Log: slog.New(slog.DiscardHandler), Now: now.read})
	content := bytes.Repeat([]byte("content."), 2*extentSize/8)
	stream, client := io.Pipe()
	type result struct {
		w     Written
		fault error
	}
	done := make(chan result, 1)
	go func() {
		w, fault := g.Write(context.Background(), "v", stream, 1<<30)
		done <- result{w, fault}
	}()
	client.Write(content[:extentSize])
	<-servers.written
	now.step(2 * time.Hour)
	if _, _, err := g.Sweep(context.Background()); err != nil {
		t.Fatal(err)
	}
	client.Write(content[extentSize:])
	client.Close()
	r := <-done
	if r.fault != nil {
		t.Fatal("the upload failed: ", r.fault)
	}
	o := &pb.ObjectRecord{Volume: "v", Name: "o", Size: r.w.Size, Extent: r.w.Extents}
	if err := x.Commit(o, nil, now.read()); err != nil {
		t.Fatal("the upload failed: ", err)
	}
	now.step(2 * time.Hour)
	if _, _, err := g.Sweep(context.Background()); err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := g.Read(context.Background(), o, decide.Range{From: 0, Size: o.Size}, &got, func() {}); err != nil || !bytes.Equal(got.Bytes(), content) {
		t.Errorf("an acknowledged object can't be read: %v, %d of %d bytes", err, got.Len(), len(content))
	}
}
