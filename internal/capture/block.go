// Package capture keeps the load of a gateway on disk and reads it back: requests, their attempts and the states of endpoints.
//
// A capture is a ring of segment files of bounded size. A segment is a row of blocks, each compressed (Zstandard, RFC 8878) and checksummed
// by itself; the first record of a segment is its head. Records are length-delimited protobuf (proto/capture.proto), where a request is
// called a command, an endpoint a brick and a gateway a host.
//
// Invariants: a Writer never blocks the engine; records that could not be written are counted, and the capture itself holds the count. A
// reader gets every block that is whole, wherever the capture is torn. Names of objects are never written, only keyed hashes of them.
package capture

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Version is that of the form; a reader rejects captures of a later one.
const Version = 1

// A block is a header and its compressed content. The header is the magic, the sizes of the compressed and of the plain content in bytes, and
// the CRC-32C of the compressed content: 4 bytes each, little-endian.
const (
	headerBytes   = 16
	maxBlockBytes = 8 << 20   // of either content; what claims more is torn
	blockBytes    = 128 << 10 // of plain content, from which on a block is written
)

var (
	magic      = [4]byte{'W', 'C', 'A', 'P'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type blockHeader struct {
	packedBytes, plainBytes uint32
	sum                     uint32 // of the packed content
}

// parseHeader parses the headerBytes at the beginning of a block; ok is false if no block begins there.
func parseHeader(header []byte) (h blockHeader, ok bool) {
	h = blockHeader{packedBytes: binary.LittleEndian.Uint32(header[4:]), plainBytes: binary.LittleEndian.Uint32(header[8:]),
		sum: binary.LittleEndian.Uint32(header[12:])}
	return h, bytes.Equal(header[:4], magic[:]) && h.packedBytes <= maxBlockBytes && h.plainBytes <= maxBlockBytes
}

// blockBuilder makes blocks of records.
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

// full reports whether the block should be written.
func (b *blockBuilder) full() bool { return b.plain.Len() >= blockBytes }

// finish returns the block of all that was added since the last one. It is valid until the next call.
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

// close frees the builder's memory.
func (b *blockBuilder) close() { _ = b.encoder.Close() } // it has no file to fail on
