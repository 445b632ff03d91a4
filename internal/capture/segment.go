package capture

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"

	"weirhaven/internal/pb"
)

// Torn counts the damaged blocks and bytes that a reader skipped.
type Torn struct {
	Blocks int
	Bytes  int64
}

// ReadSegment reads a segment and calls visit with each record; an error of visit ends it. Torn blocks are skipped and counted. It returns the
// error of visit, or an error if no head could be read or the segment is of a later version.
//
// A gateway that was killed, or whose disk was full, leaves a partial block at the end of a segment or, if it continued, in the middle; a disk
// may flip bits. To avoid parsing garbage, the reader accepts a block only if its checksum and its sizes match. After an invalid header it
// searches byte by byte for the next magic; after a block with an invalid content it continues with the next block.
func ReadSegment(r io.Reader, visit func(*pb.Captured) error) (head *pb.CaptureHead, torn Torn, err error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockBytes))
	if err != nil {
		return nil, Torn{}, err
	}
	defer decoder.Close()
	s := &segmentReader{in: bufio.NewReaderSize(r, readBufferBytes), decoder: decoder}
	for {
		content, ok := s.nextBlock()
		if !ok {
			break
		}
		records := bufio.NewReader(bytes.NewReader(content))
		if head == nil {
			if head, err = readHead(records); err != nil {
				return nil, s.torn, err
			}
		}
		if err := s.visitRecords(records, visit); err != nil {
			return head, s.torn, err
		}
	}
	if head == nil {
		return nil, s.torn, errors.New("no capture: no whole block with a head in it")
	}
	return head, s.torn, nil
}

const readBufferBytes = 64 << 10

type segmentReader struct {
	in       *bufio.Reader
	decoder  *zstd.Decoder
	torn     Torn
	skipping bool // whether the reader is searching for the next block
}

// nextBlock returns the plain content of the next intact block; ok is false at the end of the segment.
func (s *segmentReader) nextBlock() (content []byte, ok bool) {
	for {
		header, err := s.in.Peek(headerBytes)
		if len(header) == 0 {
			return nil, false
		}
		if err != nil { // cut off within a header
			s.addTorn(len(header))
			return nil, false
		}
		h, ok := parseHeader(header)
		if !ok {
			s.skipByte()
			continue
		}
		_, _ = s.in.Discard(headerBytes) // can't fail: the bytes were peeked
		compressed := make([]byte, h.compressedBytes)
		n, err := io.ReadFull(s.in, compressed)
		if err != nil { // cut off within a block
			s.addTorn(headerBytes + n)
			return nil, false
		}
		s.skipping = false
		content, err := s.decoder.DecodeAll(compressed, nil)
		if err == nil && crc32.Checksum(compressed, castagnoli) == h.checksum && len(content) == int(h.plainBytes) {
			return content, true
		}
		s.addTorn(headerBytes + n)
	}
}

func (s *segmentReader) addTorn(n int) {
	s.torn.Blocks++
	s.torn.Bytes += int64(n)
}

// skipByte skips a byte at which no block begins. Consecutive skipped bytes count as one torn block.
func (s *segmentReader) skipByte() {
	if !s.skipping {
		s.torn.Blocks++
	}
	s.skipping = true
	s.torn.Bytes++
	_, _ = s.in.Discard(1) // can't fail: the bytes were peeked
}

func readHead(records *bufio.Reader) (*pb.CaptureHead, error) {
	head := &pb.CaptureHead{}
	if err := protodelim.UnmarshalFrom(records, head); err != nil || head.Version == 0 {
		return nil, errors.New("no capture: its first block holds no head")
	}
	if head.Version > Version {
		return nil, fmt.Errorf("capture format %d is not supported; this program reads up to format %d: use the program that wrote it", head.Version, Version)
	}
	return head, nil
}

// visitRecords visits the records of a block. If one can't be parsed, the rest of the block is skipped and the block counts as torn.
func (s *segmentReader) visitRecords(records *bufio.Reader, visit func(*pb.Captured) error) error {
	for {
		record := &pb.Captured{}
		if err := protodelim.UnmarshalFrom(records, record); err != nil {
			if !errors.Is(err, io.EOF) {
				s.torn.Blocks++
			}
			return nil
		}
		if err := visit(record); err != nil {
			return err
		}
	}
}
