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

// multipartUpload is the upload of one object in parts.
type multipartUpload struct {
	client       *Client
	volume, name string
	in           io.ReaderAt
	size         int64
	options      PutOptions // options with defaults applied

	id   string
	mu   sync.Mutex // guards sent and calls of Progress
	sent int64      // bytes of the parts that have been uploaded
}

// uploadedPart is an entry of the part list in the document that completes the upload.
type uploadedPart struct {
	PartNumber int
	ETag       string
}

// run creates the upload, uploads the parts, completes the upload and returns the object's entity tag. If a later step fails, it aborts
// the upload.
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
	defer func() { _ = response.Body.Close() }() // the response was only read; an error has no effect
	var document struct {
		UploadID string `xml:"UploadId"`
	}
	err = xml.NewDecoder(response.Body).Decode(&document)
	if err != nil || document.UploadID == "" {
		return fmt.Errorf("create multipart upload: invalid response: %w", err)
	}
	u.id = document.UploadID
	return nil
}

// abort deletes the upload with its parts. If that fails, the gateway deletes them after its idle timeout for uploads.
func (u *multipartUpload) abort(ctx context.Context) {
	response, err := u.client.do(ctx, &request{method: http.MethodDelete, volume: u.volume, name: u.name, query: url.Values{"uploadId": {u.id}}})
	if err == nil {
		_ = response.Body.Close() // the body is empty
	}
}

// uploadParts uploads all parts, up to Parallel at once. The first error cancels the remaining uploads.
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

// uploadPart uploads the part with index i, counted from 0. Its part number is i+1.
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
	_ = response.Body.Close() // the body is empty
	u.reportProgress(r.size)
	return uploadedPart{number, response.Header.Get("ETag")}, nil
}

func (u *multipartUpload) reportProgress(size int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent += size
	u.options.Progress(u.sent)
}

// complete completes the upload and returns the object's entity tag. The request is not idempotent, so it is not retried if it may have
// run.
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
	defer func() { _ = response.Body.Close() }() // the response was only read; an error has no effect
	var object struct{ ETag string }
	if err := xml.NewDecoder(response.Body).Decode(&object); err != nil {
		return "", fmt.Errorf("complete multipart upload: invalid response: %w", err)
	}
	return unquoteETag(object.ETag), nil
}
