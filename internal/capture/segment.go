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

// Torn counts what a reader had to leave out.
type Torn struct {
	Blocks int
	Bytes  int64
}

// ReadSegment reads a segment and calls visit with each record; an error of visit ends it. Torn blocks are left out and counted. The error is
// that of visit, or says that no head could be read, or that the segment is of a later version.
//
// It guards against captures that are torn: a gateway that was killed, or whose disk was full, leaves a part of a block at the end or, if it
// went on, in the middle; a disk may flip bits. Without a guard, what follows would be parsed as nonsense. It holds since a block counts
// only if its checksum and its sizes fit, and behind anything else the reader looks byte by byte for the next magic.
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
	skipping bool // behind torn bytes: no block has begun yet
}

// nextBlock returns the plain content of the next whole block; ok is false at the end of the segment.
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
		_, _ = s.in.Discard(headerBytes) // peeked: it is there
		packed := make([]byte, h.packedBytes)
		n, err := io.ReadFull(s.in, packed)
		if err != nil { // cut off within a block
			s.addTorn(headerBytes + n)
			return nil, false
		}
		s.skipping = false
		content, err := s.decoder.DecodeAll(packed, nil)
		if err == nil && crc32.Checksum(packed, castagnoli) == h.sum && len(content) == int(h.plainBytes) {
			return content, true
		}
		s.addTorn(headerBytes + n)
	}
}

func (s *segmentReader) addTorn(n int) {
	s.torn.Blocks++
	s.torn.Bytes += int64(n)
}

// skipByte skips a byte at which no block begins; a row of them counts as one torn block.
func (s *segmentReader) skipByte() {
	if !s.skipping {
		s.torn.Blocks++
	}
	s.skipping = true
	s.torn.Bytes++
	_, _ = s.in.Discard(1) // peeked: it is there
}

func readHead(records *bufio.Reader) (*pb.CaptureHead, error) {
	head := &pb.CaptureHead{}
	if err := protodelim.UnmarshalFrom(records, head); err != nil || head.Version == 0 {
		return nil, errors.New("no capture: its first block holds no head")
	}
	if head.Version > Version {
		return nil, fmt.Errorf("form %d of a capture; this program reads up to %d: use the program that wrote it", head.Version, Version)
	}
	return head, nil
}

// visitRecords visits the records of a block. One that can't be parsed ends the block, which counts as torn then.
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
