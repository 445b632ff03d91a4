package api

import (
	"bufio"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"strconv"
	"strings"

	"weirhaven/internal/object/decide"
)

// chunkedReader decodes a body in aws-chunked encoding with a trailer. Each chunk is its length in hex, a line end, its bytes and a line
// end; the trailer follows a chunk of length 0. If the trailer has a CRC-32, chunkedReader verifies it. After an error, Read returns the
// same error again.
type chunkedReader struct {
	in        *bufio.Reader // input; the size of its buffer limits the length of a line
	remaining int64         // unread bytes of the current chunk
	size      int64         // bytes of content read so far
	sum       uint32        // CRC-32 of the content read so far
	err       error         // error returned by further calls of Read
}

// Read implements io.Reader.
func (c *chunkedReader) Read(buffer []byte) (int, error) {
	if c.err == nil && c.remaining == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.in.Read(buffer[:min(int64(len(buffer)), c.remaining)])
	c.sum = crc32.Update(c.sum, crc32.IEEETable, buffer[:n])
	c.remaining -= int64(n)
	c.size += int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

// nextChunk reads the header line of the next chunk. After the last chunk it reads the trailer and returns io.EOF.
func (c *chunkedReader) nextChunk() error {
	line, err := c.readLine()
	if err == nil && line == "" && c.size > 0 { // line end of the previous chunk
		line, err = c.readLine()
	}
	if err != nil {
		return err
	}
	length, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseInt(length, 16, 64)
	if err != nil || n < 0 {
		return decide.IncompleteBody.With("The chunk length %.20q can't be read.", length)
	}
	if n == 0 {
		return c.readTrailer()
	}
	c.remaining = n
	return nil
}

func (c *chunkedReader) readLine() (string, error) {
	line, err := c.in.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// readTrailer reads the trailer and verifies the CRC-32, if the trailer has one. It returns io.EOF at the end of the trailer, also if the
// stream ends within the trailer, and decide.BadDigest if the checksum is wrong.
func (c *chunkedReader) readTrailer() error {
	for {
		line, err := c.readLine()
		if err != nil || line == "" {
			return io.EOF
		}
		name, value, _ := strings.Cut(line, ":")
		if !strings.EqualFold(name, "x-amz-checksum-crc32") {
			continue
		}
		want, err := base64.StdEncoding.DecodeString(strings.TrimSpace(value))
		if err != nil || len(want) != crc32.Size || binary.BigEndian.Uint32(want) != c.sum {
			return decide.BadDigest.With("(x-amz-checksum-crc32)")
		}
	}
}
