package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// metaHeader is the prefix of the names of metadata headers.
const metaHeader = "X-Amz-Meta-"

// Info describes an object. In lists only Name, ETag, Size and Modified are set.
type Info struct {
	Name, ETag, ContentType string            // the ETag has no quotes
	Size                    int64             // bytes; from Get, the size of the returned range
	Modified                time.Time         // time of the last modification, in whole seconds
	Meta                    map[string]string // metadata stored with the object, with keys in lower case
}

func newInfo(name string, response *http.Response) Info {
	info := Info{Name: name, ETag: unquoteETag(response.Header.Get("ETag")), ContentType: response.Header.Get("Content-Type"),
		Size: response.ContentLength, Meta: map[string]string{}}
	info.Modified, _ = http.ParseTime(response.Header.Get("Last-Modified")) // the zero time if the header is absent
	for key, values := range response.Header {
		if meta, ok := strings.CutPrefix(key, metaHeader); ok {
			info.Meta[strings.ToLower(meta)] = values[0]
		}
	}
	return info
}

func unquoteETag(etag string) string { return strings.Trim(etag, `"`) }

// Head returns information about an object. NotFound reports true for its error if the object does not exist.
func (c *Client) Head(ctx context.Context, volume, name string) (Info, error) {
	response, err := c.do(ctx, &request{method: http.MethodHead, volume: volume, name: name})
	if err != nil {
		return Info{}, err
	}
	_ = response.Body.Close() // the body is empty
	return newInfo(name, response), nil
}

// Get returns size bytes of an object, starting at offset from; if size is 0, it returns all bytes up to the end of the object. If from is
// negative, it returns the last -from bytes and ignores size. The caller must close the body. Reading the body fails if the connection
// ends early; such a read is not retried.
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

// Delete deletes an object. It is not an error if the object does not exist.
func (c *Client) Delete(ctx context.Context, volume, name string) error {
	response, err := c.do(ctx, &request{method: http.MethodDelete, volume: volume, name: name})
	if err == nil {
		_ = response.Body.Close() // the body is empty
	}
	return err
}
