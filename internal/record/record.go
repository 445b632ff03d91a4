// Package record keeps what an observer beside the hosts saw of the sockets: one clock, one order, one file.
package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"weirhaven/internal/pb"
)

// Version of the file's form.
const Version = 1

// File is the record's name in its folder.
const File = "record.pb"

// Recorder takes what is seen, from any goroutine.
type Recorder struct {
	start time.Time
	mu    sync.Mutex
	seen  []*pb.Seen
}

// New starts the observer's clock.
func New() *Recorder { return &Recorder{start: time.Now()} }

// Now is the observer's clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// See notes what was seen just now. A nil Recorder notes nothing.
func (r *Recorder) See(s *pb.Seen) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.At = int64(time.Since(r.start))
	r.seen = append(r.seen, s)
}

// All is what was seen so far, in order.
func (r *Recorder) All() []*pb.Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.seen)
}

// Write puts a record into a folder, which is made.
func Write(dir string, h *pb.Header, seen []*pb.Seen) (err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, File))
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	w := bufio.NewWriterSize(f, 1<<18)
	h.Version = Version
	if _, err := protodelim.MarshalTo(w, h); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	for _, s := range seen {
		if _, err := protodelim.MarshalTo(w, s); err != nil {
			return fmt.Errorf("record: %w", err)
		}
	}
	return w.Flush()
}

// Read reads a record from its folder.
func Read(dir string) (*pb.Header, []*pb.Seen, error) {
	name := filepath.Join(dir, File)
	f, err := os.Open(name)
	if err != nil {
		return nil, nil, fmt.Errorf("record: %w", err)
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, 1<<18)
	h := &pb.Header{}
	if err := protodelim.UnmarshalFrom(r, h); err != nil {
		return nil, nil, fmt.Errorf("%s is no record: %w", name, err)
	}
	if h.Version != Version {
		return nil, nil, fmt.Errorf("%s: form %d of a record; this program reads form %d", name, h.Version, Version)
	}
	var seen []*pb.Seen
	for {
		s := &pb.Seen{}
		switch err := protodelim.UnmarshalFrom(r, s); {
		case errors.Is(err, io.EOF):
			return h, seen, nil
		case err != nil:
			return nil, nil, fmt.Errorf("%s breaks off after %d lines: %w", name, len(seen), err)
		}
		seen = append(seen, s)
	}
}
