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
	flushInterval    = time.Second // interval at which a block is written even if it is not full

	minKeyBytes    = 16
	randomKeyBytes = 32
)

// Config configures a Writer.
type Config struct {
	Folder    string          // created if it does not exist
	MaxBytes  int64           // limit for all segments together; 0: 256 MiB
	QueueSize int             // records that may wait to be written; 0: 8192
	Key       []byte          // key of the hash of object names
	Head      *pb.CaptureHead // head of each segment; the writer sets its version and key
	Log       *slog.Logger
	// Create creates a segment file; nil: creates it on disk and fails if it exists.
	Create func(name string) (io.WriteCloser, error)
}

// State is the state of a Writer and its counters.
type State struct {
	Enabled         bool
	Written, Lost   int64 // records written, and records lost
	Bytes, MaxBytes int64 // size of all segments, and its limit
	Segments        int
	Since           time.Duration // when the capture was last started, since 1970; 0: never
	Folder          string
	LastError       string // error of the last write; empty: it succeeded
}

// Writer writes the records of an engine to disk. It is an observer of the engine: RequestEnded and EndpointChanged never block, and drop and
// count records if the disk is too slow. All methods are safe for concurrent use. A goroutine, which Close ends, writes the files.
type Writer struct {
	config  Config
	queue   chan message
	on      atomic.Bool
	lost    atomic.Int64
	written atomic.Int64
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed by run

	mu    sync.Mutex
	state State // without Enabled, Written and Lost, which State fills in

	// The fields below are used by run only.
	block         *blockBuilder
	mac           hash.Hash
	recordedLost  int64 // part of lost that the capture holds already
	segment       io.WriteCloser
	segmentBytes  int64
	segmentNumber int                     // number of the last segment
	failed        bool                    // whether the last write failed
	endpoints     map[string]*pb.Captured // last record of each endpoint, written at the start of each segment
}

// message is a request that ended, a record of an endpoint, or a request to flush; flushed is closed once that is done.
type message struct {
	request  *engine.RequestRecord
	endpoint *pb.Captured
	flushed  chan struct{}
}

// ReadKey reads the key of the hash of object names from a file; if file is empty, it generates a random key. With the same key, an object has
// the same hash in all captures.
func ReadKey(file string) ([]byte, error) {
	if file == "" {
		key := make([]byte, randomKeyBytes)
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

// keyDigest returns a digest that identifies the key without disclosing it.
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

// Stop ends a capture. It returns once all queued records are written or lost.
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

// State returns the state of the writer.
func (w *Writer) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.state
	state.Enabled, state.Lost, state.Written = w.on.Load(), w.lost.Load(), w.written.Load()
	return state
}

// Close writes all queued records and ends the writer. It must be called only once.
func (w *Writer) Close() {
	w.on.Store(false)
	close(w.stop)
	<-w.done
}

// Enabled reports whether requests are captured. If not, the engine doesn't record them.
func (w *Writer) Enabled() bool { return w.on.Load() }

// RequestEnded queues a request that ended. The caller must not modify request afterwards.
func (w *Writer) RequestEnded(request *engine.RequestRecord) { w.enqueue(message{request: request}) }

// EndpointChanged queues the state of an endpoint, also while no capture runs: a capture that starts later begins with the states of all
// endpoints.
func (w *Writer) EndpointChanged(change engine.EndpointChange) {
	w.enqueue(message{endpoint: endpointRecord(change)})
}

// enqueue queues a message. If the queue is full, it drops the message and counts it as lost.
func (w *Writer) enqueue(m message) {
	select {
	case w.queue <- m:
	default:
		w.lost.Add(1)
	}
}

// run handles queued messages until Close.
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

// finish handles the messages that are still queued and closes the segment.
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
		_ = w.segment.Close() // the writer ends: there is nowhere to report it
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

// rememberEndpoint stores the last record of an endpoint, or deletes it once the endpoint is removed. A record without a start time takes that
// of the record before it.
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

// flush writes the current block. If that fails, its records are lost and counted, and the next block goes to a new segment, since a reader
// would have to resynchronize after a torn block.
func (w *Writer) flush() {
	if w.block.records == 0 {
		return
	}
	if lost := w.lost.Load(); lost > w.recordedLost {
		_ = w.block.add(&pb.Captured{At: time.Now().UnixNano(), What: &pb.Captured_Lost{Lost: uint64(lost - w.recordedLost)}}) // on failure, State still has the count
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
	w.recordResult(err)
}

// recordResult stores the result of a write in State, and logs a change between success and failure.
func (w *Writer) recordResult(err error) {
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
