// Package capture keeps a host's load on disk, and reads it back: blocks of length-delimited protobuf (proto/capture.proto), each
// compressed by itself (Zstandard, RFC 8878) and summed, in a bounded ring of segment files.
package capture

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"

	"weirhaven/internal/pb"
)

// Version of the form; a reader refuses a later one.
const Version = 1

// A block is: magic, its compressed and its plain length, the CRC-32C of the compressed bytes (each 4 bytes, little-endian), and
// these bytes.
const (
	blockHead = 16
	mostBlock = 8 << 20 // plain bytes; what claims more is torn
)

var (
	magic = [4]byte{'W', 'C', 'A', 'P'}
	sums  = crc32.MakeTable(crc32.Castagnoli)
)

// packer makes blocks.
type packer struct {
	zip   *zstd.Encoder
	plain bytes.Buffer
	out   []byte
	lines int
}

func newPacker() (*packer, error) {
	zip, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	return &packer{zip: zip}, err
}

func (p *packer) add(m protoMessage) error {
	p.lines++
	_, err := protodelim.MarshalTo(&p.plain, m)
	return err
}

// block is what was added since, ready to be written; valid until the next.
func (p *packer) block() []byte {
	p.out = append(p.out[:0], make([]byte, blockHead)...)
	p.out = p.zip.EncodeAll(p.plain.Bytes(), p.out)
	copy(p.out, magic[:])
	binary.LittleEndian.PutUint32(p.out[4:], uint32(len(p.out)-blockHead))
	binary.LittleEndian.PutUint32(p.out[8:], uint32(p.plain.Len()))
	binary.LittleEndian.PutUint32(p.out[12:], crc32.Checksum(p.out[blockHead:], sums))
	p.plain.Reset()
	p.lines = 0
	return p.out
}

// Torn tells what a reader had to leave out.
type Torn struct {
	Blocks int
	Bytes  int64
}

// Segment reads one segment. What is torn is left out and counted; where the head itself can't be read, err says so. An f that
// returns an error ends it.
func Segment(r io.Reader, f func(*pb.Captured) error) (head *pb.CaptureHead, torn Torn, err error) {
	in := bufio.NewReaderSize(r, 1<<16)
	unzip, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(mostBlock))
	if err != nil {
		return nil, torn, err
	}
	defer unzip.Close()
	skipping := false
	for {
		h, err := in.Peek(blockHead)
		if len(h) == 0 {
			break
		}
		if err != nil { // fewer bytes than a block's head: cut off there
			torn.Blocks++
			torn.Bytes += int64(len(h))
			break
		}
		packed, plain := binary.LittleEndian.Uint32(h[4:]), binary.LittleEndian.Uint32(h[8:])
		if !bytes.Equal(h[:4], magic[:]) || packed > mostBlock || plain > mostBlock {
			if !skipping {
				torn.Blocks++
			}
			skipping = true
			torn.Bytes++
			_, _ = in.Discard(1) // peeked: it is there
			continue
		}
		sum := binary.LittleEndian.Uint32(h[12:])
		_, _ = in.Discard(blockHead) // peeked: it is there
		body := make([]byte, packed)
		n, err := io.ReadFull(in, body)
		if err != nil {
			torn.Blocks++
			torn.Bytes += int64(blockHead + n)
			break
		}
		skipping = false
		text, err := unzip.DecodeAll(body, nil)
		if crc32.Checksum(body, sums) != sum || err != nil || len(text) != int(plain) {
			torn.Blocks++
			torn.Bytes += int64(blockHead + n)
			continue
		}
		lines := bufio.NewReader(bytes.NewReader(text))
		if head == nil {
			head = &pb.CaptureHead{}
			if err := protodelim.UnmarshalFrom(lines, head); err != nil || head.Version == 0 {
				return nil, torn, errors.New("no capture: its first block holds no head")
			}
			if head.Version > Version {
				return nil, torn, fmt.Errorf("form %d of a capture; this program reads up to %d: use the program that wrote it", head.Version, Version)
			}
		}
		for {
			c := &pb.Captured{}
			if err := protodelim.UnmarshalFrom(lines, c); err != nil {
				if !errors.Is(err, io.EOF) {
					torn.Blocks++
				}
				break
			}
			if err := f(c); err != nil {
				return head, torn, err
			}
		}
	}
	if head == nil {
		return nil, torn, errors.New("no capture: no whole block with a head in it")
	}
	return head, torn, nil
}
