// Package logging writes a process's log without ever blocking on its reader. If the reader stalls, log lines are dropped; if
// it ends, all further lines are lost. Neither blocks or ends the process.
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
	// queueLength is the maximum number of lines that wait for the reader; further lines are dropped.
	queueLength = 512
	// flushTimeout is the maximum time that Close waits for queued lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that queues lines for another writer. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte // queued lines; nil ends run
	dropped atomic.Int64
	close   sync.Once
	done    chan struct{} // closed when run has returned
}

// New returns a Writer that writes to target from one goroutine until Close. If target blocks, that goroutine ends only with
// the process.
func New(target io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run(target)
	return w
}

// Stderr returns a Writer to standard error and makes the process ignore SIGPIPE, so that a broken pipe, which means that the
// log's reader has ended, does not end the process.
func Stderr() *Writer {
	signal.Ignore(syscall.SIGPIPE)
	return New(os.Stderr)
}

// Write queues a line, or drops it if the queue is full. It never fails and never blocks. Lines written after Close are lost.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run(target io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = target.Write(line) // a failure to write the log can't be reported anywhere else
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(target, "level=WARN msg=\"log lines were dropped: the log's reader is too slow\" lines=%d\n", n)
		}
	}
}

// Close writes the queued lines and ends the Writer's goroutine, but waits at most flushTimeout. Further calls do nothing.
func (w *Writer) Close() {
	w.close.Do(func() {
		timeout := time.After(flushTimeout)
		select {
		case w.lines <- nil:
		case <-timeout:
			return
		}
		select {
		case <-w.done:
		case <-timeout:
		}
	})
}
