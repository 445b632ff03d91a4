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

// Suffix is the suffix of segment file names: GATEWAY.NUMBER.wcap.
const Suffix = ".wcap"

// ringSegments is the number of segments of a full ring. Each has at most Config.MaxBytes / ringSegments.
const ringSegments = 8

func (w *Writer) maxSegmentBytes() int64 { return w.config.MaxBytes / ringSegments }

func createSegment(name string) (io.WriteCloser, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

// segmentPrefix returns the prefix of the file names of this gateway's segments.
func (w *Writer) segmentPrefix() string { return w.config.Head.Host + "." }

// ownSegments returns this gateway's segments, oldest first.
func (w *Writer) ownSegments() []string {
	// Glob fails only for a malformed pattern. It finds no segments then, so that none is removed.
	files, _ := filepath.Glob(filepath.Join(w.config.Folder, w.segmentPrefix()+"[0-9]*"+Suffix))
	slices.Sort(files)
	return files
}

// lastSegmentNumber returns the highest number of this gateway's segments on disk; 0 if there are none.
func (w *Writer) lastSegmentNumber() (last int) {
	for _, file := range w.ownSegments() {
		var number int
		if _, err := fmt.Sscanf(strings.TrimPrefix(filepath.Base(file), w.segmentPrefix()), "%d", &number); err == nil {
			last = max(last, number)
		}
	}
	return last
}

// write writes a block to the current segment, or to a new one if the current segment is full or there is none.
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

// abandonSegment closes the current segment after a failed write.
func (w *Writer) abandonSegment() {
	if w.segment != nil {
		_ = w.segment.Close() // the failed write has been reported
		w.segment = nil
	}
}

// openSegment creates a segment with the head and the last record of each endpoint, so that it can be read without the earlier segments.
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
	_ = block.add(w.config.Head) // records that can't be encoded are left out, here and below, so that the capture continues
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

// trimRing removes the oldest segments until there is space for a new one. It returns the number of segments kept, and their bytes.
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
			return 0, 0, fmt.Errorf("remove oldest capture segment: %w", err)
		}
		keptBytes -= sizes[0]
		files, sizes = files[1:], sizes[1:]
	}
	return len(files), keptBytes, nil
}
