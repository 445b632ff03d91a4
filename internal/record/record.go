// Package record keeps what an observer beside the gateways saw on the sockets of clients and endpoints during a scenario or
// a soak: one clock, one order, one file. Package audit judges from it alone; nothing that a gateway says of itself is in it.
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

// Version is that of the file's format. Read takes no other.
const Version = 1

// File is the record's file name in its folder.
const File = "record.pb"

const (
	writeBuffer = 1 << 18 // bytes
	readBuffer  = 1 << 18 // bytes
)

// Recorder collects what is seen. It is safe for concurrent use.
type Recorder struct {
	start time.Time
	mu    sync.Mutex
	seen  []*pb.Seen
}

// New returns an empty Recorder whose clock starts at 0 now.
func New() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the observer's clock: the time since New.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// See records what was seen just now: it sets At and keeps the message, which the caller must not change afterwards. A nil
// Recorder records nothing.
func (r *Recorder) See(seen *pb.Seen) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	seen.At = int64(time.Since(r.start)) // under the lock, so that the order is that of the times
	r.seen = append(r.seen, seen)
}

// All returns what was seen so far, in the order of At.
func (r *Recorder) All() []*pb.Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.seen)
}

// Write writes a record into dir, which is made if need be, in place of one that is there. It sets the header's Version.
func Write(dir string, header *pb.Header, seen []*pb.Seen) (err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	file, err := os.Create(filepath.Join(dir, File))
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	writer := bufio.NewWriterSize(file, writeBuffer)
	header.Version = Version
	if _, err := protodelim.MarshalTo(writer, header); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	for _, message := range seen {
		if _, err := protodelim.MarshalTo(writer, message); err != nil {
			return fmt.Errorf("record: %w", err)
		}
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// Read reads the record in dir. The error wraps os.ErrNotExist if there is none; a record of another Version is an error, too.
func Read(dir string) (header *pb.Header, seen []*pb.Seen, err error) {
	path := filepath.Join(dir, File)
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, fmt.Errorf("record: %w", err)
	}
	defer func() { _ = file.Close() }() // only read
	reader := bufio.NewReaderSize(file, readBuffer)
	header = &pb.Header{}
	if err := protodelim.UnmarshalFrom(reader, header); err != nil {
		return nil, nil, fmt.Errorf("%s is no record: %w", path, err)
	}
	if header.Version != Version {
		return nil, nil, fmt.Errorf("%s: record format %d; this program reads format %d", path, header.Version, Version)
	}
	for {
		message := &pb.Seen{}
		err := protodelim.UnmarshalFrom(reader, message)
		if errors.Is(err, io.EOF) {
			return header, seen, nil
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s breaks off after %d messages: %w", path, len(seen), err)
		}
		seen = append(seen, message)
	}
}
