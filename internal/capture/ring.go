package capture

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Suffix ends the names of segments: GATEWAY.NUMBER.wcap.
const Suffix = ".wcap"

// ringSegments is the number of segments of a full ring; each is at most that part of Config.MaxBytes.
const ringSegments = 8

func (w *Writer) maxSegmentBytes() int64 { return w.config.MaxBytes / ringSegments }

func createSegment(name string) (io.WriteCloser, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

// segmentPrefix begins the names of this gateway's segments.
func (w *Writer) segmentPrefix() string { return w.config.Head.Host + "." }

// ownSegments returns this gateway's segments, oldest first.
func (w *Writer) ownSegments() []string {
	// Glob fails for a malformed pattern only; no segment is found, and none removed, then.
	files, _ := filepath.Glob(filepath.Join(w.config.Folder, w.segmentPrefix()+"[0-9]*"+Suffix))
	slices.Sort(files)
	return files
}

// lastSegmentNumber returns the highest number of the segments on disk; 0: there is none.
func (w *Writer) lastSegmentNumber() (last int) {
	for _, file := range w.ownSegments() {
		var number int
		if _, err := fmt.Sscanf(strings.TrimPrefix(filepath.Base(file), w.segmentPrefix()), "%d", &number); err == nil {
			last = max(last, number)
		}
	}
	return last
}

// write writes a block to the current segment, or to a new one where that is full or there is none.
func (w *Writer) write(block []byte) error {
	if w.segment != nil && w.segmentBytes+int64(len(block)) > w.maxSegmentBytes() {
		err := w.segment.Close()
		w.segment = nil
		if err != nil {
			return err
		}
	}
	if w.segment == nil {
		if err := w.openSegment(); err != nil {
			return err
		}
	}
	n, err := w.segment.Write(block)
	w.segmentBytes += int64(n)
	w.mu.Lock()
	w.state.Bytes += int64(n)
	w.mu.Unlock()
	return err
}

// abandonSegment gives the current segment up after a failure.
func (w *Writer) abandonSegment() {
	if w.segment != nil {
		_ = w.segment.Close() // its failure is noted already
		w.segment = nil
	}
}

// openSegment creates a segment with the head and the last records of all endpoints, so that it can be read without those before it.
func (w *Writer) openSegment() error {
	kept, keptBytes, err := w.trimRing()
	if err != nil {
		return err
	}
	w.segmentNumber++
	name := fmt.Sprintf("%s%06d%s", w.segmentPrefix(), w.segmentNumber, Suffix)
	segment, err := w.config.Create(filepath.Join(w.config.Folder, name))
	if err != nil {
		return err
	}
	w.segment, w.segmentBytes = segment, 0
	w.mu.Lock()
	w.state.Segments, w.state.Bytes = kept+1, keptBytes
	w.mu.Unlock()
	block, err := newBlockBuilder()
	if err != nil {
		return err
	}
	defer block.close()
	_ = block.add(w.config.Head) // what can't be encoded is left out, here and below: a capture must not end for it
	for _, endpoint := range w.endpointNames() {
		_ = block.add(w.endpoints[endpoint])
	}
	n, err := segment.Write(block.finish())
	w.segmentBytes = int64(n)
	return err
}

func (w *Writer) endpointNames() []string {
	names := make([]string, 0, len(w.endpoints))
	for name := range w.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// trimRing removes the oldest segments until a new one fits in, and returns how many are kept, and their bytes.
func (w *Writer) trimRing() (kept int, keptBytes int64, err error) {
	files := w.ownSegments()
	sizes := make([]int64, len(files))
	for i, file := range files {
		if info, err := os.Stat(file); err == nil {
			sizes[i] = info.Size()
			keptBytes += sizes[i]
		}
	}
	for len(files) > 0 && keptBytes > w.config.MaxBytes-w.maxSegmentBytes() {
		if err := os.Remove(files[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
			return 0, 0, fmt.Errorf("room for the capture: %w", err)
		}
		keptBytes -= sizes[0]
		files, sizes = files[1:], sizes[1:]
	}
	return len(files), keptBytes, nil
}
