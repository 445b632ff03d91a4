package client

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	defaultPartBytes = 16 << 20
	defaultParallel  = 4
)

// PutOptions are the options of Put. The zero value is usable.
type PutOptions struct {
	ContentType string            // empty: that of the gateway
	Meta        map[string]string // stored with the object
	OnlyNew     bool              // fail if there is an object of the name
	Part        int64             // bytes; larger objects are uploaded in parts of this size; 0: 16 MiB
	Parallel    int               // parts uploaded at once; 0: 4
	// Progress, if not nil, is called with the number of bytes that have arrived so far. Its calls never overlap, but come from several
	// goroutines.
	Progress func(done int64)
}

func (o PutOptions) withDefaults() PutOptions {
	if o.Part <= 0 {
		o.Part = defaultPartBytes
	}
	if o.Parallel <= 0 {
		o.Parallel = defaultParallel
	}
	if o.Progress == nil {
		o.Progress = func(int64) {}
	}
	return o
}

// header returns the headers that describe the object.
func (o PutOptions) header() http.Header {
	header := http.Header{}
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	for key, value := range o.Meta {
		header.Set(metaHeader+key, value)
	}
	return header
}

// setCondition sets the header by which an object is not replaced.
func (o PutOptions) setCondition(header http.Header) {
	if o.OnlyNew {
		header.Set("If-None-Match", "*")
	}
}

// Put stores size bytes as an object and returns its entity tag. The bytes are read twice or more: for their digest, and for each attempt.
// With OnlyNew, the error of an existing object is an *Error with the Code PreconditionFailed.
func (c *Client) Put(ctx context.Context, volume, name string, in io.ReaderAt, size int64, o PutOptions) (etag string, err error) {
	o = o.withDefaults()
	if size > o.Part {
		upload := &multipartUpload{client: c, volume: volume, name: name, in: in, size: size, options: o}
		return upload.run(ctx)
	}
	r, err := newBodyRequest(in, 0, size)
	if err != nil {
		return "", err
	}
	r.method, r.volume, r.name, r.header, r.nonIdempotent = http.MethodPut, volume, name, o.header(), o.OnlyNew
	o.setCondition(r.header)
	response, err := c.do(ctx, r)
	if err != nil {
		return "", err
	}
	_ = response.Body.Close() // it has no bytes
	o.Progress(size)
	return unquoteETag(response.Header.Get("ETag")), nil
}

// newBodyRequest returns a request with a stretch of in for a body, and its digest.
func newBodyRequest(in io.ReaderAt, from, size int64) (*request, error) {
	r := &request{size: size, body: func() io.Reader { return io.NewSectionReader(in, from, size) }}
	digest := sha256.New()
	if n, err := io.Copy(digest, r.body()); err != nil || n != size {
		return nil, fmt.Errorf("read what is to be put: %d of %d bytes: %w", n, size, errors.Join(err, io.ErrUnexpectedEOF))
	}
	r.digest = hex.EncodeToString(digest.Sum(nil))
	return r, nil
}
