package api

import (
	"bufio"
	"crypto/md5"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"hash"
	"hash/crc32"
	"io"
	"strconv"
	"strings"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/gate"
)

// chunkLineBytes is the maximum length of a chunk header or trailer line in a chunked body.
const chunkLineBytes = 4096

// store writes the request's body as extents, calls record to add references to them to the index, and responds with the entity tag. If
// record fails, store abandons the extents.
func (c *call) store(record func(stored gate.WriteResult) error) error {
	stored, err := c.writeBody()
	if err != nil {
		return err
	}
	defer stored.Release()
	if err := record(stored); err != nil {
		c.config.Gate.Abandon(c.volume, stored.Extents)
		return err
	}
	c.sendStored(stored.ETag)
	return nil
}

// writeBody writes the request's body as extents. It abandons them if the body does not have the size or the digests that the client
// announced.
func (c *call) writeBody() (gate.WriteResult, error) {
	body, fault := c.openBody()
	if fault != nil {
		return gate.WriteResult{}, fault
	}
	if body.announcedSize > decide.MaxPartBytes {
		return gate.WriteResult{}, decide.EntityTooLarge.With("At most %d.", int64(decide.MaxPartBytes))
	}
	stored, err := c.config.Gate.Write(c.request.Context(), c.volume, body.content, decide.MaxPartBytes)
	if err != nil {
		return stored, err
	}
	if fault := body.check(stored.Size); fault != nil {
		c.config.Gate.Abandon(c.volume, stored.Extents)
		return stored, fault
	}
	return stored, nil
}

// requestBody is the body of a request, with the size and the digests that the client announced.
type requestBody struct {
	content       io.Reader
	announcedSize int64 // bytes; -1: not announced
	digests       []announcedDigest
}

type announcedDigest struct {
	header string // name of the header that announced the digest
	hash   hash.Hash
	want   []byte
	err    error // error of decoding the header's value
}

// openBody returns the body of the request. After reading it to its end, the caller must call check.
func (c *call) openBody() (body *requestBody, fault *decide.Fault) {
	body = &requestBody{content: c.request.Body, announcedSize: c.request.ContentLength, digests: c.announcedDigests()}
	if c.payload == streamingPayload {
		size, err := strconv.ParseInt(c.request.Header.Get("X-Amz-Decoded-Content-Length"), 10, 64)
		if err != nil {
			return nil, decide.InvalidArgument.With("X-Amz-Decoded-Content-Length is missing.")
		}
		body.content, body.announcedSize = &chunkedReader{in: bufio.NewReaderSize(c.request.Body, chunkLineBytes)}, size
	} else if strings.HasPrefix(c.payload, "STREAMING-") {
		return nil, decide.NotImplemented.With("(%s)", c.payload)
	}
	for _, digest := range body.digests {
		if digest.err != nil || len(digest.want) != digest.hash.Size() {
			fault = decide.BadDigest.With("(%s can't be read)", digest.header)
		}
		body.content = io.TeeReader(body.content, digest.hash)
	}
	return body, fault
}

// announcedDigests returns the digests of the body that the client sent in headers.
func (c *call) announcedDigests() (digests []announcedDigest) {
	if c.payload != unsignedPayload && c.payload != streamingPayload {
		want, err := hex.DecodeString(c.payload)
		digests = append(digests, announcedDigest{"X-Amz-Content-Sha256", sha256.New(), want, err})
	}
	if value := c.request.Header.Get("Content-Md5"); value != "" {
		want, err := base64.StdEncoding.DecodeString(value)
		digests = append(digests, announcedDigest{"Content-MD5", md5.New(), want, err})
	}
	if value := c.request.Header.Get("X-Amz-Checksum-Crc32"); value != "" {
		want, err := base64.StdEncoding.DecodeString(value)
		digests = append(digests, announcedDigest{"X-Amz-Checksum-Crc32", crc32.NewIEEE(), want, err})
	}
	return digests
}

// check compares the size and the digests of the body with the announced ones. size is the number of bytes read; the body must have been
// read to its end.
func (b *requestBody) check(size int64) *decide.Fault {
	if b.announcedSize >= 0 && size != b.announcedSize {
		return decide.IncompleteBody.With("%d of %d.", size, b.announcedSize)
	}
	for _, digest := range b.digests {
		if subtle.ConstantTimeCompare(digest.hash.Sum(nil), digest.want) != 1 {
			fault := decide.BadDigest
			return &fault
		}
	}
	return nil
}
