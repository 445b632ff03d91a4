package lineproto

import (
	"errors"
	"net"
	"sync"
	"time"
)

// maxSpare is the size, in bytes, up to which a written buffer is kept for reuse: after a burst the memory is given back.
const maxSpare = 1 << 16

// ErrFull is returned where more is queued than allowed: the peer reads too slowly.
var ErrFull = errors.New("the peer reads too slowly: what waits for it is full")

// Sender writes to one connection from a goroutine of its own, so that nobody who sends waits for a slow peer. The queue is
// bounded, and all that is queued goes out in one write. All methods are safe for concurrent use.
//
// The goroutine starts with Start and ends with Close, after Finish, or when a write fails; Done is closed then.
type Sender struct {
	stall     time.Duration // timeout of a write; 0: none
	maxQueued int           // bytes
	wake      chan struct{} // the goroutine has something to do; closed by Close
	done      chan struct{}

	mu        sync.Mutex // guards what follows
	conn      net.Conn   // nil until Start
	queue     []byte
	spare     []byte // an empty buffer for the next queue
	accepted  int64  // bytes that Send took, since the start
	handed    int64  // bytes handed to the connection, since the start: some of them may have been written
	closed    bool
	finishing bool // close once the queue is empty
}

// NewSender returns a sender that queues at most maxQueued bytes and lets a write take at most stall (0: any time). Start or Close
// has to be called.
func NewSender(maxQueued int, stall time.Duration) *Sender {
	return &Sender{maxQueued: maxQueued, stall: stall, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Start begins to write to c. Call it once.
func (s *Sender) Start(c net.Conn) {
	s.mu.Lock()
	s.conn = c
	s.mu.Unlock()
	go s.run()
}

// Send queues a complete message and returns where it begins in the stream. Errors: ErrFull, or net.ErrClosed.
func (s *Sender) Send(message []byte) (offset int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, net.ErrClosed
	}
	if len(s.queue)+len(message) > s.maxQueued {
		return 0, ErrFull
	}
	offset = s.accepted
	s.queue = append(s.queue, message...)
	s.accepted += int64(len(message))
	s.signal()
	return offset, nil
}

// signal wakes the goroutine. To be called with mu held, not after Close.
func (s *Sender) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// MayHaveBeenWritten reports whether a byte of the message that begins at offset can have reached the peer. The answer is final
// once Done is closed.
func (s *Sender) MayHaveBeenWritten(offset int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return offset < s.handed
}

// Close drops what is queued and closes the connection, if there is one.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.wake)
	if s.conn != nil {
		_ = s.conn.Close() // what was written or not is judged by MayHaveBeenWritten
	} else {
		close(s.done) // no goroutine does
	}
}

// Finish lets the queue be written, then closes. Start has to be called for that.
func (s *Sender) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishing = true
	if !s.closed {
		s.signal()
	}
}

// Done is closed once nothing is written any more.
func (s *Sender) Done() <-chan struct{} { return s.done }

// Idle reports whether nothing is queued.
func (s *Sender) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0 && s.handed == s.accepted
}

func (s *Sender) run() {
	defer close(s.done)
	for range s.wake {
		if err := s.writeQueue(); err != nil {
			s.Close()
			return
		}
	}
}

// writeQueue writes until the queue is empty, and closes then if the sender is finishing.
func (s *Sender) writeQueue() error {
	for {
		batch := s.takeQueue()
		if batch == nil {
			return nil
		}
		if s.stall > 0 {
			_ = s.conn.SetWriteDeadline(time.Now().Add(s.stall)) // fails only on a closed connection, as the write does then
		}
		_, err := s.conn.Write(batch)
		s.recycle(batch)
		if err != nil {
			return err
		}
	}
}

// takeQueue takes all that is queued; nil: nothing, or the sender is closed. It counts the bytes as handed over before the first of
// them can be written, so that MayHaveBeenWritten never says no wrongly.
func (s *Sender) takeQueue() []byte {
	s.mu.Lock()
	if s.closed || len(s.queue) == 0 {
		finishing := s.finishing
		s.mu.Unlock()
		if finishing {
			s.Close()
		}
		return nil
	}
	defer s.mu.Unlock()
	batch := s.queue
	s.queue, s.spare = s.spare[:0], nil
	s.handed = s.accepted
	return batch
}

// recycle keeps a written buffer for reuse, unless it is large.
func (s *Sender) recycle(batch []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cap(batch) <= maxSpare {
		s.spare = batch[:0]
	}
}
