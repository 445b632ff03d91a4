// Package gate turns objects into commands of the host: an object lies in extents of fixed size, each one piece on a brick; a write is
// one command an extent, a range read one command for each extent it touches. Which brick a command goes to, whether it is sent
// again, waits or is refused, the module alone decides. Memory is bounded by the window of extents on their way.
package gate

import (
	"bytes"
	"context"
	"crypto/md5"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/index"
	"weirhaven/internal/pb"
)

// Commands hands a command to the host loop. It returns false where the loop takes none; else Answer is called once, unless Gone
// came first.
type Commands interface {
	Take(t *engine.Request) bool
	Gone(t *engine.Request)
	// Cells are the cells where a volume's new data may lie; false: no such volume.
	Cells(volume string) ([]uint32, bool)
}

// Config is a gate's.
type Config struct {
	Commands            Commands
	Index               *index.Index
	ReadType, WriteType string
	Extent, Unit        int64
	Window              int
	UploadAge, LooseAge time.Duration
	Log                 *slog.Logger
	Now                 func() time.Duration
}

// Gate is one while the host runs.
type Gate struct {
	c       Config
	mu      sync.Mutex
	readers map[*reader]bool
	writing map[string]bool // extents that this process writes, or has written for something that will hold them
}

type reader struct{ since time.Duration }

// New makes one.
func New(c Config) *Gate { return &Gate{c: c, readers: map[*reader]bool{}, writing: map[string]bool{}} }

// Now is the clock by which extents age: it moves with real time, not with the wall clock.
func (g *Gate) Now() time.Duration { return g.c.Now() }

// Reading keeps what an object is made of from being swept until done is called, though it be replaced meanwhile: call it before the
// object is looked up.
func (g *Gate) Reading() (done func()) {
	r := &reader{g.c.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers[r] = true
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.readers, r)
	}
}

// oldest is when the oldest reader began; now, where there is none.
func (g *Gate) oldest(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.readers {
		now = min(now, r.since)
	}
	return now
}

// Index is what it keeps.
func (g *Gate) Index() *index.Index { return g.c.Index }

// Volume tells whether there is one of the name.
func (g *Gate) Volume(name string) bool {
	_, ok := g.c.Commands.Cells(name)
	return ok
}

var table = crc32.MakeTable(crc32.Castagnoli)

// run runs one command to its final answer. A client that goes away takes its command with it.
func (g *Gate) run(ctx context.Context, t *engine.Request) ([]byte, *decide.Fault) {
	done := make(chan engine.Response, 1)
	t.Respond = func(a engine.Response) { done <- a }
	if !g.c.Commands.Take(t) {
		return nil, decide.End(false, true, false, 0)
	}
	select {
	case a := <-done:
		if f := decide.End(a.Result == engine.Served, a.Result == engine.Rejected, a.MayHaveRun, a.RetryAfter); f != nil {
			return nil, f
		}
		return a.Body, nil
	case <-ctx.Done():
		g.c.Commands.Gone(t)
		return nil, decide.Internal.With("The client went away.")
	}
}

func newID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// NewUpload is an id for an upload.
func NewUpload() string { return newID() }

// Written is what came of a stream of bytes.
type Written struct {
	Extents []*pb.ExtentRecord
	Size    int64
	ETag    string // MD5, in hex

	gate  *Gate
	tried []*pb.ExtentRecord
}

// Done lets the sweep have what nothing came to hold. It is to be called once something holds the extents, or they are doomed.
func (w *Written) Done() {
	if w.gate == nil {
		return
	}
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	for _, e := range w.tried {
		delete(w.gate.writing, e.Id)
	}
}

// Write stores a stream as extents. What it stored is loose: the caller lets something hold it, or dooms it, and then calls Done.
// Where it fails it has doomed all by itself.
func (g *Gate) Write(ctx context.Context, volume string, in io.Reader, most int64) (w Written, fault error) {
	cells, ok := g.c.Commands.Cells(volume)
	if !ok {
		f := decide.NoSuchBucket
		return w, &f
	}
	if len(cells) == 0 {
		return w, decide.Unavailable.With("No brick serves the volume.")
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var first error
	var all []*pb.ExtentRecord // every id that was ever intended
	fail := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		if first == nil {
			first = err
			stop()
		}
	}
	window := make(chan bool, g.c.Window)
	buffers := sync.Pool{New: func() any { b := make([]byte, g.c.Extent); return &b }}
	few := make([]byte, min(g.c.Extent, 16<<10))
	digest := md5.New()
	for ctx.Err() == nil {
		select {
		case window <- true:
		case <-ctx.Done():
			continue
		}
		n, err := io.ReadFull(in, few) // a client that is slow holds no more than this
		buf := few
		var pooled *[]byte // buf, if it came from buffers
		if err == nil && g.c.Extent > int64(len(few)) {
			pooled = buffers.Get().(*[]byte)
			buf = *pooled
			copy(buf, few)
			var more int
			more, err = io.ReadFull(in, buf[n:])
			if n += more; errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // the stream ended just there: what is read is the last extent
			}
		} else if n > 0 {
			buf = bytes.Clone(few[:n])
		}
		if n > 0 {
			digest.Write(buf[:n])
			w.Size += int64(n)
			mu.Lock()
			at := len(w.Extents)
			w.Extents = append(w.Extents, nil)
			mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { <-window }()
				e, tried, f := g.extent(ctx, volume, cells, buf[:n])
				if pooled != nil {
					buffers.Put(pooled)
				}
				mu.Lock()
				all = append(all, tried...)
				w.Extents[at] = e
				mu.Unlock()
				if f != nil {
					fail(f)
				}
			}()
		} else {
			<-window
		}
		if w.Size > most {
			fail(decide.TooBig.With("At most %d.", most))
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && n > 0 {
			if errors.Is(err, io.ErrUnexpectedEOF) { // the stream's own end, or that it broke off: the next read tells
				if _, again := in.Read(make([]byte, 1)); again != nil && !errors.Is(again, io.EOF) {
					fail(broken(again))
				}
			}
			break
		}
		if err != nil {
			fail(broken(err))
			break
		}
	}
	wg.Wait()
	w.gate, w.tried = g, all
	if first == nil && ctx.Err() != nil {
		first = decide.Incomplete.With("The client went away.")
	}
	if first != nil {
		if err := g.c.Index.Abandon(volume, all, g.c.Now()); err != nil {
			g.c.Log.Warn("extents that were given up stay loose until they are old", "err", err)
		}
		w.Done()
		return w, first
	}
	// Ids that were given up on the way are doomed; the others are the caller's.
	var lost []*pb.ExtentRecord
	kept := map[string]bool{}
	for _, e := range w.Extents {
		kept[e.Id] = true
	}
	for _, e := range all {
		if !kept[e.Id] {
			lost = append(lost, e)
		}
	}
	if len(lost) > 0 {
		if err := g.c.Index.Abandon(volume, lost, g.c.Now()); err != nil {
			g.c.Log.Warn("extents that were given up stay loose until they are old", "err", err)
		}
	}
	w.ETag = sum(digest)
	return w, nil
}

func sum(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)) }

func broken(err error) error {
	var f *decide.Fault
	if errors.As(err, &f) {
		return f
	}
	return decide.Incomplete.With("(%v)", err)
}

// extent writes one, under an id of its own: no two tries of a client can touch each other's bytes. Whether the command is sent again is
// the module's decision, not made here.
func (g *Gate) extent(ctx context.Context, volume string, cells []uint32, b []byte) (e *pb.ExtentRecord, tried []*pb.ExtentRecord, fault error) {
	id := newID()
	e = &pb.ExtentRecord{Id: id, Cell: decide.Cells(cells, id)[0], Size: int64(len(b)), Sum: crc32.Checksum(b, table)}
	tried = []*pb.ExtentRecord{e}
	g.mu.Lock()
	g.writing[id] = true
	g.mu.Unlock()
	if err := g.c.Index.RecordIntent(volume, tried, g.c.Now()); err != nil {
		g.c.Log.Warn("an extent can't be written down, so it is not written", "err", err)
		return nil, tried, decide.Unavailable.With("The index takes no writes.")
	}
	body := make([]byte, len(b)) // the loop's from here on: the buffer is used again
	copy(body, b)
	t := &engine.Request{Volume: volume, Class: g.c.WriteType, Object: "x/" + e.Id, Tag: e.Id, Shard: int(e.Cell), Units: decide.Units(e.Size, g.c.Unit), Body: body}
	if _, f := g.run(ctx, t); f != nil {
		return nil, tried, f
	}
	return e, tried, nil
}

// Read writes a range of an object to out, in order, extents on their way at once as the window allows. Before the first byte goes out
// its extent is there and sums up, so that a failure then can still be told as one; later ones end the stream.
func (g *Gate) Read(ctx context.Context, o *pb.ObjectRecord, r decide.Range, out io.Writer, begin func()) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	type got struct {
		b []byte
		f error
	}
	pieces := decide.Pieces(o.Extent, r)
	results := make([]chan got, len(pieces))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	next := 0
	ask := func() {
		if next >= len(pieces) {
			return
		}
		p, to := pieces[next], make(chan got, 1)
		results[next] = to
		next++
		wg.Add(1)
		go func() {
			defer wg.Done()
			b, err := g.piece(ctx, o, p)
			to <- got{b, err}
		}()
	}
	for range g.c.Window {
		ask()
	}
	if len(pieces) == 0 && begin != nil {
		begin()
	}
	for i := range pieces {
		x := <-results[i]
		if x.f != nil {
			return x.f
		}
		if i == 0 && begin != nil {
			begin()
		}
		if _, err := out.Write(x.b); err != nil {
			return fmt.Errorf("the client went away: %w", err)
		}
		ask() // only now: what the client does not take is not read
	}
	return nil
}

func (g *Gate) piece(ctx context.Context, o *pb.ObjectRecord, p decide.Piece) ([]byte, error) {
	e := p.Extent
	b, f := g.run(ctx, &engine.Request{Volume: o.Volume, Class: g.c.ReadType, Object: "x/" + e.Id, Shard: int(e.Cell), Units: decide.Units(e.Size, g.c.Unit)})
	if f != nil {
		return nil, f
	}
	if int64(len(b)) != e.Size || crc32.Checksum(b, table) != e.Sum {
		g.c.Log.Error("an extent does not have the bytes it was written with", "volume", o.Volume, "object", o.Name, "extent", e.Id, "cell", e.Cell, "bytes", len(b), "want", e.Size)
		f := decide.Damaged
		return nil, &f
	}
	return b[p.From : p.From+p.Size], nil
}

// leftOver leaves out what this process still writes: an upload may last longer than any age.
func (g *Gate) leftOver(found []*pb.LooseRecord) []*pb.LooseRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(found, func(l *pb.LooseRecord) bool { return !l.Doomed && g.writing[l.Extent.Id] })
}

// Sweep gives old uploads up and removes what nothing holds: its bytes are overwritten by none, then it is forgotten. It tells how many
// extents went, and how many are loose still.
func (g *Gate) Sweep(ctx context.Context) (removed, left int, err error) {
	now := g.c.Now()
	old, err := g.c.Index.IdleUploads(g.c.UploadAge, now)
	if err != nil {
		return 0, 0, err
	}
	for _, u := range old {
		g.c.Log.Info("an upload was given up: nothing was added for long", "volume", u.Volume, "name", u.Name, "upload", u.Id)
		if err := g.c.Index.AbortUpload(u.Volume, u.Name, u.Id, now); err != nil {
			return 0, 0, err
		}
	}
	const batch = 256
	loose, all, err := g.c.Index.RemovableExtents(g.c.LooseAge, now, g.oldest(g.c.Now()+1), batch)
	if err != nil {
		return 0, all, err
	}
	if loose, err = g.c.Index.ClaimForRemoval(g.leftOver(loose)); err != nil {
		return 0, all, err
	}
	var gone []string
	for _, l := range loose {
		t := &engine.Request{Volume: l.Volume, Class: g.c.WriteType, Object: "x/" + l.Extent.Id, Tag: l.Extent.Id + "-gone", Shard: int(l.Extent.Cell), Units: 1}
		if _, f := g.run(ctx, t); f == nil {
			gone = append(gone, l.Extent.Id)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if len(gone) > 0 {
		err = g.c.Index.Forget(gone)
	}
	return len(gone), all - len(gone), err
}
