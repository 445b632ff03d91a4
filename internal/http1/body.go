package http1

import (
	"errors"
	"io"
)

// firstBodyBuffer is the size of the buffer, in bytes, that a body gets at first. It grows by bodyGrowth as the body arrives, so that
// a peer that stops early holds little.
const (
	firstBodyBuffer = 4 << 10
	bodyGrowth      = 4
)

// Body reads the complete body, which may have at most limit bytes; for a longer one it returns an Error with status 413. A
// body without a length is complete when the peer closes the connection normally (RFC 9112, 6.3); a reset is an error.
//
// The capacity of a body that Body returns stays charged to the reader's Memory. The caller releases it when the body is not used any
// more. After an error nothing of the body is charged.
func (r *Reader) Body(h *Head, limit int) ([]byte, error) {
	switch {
	case h.Length == UntilEnd:
		return r.collect(r.readSome, limit)
	case h.Length == Chunked:
		return r.chunkedBody(limit)
	case h.Length > int64(limit):
		return nil, malformed(413, "body of %d bytes, at most %d", h.Length, limit)
	}
	return r.sizedBody(int(h.Length))
}

// sizedBody reads a body of a known length.
func (r *Reader) sizedBody(length int) ([]byte, error) {
	b := growingBody{memory: r.memory}
	for len(b.bytes) < length {
		if err := b.grow(length); err != nil {
			return nil, err
		}
		next := b.bytes[len(b.bytes):min(cap(b.bytes), length)]
		if err := r.readFull(next); err != nil {
			b.discard()
			return nil, err
		}
		b.bytes = b.bytes[:len(b.bytes)+len(next)]
	}
	return b.bytes, nil
}

// chunkedBody reads a chunked body and the trailers after it, which are ignored.
func (r *Reader) chunkedBody(limit int) ([]byte, error) {
	// The overhead allows for the lines between chunks, but not for a body in chunks of one byte each.
	chunks := &chunkReader{reader: r, overhead: limit + maxHead}
	body, err := r.collect(chunks.Read, limit)
	if err != nil {
		return nil, err
	}
	if _, err := r.readFields(maxHead); err != nil {
		r.memory.Release(cap(body))
		return nil, err
	}
	return body, nil
}

// collect reads with read until io.EOF. The body may have at most limit bytes.
func (r *Reader) collect(read func([]byte) (int, error), limit int) ([]byte, error) {
	b := growingBody{memory: r.memory}
	for {
		if err := b.grow(limit + 1); err != nil {
			return nil, err
		}
		n, err := read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case len(b.bytes) > limit:
			b.discard()
			return nil, malformed(413, "body of more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return b.bytes, nil
		case err != nil:
			b.discard()
			return nil, err
		}
	}
}

// growingBody is a body that is being read. Its capacity is charged.
type growingBody struct {
	memory Memory
	bytes  []byte
}

// grow makes space for more bytes, up to most in all. If the memory is refused, the body is discarded.
func (b *growingBody) grow(most int) error {
	size := cap(b.bytes)
	if len(b.bytes) < size {
		return nil
	}
	larger := min(max(firstBodyBuffer, bodyGrowth*size), most)
	if err := b.memory.Charge(larger); err != nil {
		b.discard()
		return err
	}
	grown := make([]byte, len(b.bytes), larger)
	copy(grown, b.bytes)
	b.discard()
	b.bytes = grown
	return nil
}

// discard drops the body and releases its charge.
func (b *growingBody) discard() {
	b.memory.Release(cap(b.bytes))
	b.bytes = nil
}

// Stream returns a reader of a chunked body of unlimited length. A single read returns at most limit bytes; the caller limits
// the size of a value in the stream. Stream returns an Error if the body isn't chunked.
func (r *Reader) Stream(h *Head, limit int) (io.Reader, error) {
	if h.Length != Chunked {
		return nil, malformed(502, "the body is not chunked")
	}
	return &stream{chunks: &chunkReader{reader: r}, limit: limit}, nil
}

type stream struct {
	chunks *chunkReader
	limit  int // maximum size of a read in bytes
}

// Read allows the overhead anew for each read.
func (s *stream) Read(p []byte) (int, error) {
	s.chunks.overhead = s.limit + maxHead
	return s.chunks.Read(p[:min(len(p), s.limit)])
}
