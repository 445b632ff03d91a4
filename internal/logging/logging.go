// Package logging writes a process's log without ever blocking on its reader. A reader that stalls costs log lines, one
// that ends costs all further ones; neither blocks or ends the process.
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
	// queueLength bounds the lines that wait for the reader; one more is dropped.
	queueLength = 512
	// flushTimeout bounds how long Close waits until queued lines are written.
	flushTimeout = 200 * time.Millisecond
)

// Writer queues what is written to it. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte // nil ends run
	dropped atomic.Int64
	close   sync.Once
	done    chan struct{} // closed when run has returned
}

// New returns a Writer in front of target. One goroutine writes to target until Close; if target blocks, that goroutine
// ends with the process.
func New(target io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run(target)
	return w
}

// Stderr returns a Writer in front of standard error. From then on a broken pipe there, the sign that the log's reader has
// ended, doesn't end the process: SIGPIPE is ignored.
func Stderr() *Writer {
	signal.Ignore(syscall.SIGPIPE)
	return New(os.Stderr)
}

// Write queues a line, or drops it if too many wait. It never fails and never blocks. After Close lines are lost.
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
		_, _ = target.Write(line) // there is no other place to report a failure of the log
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(target, "level=WARN msg=\"log lines were dropped: the log's reader is too slow\" lines=%d\n", n)
		}
	}
}

// Close writes what is queued and ends the Writer's goroutine, but waits no longer than flushTimeout. Further calls do
// nothing.
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
