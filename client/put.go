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
	ContentType string            // media type of the object; empty: the gateway's default
	Meta        map[string]string // metadata stored with the object
	OnlyNew     bool              // whether Put fails if the object already exists
	Part        int64             // part size in bytes; larger objects are uploaded in parts of this size; 0: 16 MiB
	Parallel    int               // maximum number of parts uploaded at once; 0: 4
	// Progress, if not nil, is called with the number of bytes stored so far. Calls never overlap, but may come from different
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

// setCondition sets the header that prevents replacing an existing object, if OnlyNew is set.
func (o PutOptions) setCondition(header http.Header) {
	if o.OnlyNew {
		header.Set("If-None-Match", "*")
	}
}

// Put stores size bytes of in as an object and returns its entity tag. It reads the bytes at least twice: once for their digest, and once
// for each attempt. With OnlyNew, if the object already exists, the error is an *Error with Code PreconditionFailed.
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
	_ = response.Body.Close() // the body is empty
	o.Progress(size)
	return unquoteETag(response.Header.Get("ETag")), nil
}

// newBodyRequest returns a request whose body is size bytes of in from an offset on. It reads these bytes to compute their digest.
func newBodyRequest(in io.ReaderAt, from, size int64) (*request, error) {
	r := &request{size: size, body: func() io.Reader { return io.NewSectionReader(in, from, size) }}
	digest := sha256.New()
	if n, err := io.Copy(digest, r.body()); err != nil || n != size {
		return nil, fmt.Errorf("read object content: got %d of %d bytes: %w", n, size, errors.Join(err, io.ErrUnexpectedEOF))
	}
	r.digest = hex.EncodeToString(digest.Sum(nil))
	return r, nil
}
