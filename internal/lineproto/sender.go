package lineproto

import (
	"errors"
	"net"
	"sync"
	"time"
)

// maxSpare is the maximum capacity, in bytes, of a buffer kept for reuse. Larger buffers, allocated in bursts, are released.
const maxSpare = 1 << 16

// ErrFull is returned if a message exceeds the limit of the queue because the peer reads too slowly.
var ErrFull = errors.New("send queue full: the peer reads too slowly")

// Sender writes to a connection from a goroutine of its own, so that callers of Send never wait for a slow peer. The queue is bounded,
// and all queued messages are sent in one write. All methods are safe for concurrent use.
//
// Start starts the goroutine. It ends on Close, after Finish, or when a write fails; then the channel Done is closed.
type Sender struct {
	stall     time.Duration // timeout of each write; 0: none
	maxQueued int           // maximum size of the queue, in bytes
	wake      chan struct{} // signals work to the goroutine; closed by Close
	done      chan struct{}

	mu        sync.Mutex // guards the fields below
	conn      net.Conn   // nil until Start
	queue     []byte
	spare     []byte // an empty buffer for the next queue
	accepted  int64  // total of bytes accepted by Send
	handed    int64  // total of bytes handed to the connection; any of them may have been written
	closed    bool
	finishing bool // set by Finish: close once the queue is empty
}

// NewSender returns a Sender with a queue of at most maxQueued bytes and a timeout of stall for each write (0: none). The caller must
// call Start or Close.
func NewSender(maxQueued int, stall time.Duration) *Sender {
	return &Sender{maxQueued: maxQueued, stall: stall, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Start starts the goroutine that writes to c. It must be called at most once.
func (s *Sender) Start(c net.Conn) {
	s.mu.Lock()
	s.conn = c
	s.mu.Unlock()
	go s.run()
}

// Send queues a complete message and returns its offset in the stream. Errors: ErrFull, or net.ErrClosed.
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

// signal wakes the goroutine. The caller holds mu; it must not be called after Close.
func (s *Sender) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// MayHaveBeenWritten reports whether bytes of the message at offset may have reached the peer. The result is final once Done is
// closed.
func (s *Sender) MayHaveBeenWritten(offset int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return offset < s.handed
}

// Close drops the queue and closes the connection, if Start was called.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.wake)
	if s.conn != nil {
		_ = s.conn.Close() // MayHaveBeenWritten tells which messages may have been sent
	} else {
		close(s.done) // there is no goroutine that closes it
	}
}

// Finish closes the Sender once the queue is written. It requires that Start is called, before or afterwards.
func (s *Sender) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishing = true
	if !s.closed {
		s.signal()
	}
}

// Done returns a channel that is closed when the Sender has stopped writing.
func (s *Sender) Done() <-chan struct{} { return s.done }

// Idle reports whether the queue is empty and everything was handed to the connection.
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

// writeQueue writes until the queue is empty. It then closes the Sender if Finish was called.
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

// takeQueue removes and returns all queued bytes; nil: the queue is empty, or the Sender is closed. It counts the bytes as handed over
// before they are written, so that MayHaveBeenWritten never returns false for a message that reached the peer.
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

// recycle keeps a written buffer for reuse, unless it is larger than maxSpare.
func (s *Sender) recycle(batch []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cap(batch) <= maxSpare {
		s.spare = batch[:0]
	}
}
