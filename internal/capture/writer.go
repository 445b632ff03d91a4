package capture

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

type protoMessage = proto.Message

// Suffix of a segment's name.
const Suffix = ".wcap"

// Config is a writer's.
type Config struct {
	Folder string
	Most   int64 // bytes of all segments; 0: 256 MiB
	Queue  int   // lines that wait; 0: 8192
	Key    []byte
	Head   *pb.CaptureHead // but for version and key
	Log    *slog.Logger
	// Create opens a new file; nil: on disk.
	Create func(name string) (io.WriteCloser, error)
}

// State is what a writer has done so far.
type State struct {
	On                bool
	Lines, Lost       int64 // written, and not written
	Bytes, Bound      int64
	Segments          int
	Since             time.Duration // ns since 1970; 0: never on
	Folder, LastError string
}

// Writer writes what a host loop tells it. Its calls never wait for the disk; it is the loop's Tap.
type Writer struct {
	c       Config
	lines   chan any // *hostloop.Past, *wpb.Captured, bool (flush), or a chan bool (flush and tell)
	on      atomic.Bool
	lost    atomic.Int64
	written atomic.Int64
	told    int64 // lost lines that the capture itself tells
	mac     hash.Hash
	stop    chan struct{}
	done    chan struct{}

	mu    sync.Mutex
	state State

	pack   *packer
	out    io.WriteCloser
	size   int64
	no     int
	failed bool
	marks  map[string]*pb.Captured // the last known of each brick, repeated in each segment
}

const (
	segments  = 8 // of which the ring is made
	blockSize = 128 << 10
	flushTime = time.Second
)

// ReadKey reads a key file; an empty name draws a key.
func ReadKey(file string) ([]byte, error) {
	if file == "" {
		key := make([]byte, 32)
		_, err := rand.Read(key)
		return key, err
	}
	key, err := os.ReadFile(file)
	if err == nil && len(key) < 16 {
		err = fmt.Errorf("%s: %d bytes; a key needs 16 or more", file, len(key))
	}
	return key, err
}

// Open starts a writer. Nothing is written before Start.
func Open(c Config) (*Writer, error) {
	if c.Most <= 0 {
		c.Most = 256 << 20
	}
	if c.Queue <= 0 {
		c.Queue = 8192
	}
	if err := os.MkdirAll(c.Folder, 0o750); err != nil {
		return nil, fmt.Errorf("capture folder: %w", err)
	}
	if c.Create == nil {
		c.Create = func(name string) (io.WriteCloser, error) {
			return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
		}
	}
	pack, err := newPacker()
	if err != nil {
		return nil, err
	}
	c.Head = proto.Clone(c.Head).(*pb.CaptureHead)
	c.Head.Version = Version
	digest := sha256.Sum256(append([]byte("weirhaven capture key "), c.Key...))
	c.Head.Key = hex.EncodeToString(digest[:8])
	w := &Writer{c: c, lines: make(chan any, c.Queue), mac: hmac.New(sha256.New, c.Key), stop: make(chan struct{}), done: make(chan struct{}),
		pack: pack, marks: map[string]*pb.Captured{}}
	w.state.Folder, w.state.Bound = c.Folder, c.Most
	for _, f := range w.own() {
		var no int
		if _, err := fmt.Sscanf(strings.TrimPrefix(filepath.Base(f), w.prefix()), "%d", &no); err == nil {
			w.no = max(w.no, no)
		}
	}
	go w.run()
	return w, nil
}

func (w *Writer) prefix() string { return w.c.Head.Host + "." }

// own are this host's segments, oldest first.
func (w *Writer) own() []string {
	all, _ := filepath.Glob(filepath.Join(w.c.Folder, w.prefix()+"[0-9]*"+Suffix))
	slices.Sort(all)
	return all
}

// Start begins a capture.
func (w *Writer) Start() {
	w.mu.Lock()
	w.state.Since = time.Duration(time.Now().UnixNano())
	w.mu.Unlock()
	w.on.Store(true)
}

// Stop ends a capture. What was taken until then is on disk once it returns.
func (w *Writer) Stop() {
	w.on.Store(false)
	flushed := make(chan bool, 1)
	select {
	case w.lines <- flushed:
	case <-w.done:
		return
	}
	select {
	case <-flushed:
	case <-w.done:
	}
}

// State tells what it has done so far.
func (w *Writer) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.state
	s.On, s.Lost, s.Lines = w.on.Load(), w.lost.Load(), w.written.Load()
	return s
}

// Close writes what waits and ends.
func (w *Writer) Close() {
	w.on.Store(false)
	close(w.stop)
	<-w.done
}

func (w *Writer) offer(line any) {
	select {
	case w.lines <- line:
	default:
		w.lost.Add(1)
	}
}

// Enabled reports whether requests are captured; the engine records none otherwise.
func (w *Writer) Enabled() bool { return w.on.Load() }

// RequestEnded takes a request that is over.
func (w *Writer) RequestEnded(p *engine.RequestRecord) { w.offer(p) }

// EndpointChanged takes the state of an endpoint. It is kept also while the writer is off: a capture that begins later needs it.
func (w *Writer) EndpointChanged(change engine.EndpointChange) {
	w.offer(&pb.Captured{At: int64(change.ChangedAt), What: &pb.Captured_Brick{Brick: &pb.CapturedBrick{Name: change.Endpoint, Zone: change.Zone,
		Cell: int64(change.Shard), Serving: change.Serving, Gone: change.Removed, Started: int64(change.StartedAt)}}})
}

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(flushTime)
	defer tick.Stop()
	for {
		select {
		case l := <-w.lines:
			w.take(l)
		case <-tick.C:
			w.flush()
		case <-w.stop:
			for {
				select {
				case l := <-w.lines:
					w.take(l)
					continue
				default:
				}
				break
			}
			w.flush()
			if w.out != nil {
				_ = w.out.Close() // it ends: nobody is left to be notified
			}
			return
		}
	}
}

func (w *Writer) take(l any) {
	switch l := l.(type) {
	case chan bool:
		w.flush()
		l <- true
	case *pb.Captured:
		if b := l.GetBrick(); b.Gone {
			delete(w.marks, b.Name)
		} else {
			if old := w.marks[b.Name]; old != nil && b.Started == 0 {
				b.Started = old.GetBrick().Started
			}
			w.marks[b.Name] = l
		}
		if w.on.Load() || w.pack.lines > 0 {
			w.line(l)
		}
	case *engine.RequestRecord:
		w.line(w.captured(l))
	}
}

func (w *Writer) line(c *pb.Captured) {
	if err := w.pack.add(c); err != nil {
		w.lost.Add(1)
		return
	}
	if w.pack.plain.Len() >= blockSize {
		w.flush()
	}
}

// hash of an object's name: enough to know it again, no more.
func (w *Writer) hash(object string) uint64 {
	if object == "" {
		return 0
	}
	w.mac.Reset()
	_, _ = io.WriteString(w.mac, object) // a hash never fails
	return binary.LittleEndian.Uint64(w.mac.Sum(nil)) | 1
}

func (w *Writer) captured(p *engine.RequestRecord) *pb.Captured {
	c := &pb.CapturedCommand{Volume: p.Volume, Plan: p.Plan, QueueType: p.Class, Units: p.Units, Cell: int64(p.Shard), Repeat: p.Retry,
		Object: w.hash(p.Object), Timeout: int64(p.Timeout), Took: int64(p.Duration), Final: pb.CapturedCommand_Final(p.Result), Body: uint32(p.BodyBytes)}
	for _, t := range p.Attempts {
		c.Dispatch = append(c.Dispatch, &pb.CapturedDispatch{Brick: t.Endpoint, After: int64(t.SentAt - p.ReceivedAt), Took: int64(t.Duration), How: int32(t.Outcome)})
	}
	return &pb.Captured{At: int64(p.ReceivedAt), What: &pb.Captured_Command{Command: c}}
}

// flush writes a block. Where that fails its lines are lost and counted, and the next block goes to a new segment.
func (w *Writer) flush() {
	if w.pack.lines == 0 {
		return
	}
	if lost := w.lost.Load(); lost > w.told {
		_ = w.pack.add(&pb.Captured{At: time.Now().UnixNano(), What: &pb.Captured_Lost{Lost: uint64(lost - w.told)}})
		w.told = lost
	}
	lines := int64(w.pack.lines)
	block := w.pack.block()
	err := w.write(slices.Clone(block))
	if err != nil {
		w.lost.Add(lines)
		if w.out != nil {
			_ = w.out.Close() // the segment is given up already
			w.out = nil
		}
	} else {
		w.written.Add(lines)
	}
	w.mu.Lock()
	w.state.LastError = ""
	if err != nil {
		w.state.LastError = err.Error()
	}
	w.mu.Unlock()
	if (err != nil) != w.failed {
		if w.failed = err != nil; w.failed {
			w.c.Log.Warn("the capture can't be written; its lines are counted as lost", "err", err)
		} else {
			w.c.Log.Info("the capture is written again", "lost", w.lost.Load())
		}
	}
}

func (w *Writer) write(block []byte) error {
	if w.out != nil && w.size+int64(len(block)) > w.c.Most/segments {
		err := w.out.Close()
		if w.out = nil; err != nil {
			return err
		}
	}
	if w.out == nil {
		if err := w.open(); err != nil {
			return err
		}
	}
	n, err := w.out.Write(block)
	w.size += int64(n)
	w.mu.Lock()
	w.state.Bytes += int64(n)
	w.mu.Unlock()
	return err
}

// open begins a segment, and lets the oldest go where the ring is full.
func (w *Writer) open() error {
	old := w.own()
	sizes, total := make([]int64, len(old)), int64(0)
	for i, f := range old {
		if s, err := os.Stat(f); err == nil {
			sizes[i] = s.Size()
			total += s.Size()
		}
	}
	for len(old) > 0 && total > w.c.Most-w.c.Most/segments {
		if err := os.Remove(old[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("room for the capture: %w", err)
		}
		total -= sizes[0]
		old, sizes = old[1:], sizes[1:]
	}
	w.no++
	out, err := w.c.Create(filepath.Join(w.c.Folder, fmt.Sprintf("%s%06d%s", w.prefix(), w.no, Suffix)))
	if err != nil {
		return err
	}
	w.out, w.size = out, 0
	w.mu.Lock()
	w.state.Segments, w.state.Bytes = len(old)+1, total
	w.mu.Unlock()
	p, err := newPacker()
	if err != nil {
		return err
	}
	defer func() { _ = p.zip.Close() }() // it holds memory only
	_ = p.add(w.c.Head)                  // what can't be encoded is left out, here and below: a capture must not end for it
	names := make([]string, 0, len(w.marks))
	for name := range w.marks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		_ = p.add(w.marks[name])
	}
	n, err := out.Write(p.block())
	w.size = int64(n)
	return err
}
