package http1

import (
	"io"
	"net/http/httputil"
)

// Body reads the complete body, which may have at most limit bytes; for a longer one it returns an Error with status 413. A
// body without a length is complete when the peer closes the connection normally (RFC 9112, 6.3); a reset is an error.
func (r *Reader) Body(h *Head, limit int) ([]byte, error) {
	switch {
	case h.Length == UntilEnd:
		return r.bodyUntilEnd(limit)
	case h.Length == Chunked:
		return r.chunkedBody(limit)
	case h.Length > int64(limit):
		return nil, malformed(413, "body of %d bytes, at most %d", h.Length, limit)
	}
	r.bound.remaining, r.bound.err = h.Length, nil
	body := make([]byte, h.Length)
	if _, err := io.ReadFull(r.buffer, body); err != nil {
		return nil, r.cause(err)
	}
	return body, nil
}

func (r *Reader) bodyUntilEnd(limit int) ([]byte, error) {
	r.bound.remaining, r.bound.err = int64(limit)+1, nil
	body, err := io.ReadAll(io.LimitReader(r.buffer, int64(limit)+1))
	if len(body) > limit {
		return nil, malformed(413, "body of more than %d bytes", limit)
	}
	return body, err
}

func (r *Reader) chunkedBody(limit int) ([]byte, error) {
	// The bound allows for the lines between chunks, but not for a body in chunks of one byte each.
	r.bound.remaining, r.bound.err = 2*int64(limit)+maxHead, nil
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(r.buffer), int64(limit)+1))
	if err != nil {
		if r.bound.err == nil {
			return nil, malformed(400, "malformed chunk")
		}
		return nil, r.cause(err)
	}
	if len(body) > limit {
		return nil, malformed(413, "body of more than %d bytes", limit)
	}
	r.bound.remaining = maxHead
	if _, err := r.text.ReadMIMEHeader(); err != nil { // trailers are ignored
		return nil, r.cause(err)
	}
	return body, nil
}

// Stream returns a reader of a chunked body of unlimited length. A single read returns at most limit bytes; the caller limits
// the size of a value in the stream. Stream returns an Error if the body isn't chunked.
func (r *Reader) Stream(h *Head, limit int) (io.Reader, error) {
	if h.Length != Chunked {
		return nil, malformed(502, "the body is not chunked")
	}
	return &stream{reader: r, chunks: httputil.NewChunkedReader(r.buffer), limit: int64(limit)}, nil
}

type stream struct {
	reader *Reader
	chunks io.Reader
	limit  int64 // maximum size of a read in bytes
}

// Read resets the bound, which applies to each read separately.
func (s *stream) Read(p []byte) (int, error) {
	s.reader.bound.remaining = s.limit + maxHead
	return s.chunks.Read(p[:min(int64(len(p)), s.limit)])
}
