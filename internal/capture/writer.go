package capture

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

const (
	defaultMaxBytes  = 256 << 20
	defaultQueueSize = 8192
	flushInterval    = time.Second // after which records are written although their block is not full

	minKeyBytes   = 16
	drawnKeyBytes = 32
)

// Config configures a Writer.
type Config struct {
	Folder    string          // is created if it does not exist
	MaxBytes  int64           // of all segments; 0: 256 MiB
	QueueSize int             // records that wait for the disk; 0: 8192
	Key       []byte          // by which names of objects are hashed
	Head      *pb.CaptureHead // of each segment; the writer sets its version and key
	Log       *slog.Logger
	// Create creates a segment file; nil: on disk, failing if it exists.
	Create func(name string) (io.WriteCloser, error)
}

// State is what a Writer has done so far.
type State struct {
	Enabled         bool
	Written, Lost   int64 // records written, and not written
	Bytes, MaxBytes int64 // of all segments
	Segments        int
	Since           time.Duration // when the capture was started, in ns since 1970; 0: never
	Folder          string
	LastError       string // of the last block; empty: it was written
}

// Writer writes what an engine notifies it of. It is an engine's observer: its methods RequestEnded and EndpointChanged never block, and drop
// and count records if the disk is too slow. All methods may be called by many goroutines at once. A goroutine of its own, which Close
// ends, writes the files.
type Writer struct {
	config  Config
	queue   chan message
	on      atomic.Bool
	lost    atomic.Int64
	written atomic.Int64
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed by run

	mu    sync.Mutex
	state State // but for On, Lines and Lost

	// Used by run alone.
	block         *blockBuilder
	mac           hash.Hash
	recordedLost  int64 // of lost, what the capture holds
	segment       io.WriteCloser
	segmentBytes  int64
	segmentNumber int                     // of the last one
	failed        bool                    // the last block could not be written
	endpoints     map[string]*pb.Captured // the last record of each endpoint, repeated in each segment
}

// message is one of: a request that ended, a record of an endpoint, a flush, after which flushed is closed.
type message struct {
	request  *engine.RequestRecord
	endpoint *pb.Captured
	flushed  chan struct{}
}

// ReadKey reads the key by which names of objects are hashed; if file is empty, it draws one. The same key makes the same object known again
// in another capture.
func ReadKey(file string) ([]byte, error) {
	if file == "" {
		key := make([]byte, drawnKeyBytes)
		_, err := rand.Read(key)
		return key, err
	}
	key, err := os.ReadFile(file)
	if err == nil && len(key) < minKeyBytes {
		err = fmt.Errorf("%s: %d bytes; a key needs %d or more", file, len(key), minKeyBytes)
	}
	return key, err
}

// Open starts a Writer. Nothing is written before Start. It fails if the folder can't be created.
func Open(config Config) (*Writer, error) {
	if config.MaxBytes <= 0 {
		config.MaxBytes = defaultMaxBytes
	}
	if config.QueueSize <= 0 {
		config.QueueSize = defaultQueueSize
	}
	if err := os.MkdirAll(config.Folder, 0o750); err != nil {
		return nil, fmt.Errorf("capture folder: %w", err)
	}
	if config.Create == nil {
		config.Create = createSegment
	}
	block, err := newBlockBuilder()
	if err != nil {
		return nil, err
	}
	config.Head = proto.Clone(config.Head).(*pb.CaptureHead)
	config.Head.Version = Version
	config.Head.Key = keyDigest(config.Key)
	w := &Writer{config: config, queue: make(chan message, config.QueueSize), stop: make(chan struct{}), done: make(chan struct{}),
		block: block, mac: hmac.New(sha256.New, config.Key), endpoints: map[string]*pb.Captured{}}
	w.state.Folder, w.state.MaxBytes = config.Folder, config.MaxBytes
	w.segmentNumber = w.lastSegmentNumber()
	go w.run()
	return w, nil
}

// keyDigest tells captures with the same key, and doesn't give the key away.
func keyDigest(key []byte) string {
	digest := sha256.Sum256(append([]byte("weirhaven capture key "), key...))
	return hex.EncodeToString(digest[:8])
}

// Start begins a capture.
func (w *Writer) Start() {
	w.mu.Lock()
	w.state.Since = time.Duration(time.Now().UnixNano())
	w.mu.Unlock()
	w.on.Store(true)
}

// Stop ends a capture. It returns once all records that were queued are written, or lost.
func (w *Writer) Stop() {
	w.on.Store(false)
	flushed := make(chan struct{})
	select {
	case w.queue <- message{flushed: flushed}:
	case <-w.done:
		return
	}
	select {
	case <-flushed:
	case <-w.done:
	}
}

// State returns what the writer has done so far.
func (w *Writer) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.state
	state.Enabled, state.Lost, state.Written = w.on.Load(), w.lost.Load(), w.written.Load()
	return state
}

// Close writes all records that are queued and ends the writer. Call it once.
func (w *Writer) Close() {
	w.on.Store(false)
	close(w.stop)
	<-w.done
}

// Enabled reports whether requests are captured; the engine records none otherwise.
func (w *Writer) Enabled() bool { return w.on.Load() }

// RequestEnded queues a request that ended. The writer keeps request.
func (w *Writer) RequestEnded(request *engine.RequestRecord) { w.enqueue(message{request: request}) }

// EndpointChanged queues the state of an endpoint. It is kept also while the writer is off: a capture that begins later needs it.
func (w *Writer) EndpointChanged(change engine.EndpointChange) {
	w.enqueue(message{endpoint: endpointRecord(change)})
}

// enqueue never blocks.
func (w *Writer) enqueue(m message) {
	select {
	case w.queue <- m:
	default:
		w.lost.Add(1)
	}
}

// run writes what is queued, until Close.
func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-w.queue:
			w.handle(m)
		case <-ticker.C:
			w.flush()
		case <-w.stop:
			w.finish()
			return
		}
	}
}

// finish writes what is still queued.
func (w *Writer) finish() {
	for {
		select {
		case m := <-w.queue:
			w.handle(m)
			continue
		default:
		}
		break
	}
	w.flush()
	if w.segment != nil {
		_ = w.segment.Close() // nobody is left to be notified
	}
}

func (w *Writer) handle(m message) {
	switch {
	case m.flushed != nil:
		w.flush()
		close(m.flushed)
	case m.endpoint != nil:
		w.rememberEndpoint(m.endpoint)
		if w.on.Load() || w.block.records > 0 {
			w.add(m.endpoint)
		}
	case m.request != nil:
		w.add(w.requestRecord(m.request))
	}
}

// rememberEndpoint keeps the last record of an endpoint that is not removed; its start time, if the new record has none.
func (w *Writer) rememberEndpoint(record *pb.Captured) {
	endpoint := record.GetBrick()
	if endpoint.Gone {
		delete(w.endpoints, endpoint.Name)
		return
	}
	if old := w.endpoints[endpoint.Name]; old != nil && endpoint.Started == 0 {
		endpoint.Started = old.GetBrick().Started
	}
	w.endpoints[endpoint.Name] = record
}

// add adds a record to the current block.
func (w *Writer) add(record *pb.Captured) {
	if err := w.block.add(record); err != nil {
		w.lost.Add(1)
		return
	}
	if w.block.full() {
		w.flush()
	}
}

// flush writes the current block. If that fails, its records are lost and counted, and the next block goes to a new segment: behind a torn
// block, a reader would have to find its place again.
func (w *Writer) flush() {
	if w.block.records == 0 {
		return
	}
	if lost := w.lost.Load(); lost > w.recordedLost {
		_ = w.block.add(&pb.Captured{At: time.Now().UnixNano(), What: &pb.Captured_Lost{Lost: uint64(lost - w.recordedLost)}}) // the count is in State, too
		w.recordedLost = lost
	}
	records := int64(w.block.records)
	err := w.write(w.block.finish())
	if err == nil {
		w.written.Add(records)
	} else {
		w.lost.Add(records)
		w.abandonSegment()
	}
	w.noteResult(err)
}

// noteResult notes the result of a write in State, and logs where it changed.
func (w *Writer) noteResult(err error) {
	w.mu.Lock()
	w.state.LastError = ""
	if err != nil {
		w.state.LastError = err.Error()
	}
	w.mu.Unlock()
	if failed := err != nil; failed != w.failed {
		w.failed = failed
		if failed {
			w.config.Log.Warn("writing the capture failed, its records are counted as lost", "err", err)
		} else {
			w.config.Log.Info("the capture is written again", "lost", w.lost.Load())
		}
	}
}
