// Package capture records the load of a gateway on disk and reads it back: requests, their attempts and the states of endpoints.
//
// A capture is a ring of segment files of bounded total size. A segment is a sequence of blocks, each compressed (Zstandard, RFC 8878) and
// checksummed on its own; the first record of a segment is its head. Records are length-delimited protobuf (proto/capture.proto), where a request is
// called a command, an endpoint a brick and a gateway a host.
//
// Invariants: a Writer never blocks the engine; records that could not be written are counted, and the capture itself holds the count. A
// reader returns every intact block, wherever the capture is damaged. Names of objects are never written, only keyed hashes of them.
package capture

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Version is the version of the file format; a reader rejects captures of a later version.
const Version = 1

// A block is a header and its compressed content. The header is the magic, the sizes of the compressed and of the plain content in bytes, and
// the CRC-32C of the compressed content: 4 bytes each, little-endian.
const (
	headerBytes   = 16
	maxBlockBytes = 8 << 20   // of compressed or plain content; a header with a larger size is invalid
	blockBytes    = 128 << 10 // size of the plain content at which a block is full
)

var (
	magic      = [4]byte{'W', 'C', 'A', 'P'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type blockHeader struct {
	compressedBytes, plainBytes uint32
	checksum                    uint32 // CRC-32C of the compressed content
}

// parseHeader parses the headerBytes at the beginning of a block; ok is false if no block begins there.
func parseHeader(header []byte) (h blockHeader, ok bool) {
	h = blockHeader{compressedBytes: binary.LittleEndian.Uint32(header[4:]), plainBytes: binary.LittleEndian.Uint32(header[8:]),
		checksum: binary.LittleEndian.Uint32(header[12:])}
	return h, bytes.Equal(header[:4], magic[:]) && h.compressedBytes <= maxBlockBytes && h.plainBytes <= maxBlockBytes
}

// blockBuilder encodes records into blocks.
type blockBuilder struct {
	encoder *zstd.Encoder
	plain   bytes.Buffer
	out     []byte
	records int // in plain
}

func newBlockBuilder() (*blockBuilder, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	return &blockBuilder{encoder: encoder}, err
}

func (b *blockBuilder) add(record proto.Message) error {
	b.records++
	_, err := protodelim.MarshalTo(&b.plain, record)
	return err
}

// full reports whether the block has reached its size and should be written.
func (b *blockBuilder) full() bool { return b.plain.Len() >= blockBytes }

// finish returns a block of all records added since the last call. The block is valid until the next call.
func (b *blockBuilder) finish() []byte {
	b.out = append(b.out[:0], make([]byte, headerBytes)...)
	b.out = b.encoder.EncodeAll(b.plain.Bytes(), b.out)
	copy(b.out, magic[:])
	binary.LittleEndian.PutUint32(b.out[4:], uint32(len(b.out)-headerBytes))
	binary.LittleEndian.PutUint32(b.out[8:], uint32(b.plain.Len()))
	binary.LittleEndian.PutUint32(b.out[12:], crc32.Checksum(b.out[headerBytes:], castagnoli))
	b.plain.Reset()
	b.records = 0
	return b.out
}

// close releases the encoder.
func (b *blockBuilder) close() { _ = b.encoder.Close() } // can't fail: the encoder has no writer
