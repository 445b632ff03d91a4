package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// metaHeader begins the names of headers with an object's metadata.
const metaHeader = "X-Amz-Meta-"

// Info describes an object. In lists only Name, ETag, Size and Modified are set.
type Info struct {
	Name, ETag, ContentType string            // ETag without quotes
	Size                    int64             // bytes; of Get: of the range that was asked for
	Modified                time.Time         // in whole seconds
	Meta                    map[string]string // the client's own, keys in lower case
}

func newInfo(name string, response *http.Response) Info {
	info := Info{Name: name, ETag: unquoteETag(response.Header.Get("ETag")), ContentType: response.Header.Get("Content-Type"),
		Size: response.ContentLength, Meta: map[string]string{}}
	info.Modified, _ = http.ParseTime(response.Header.Get("Last-Modified")) // the zero value where it is absent
	for key, values := range response.Header {
		if meta, ok := strings.CutPrefix(key, metaHeader); ok {
			info.Meta[strings.ToLower(meta)] = values[0]
		}
	}
	return info
}

func unquoteETag(etag string) string { return strings.Trim(etag, `"`) }

// Head describes an object. The error of an object that does not exist is NotFound.
func (c *Client) Head(ctx context.Context, volume, name string) (Info, error) {
	response, err := c.do(ctx, &request{method: http.MethodHead, volume: volume, name: name})
	if err != nil {
		return Info{}, err
	}
	_ = response.Body.Close() // it has no bytes
	return newInfo(name, response), nil
}

// Get returns size bytes of an object from an offset on, all up to the end if size is 0; if from is below 0, the object's last -from bytes.
// The caller closes the body. Reading it fails if the connection ends early; that is not retried.
func (c *Client) Get(ctx context.Context, volume, name string, from, size int64) (Info, io.ReadCloser, error) {
	r := &request{method: http.MethodGet, volume: volume, name: name, header: http.Header{}}
	switch {
	case from < 0:
		r.header.Set("Range", fmt.Sprintf("bytes=%d", from))
	case size > 0:
		r.header.Set("Range", fmt.Sprintf("bytes=%d-%d", from, from+size-1))
	case from > 0:
		r.header.Set("Range", fmt.Sprintf("bytes=%d-", from))
	}
	response, err := c.do(ctx, r)
	if err != nil {
		return Info{}, nil, err
	}
	return newInfo(name, response), response.Body, nil
}

// Delete removes an object. That there is none is no error.
func (c *Client) Delete(ctx context.Context, volume, name string) error {
	response, err := c.do(ctx, &request{method: http.MethodDelete, volume: volume, name: name})
	if err == nil {
		_ = response.Body.Close() // the status says it all
	}
	return err
}
