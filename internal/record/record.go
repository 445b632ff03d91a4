// Package record stores the observations made at the clients and endpoints, outside the gateways, during a scenario or a soak: in
// one file, in the order of one clock. Package audit checks the record alone, so it contains nothing that a gateway reports of itself.
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

// Version is the version of the file format. Read accepts no other.
const Version = 1

// File is the name of the record's file in its folder.
const File = "record.pb"

const (
	writeBuffer = 1 << 18 // bytes
	readBuffer  = 1 << 18 // bytes
)

// Recorder collects observations. It is safe for concurrent use.
type Recorder struct {
	start time.Time
	mu    sync.Mutex
	seen  []*pb.Seen
}

// New returns an empty Recorder whose clock starts at 0.
func New() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the observer's clock: the time since New.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// See records an observation made now: it sets At and keeps the message, which the caller must not change afterwards. A nil
// Recorder records nothing.
func (r *Recorder) See(seen *pb.Seen) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	seen.At = int64(time.Since(r.start)) // read under the lock, so that the observations are in the order of At
	r.seen = append(r.seen, seen)
}

// All returns the observations so far, in the order of At.
func (r *Recorder) All() []*pb.Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.seen)
}

// Write writes a record into dir, which it creates if needed, and replaces an earlier record there. It sets the header's Version.
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
	defer func() { _ = file.Close() }() // opened for reading only
	reader := bufio.NewReaderSize(file, readBuffer)
	header = &pb.Header{}
	if err := protodelim.UnmarshalFrom(reader, header); err != nil {
		return nil, nil, fmt.Errorf("%s is not a record: %w", path, err)
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
			return nil, nil, fmt.Errorf("%s: truncated or malformed after %d observations: %w", path, len(seen), err)
		}
		seen = append(seen, message)
	}
}
