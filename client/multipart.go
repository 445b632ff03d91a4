package client

import (
	"bytes"
	"context"
	"encoding/xml"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"golang.org/x/sync/errgroup"
)

// multipartUpload is one object that is uploaded in parts.
type multipartUpload struct {
	client       *Client
	volume, name string
	in           io.ReaderAt
	size         int64
	options      PutOptions // with defaults

	id   string
	mu   sync.Mutex
	sent int64 // bytes that have arrived; guarded by mu, as are calls of Progress
}

// uploadedPart is a part as the document that completes the upload names it.
type uploadedPart struct {
	PartNumber int
	ETag       string
}

// run uploads the parts, completes the upload and returns the object's entity tag. After a failure it aborts the upload.
func (u *multipartUpload) run(ctx context.Context) (etag string, err error) {
	if err := u.create(ctx); err != nil {
		return "", err
	}
	defer func() {
		if err != nil {
			u.abort(context.WithoutCancel(ctx))
		}
	}()
	parts, err := u.uploadParts(ctx)
	if err != nil {
		return "", err
	}
	return u.complete(ctx, parts)
}

func (u *multipartUpload) create(ctx context.Context) error {
	response, err := u.client.do(ctx, &request{method: http.MethodPost, volume: u.volume, name: u.name, query: url.Values{"uploads": {""}},
		header: u.options.header()})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // only read
	var document struct {
		UploadID string `xml:"UploadId"`
	}
	err = xml.NewDecoder(response.Body).Decode(&document)
	if err != nil || document.UploadID == "" {
		return fmt.Errorf("begin of an upload: the answer can't be read: %w", err)
	}
	u.id = document.UploadID
	return nil
}

// abort removes the parts. Where that fails, the gateway does it once the upload is idle for long.
func (u *multipartUpload) abort(ctx context.Context) {
	response, err := u.client.do(ctx, &request{method: http.MethodDelete, volume: u.volume, name: u.name, query: url.Values{"uploadId": {u.id}}})
	if err == nil {
		_ = response.Body.Close() // it has no bytes
	}
}

// uploadParts uploads all parts, up to Parallel at once. The first error cancels the others.
func (u *multipartUpload) uploadParts(ctx context.Context) ([]uploadedPart, error) {
	parts := make([]uploadedPart, (u.size+u.options.Part-1)/u.options.Part)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(u.options.Parallel)
	for i := range parts {
		group.Go(func() (err error) {
			parts[i], err = u.uploadPart(ctx, i)
			return err
		})
	}
	return parts, group.Wait()
}

// uploadPart uploads part i, counted from 0.
func (u *multipartUpload) uploadPart(ctx context.Context, i int) (uploadedPart, error) {
	from := int64(i) * u.options.Part
	r, err := newBodyRequest(u.in, from, min(u.options.Part, u.size-from))
	if err != nil {
		return uploadedPart{}, err
	}
	number := i + 1
	r.method, r.volume, r.name = http.MethodPut, u.volume, u.name
	r.query = url.Values{"uploadId": {u.id}, "partNumber": {strconv.Itoa(number)}}
	response, err := u.client.do(ctx, r)
	if err != nil {
		return uploadedPart{}, fmt.Errorf("part %d: %w", number, err)
	}
	_ = response.Body.Close() // it has no bytes
	u.reportProgress(r.size)
	return uploadedPart{number, response.Header.Get("ETag")}, nil
}

func (u *multipartUpload) reportProgress(size int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent += size
	u.options.Progress(u.sent)
}

// complete makes the object of the parts. It is not idempotent: one that may have run is not retried.
func (u *multipartUpload) complete(ctx context.Context, parts []uploadedPart) (etag string, err error) {
	document, err := xml.Marshal(struct {
		XMLName xml.Name `xml:"CompleteMultipartUpload"`
		Part    []uploadedPart
	}{Part: parts})
	if err != nil {
		return "", err
	}
	r, err := newBodyRequest(bytes.NewReader(document), 0, int64(len(document)))
	if err != nil {
		return "", err
	}
	r.method, r.volume, r.name, r.query, r.header, r.nonIdempotent = http.MethodPost, u.volume, u.name, url.Values{"uploadId": {u.id}}, http.Header{}, true
	u.options.setCondition(r.header)
	response, err := u.client.do(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // only read
	var object struct{ ETag string }
	if err := xml.NewDecoder(response.Body).Decode(&object); err != nil {
		return "", fmt.Errorf("end of an upload: the answer can't be read: %w", err)
	}
	return unquoteETag(object.ETag), nil
}
