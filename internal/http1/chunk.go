package http1

import (
	"bytes"
	"io"
	"strconv"
)

const (
	maxChunkLine   = 4 << 10 // size of the line before a chunk in bytes
	maxChunkDigits = 16      // number of digits of a chunk's size
)

// chunkReader reads the data of a chunked body (RFC 9112, 7.1), up to its last chunk; the trailers stay unread. It accepts only CRLF
// as the end of a line.
type chunkReader struct {
	reader    *Reader
	remaining int64 // bytes left of the present chunk
	inChunk   bool  // the end of the present chunk was not read yet
	ended     bool
	overhead  int // bytes that the lines between the chunks may still take
}

// Read reads at least one byte, or returns io.EOF after the last chunk, an Error for a malformed chunk, or the connection's error.
func (c *chunkReader) Read(p []byte) (int, error) {
	for c.remaining == 0 && !c.ended {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.reader.readSome(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, unexpected(err)
}

// nextChunk reads the end of the present chunk and the size of the next one.
func (c *chunkReader) nextChunk() error {
	if c.inChunk {
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return errMalformedChunk
		}
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) > maxChunkDigits || bytes.ContainsAny(digits, "+-_") {
		return errMalformedChunk
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return errMalformedChunk
	}
	c.remaining, c.inChunk, c.ended = size, true, size == 0
	return nil
}

var errMalformedChunk = malformed(400, "malformed chunk")

// line reads a line that ends with CRLF and returns it without its end.
func (c *chunkReader) line() ([]byte, error) {
	line, err := c.reader.readToLF(min(maxChunkLine, c.overhead))
	if err != nil {
		return nil, err
	}
	c.overhead -= len(line) + len("\n")
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return nil, errMalformedChunk
	}
	return line, nil
}
