package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run: a line each, with the seconds since the start. It is safe for concurrent use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer // nil once closed
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil {
		fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.out.Flush()
	r.out = nil
	if closeErr := r.file.Close(); err == nil {
		err = closeErr
	}
	return err
}
