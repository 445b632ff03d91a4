// Package logging writes a process's log without ever waiting for whoever reads it. A reader that stalls costs log lines, one
// that ends costs all further ones; neither holds up or ends the process.
package logging

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// queued is how many lines wait for the reader at most; one more is dropped.
	queued = 512
	// flushTimeout is how long Close waits for lines that are queued.
	flushTimeout = 200 * time.Millisecond
)

// Writer queues what is written to it. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	close   sync.Once
	done    chan struct{}
}

// New returns a Writer in front of w, which one goroutine writes to until Close.
func New(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queued), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Stderr returns a Writer in front of standard error. A broken pipe there does not end the process any more.
func Stderr() *Writer {
	signal.Ignore(syscall.SIGPIPE)
	return New(os.Stderr)
}

// Write queues a line, or drops it where too many wait. It never fails and never waits.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		if line == nil {
			return
		}
		w.Write(line)
		if n := l.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w, "level=WARN msg=\"log lines were dropped: the log's reader is too slow\" lines=%d\n", n)
		}
	}
}

// Close writes what is queued, and waits for that a moment. Nothing may be written afterwards.
func (l *Writer) Close() {
	l.close.Do(func() {
		timeout := time.After(flushTimeout)
		select {
		case l.lines <- nil:
		case <-timeout:
			return
		}
		select {
		case <-l.done:
		case <-timeout:
		}
	})
}
