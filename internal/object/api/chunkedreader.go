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

// chunkedReader reads the aws-chunked form of a body with a trailer: for each chunk its length in hex, a line end, its bytes, a line end;
// after a chunk of length 0 the trailing fields. Of these it checks the CRC-32 of the content. After an error it returns that again.
type chunkedReader struct {
	in        *bufio.Reader // its buffer bounds a line
	remaining int64         // bytes of the current chunk
	size      int64         // bytes of content so far
	sum       uint32        // CRC-32 of these
	err       error
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

// nextChunk reads the line before a chunk, and at the end the trailer, where it returns io.EOF.
func (c *chunkedReader) nextChunk() error {
	line, err := c.readLine()
	if err == nil && line == "" && c.size > 0 { // the line end behind the chunk before
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

// readTrailer reads the trailer and checks its CRC-32, if there is one. It returns io.EOF at the trailer's end, also where the stream is
// cut off before it, and decide.BadDigest for a wrong checksum.
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
