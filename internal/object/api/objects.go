package api

import (
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/gate"
	"weirhaven/internal/pb"
)

const (
	metaHeader         = "X-Amz-Meta-" // begins the names of headers with a client's metadata
	defaultContentType = "binary/octet-stream"
)

// representation is an object as conditions and ranges see it; nil for none.
func representation(object *pb.ObjectRecord) *decide.Representation {
	if object == nil {
		return nil
	}
	return &decide.Representation{ETag: object.Etag, Modified: time.Unix(0, object.Modified), Size: object.Size}
}

// checkPreconditions is the index.Precondition of the request.
func (c *call) checkPreconditions(old *pb.ObjectRecord) error {
	if decide.EvaluatePreconditions(c.request.Header, representation(old), false) == decide.Proceed {
		return nil
	}
	if old == nil && c.request.Header.Get("If-Match") != "" {
		return &decide.NoSuchKey
	}
	return &decide.PreconditionFailed
}

func (c *call) putObject() error {
	// Also before the body is read: an object that may not be replaced is not even written.
	if old, err := c.config.Gate.Index().Get(c.volume, c.name); err != nil {
		return err
	} else if err := c.checkPreconditions(old); err != nil {
		return err
	}
	return c.store(func(stored gate.WriteResult) error {
		object := &pb.ObjectRecord{Volume: c.volume, Name: c.name, Etag: stored.ETag, Size: stored.Size, Modified: c.date(),
			ContentType: c.request.Header.Get("Content-Type"), Meta: c.metadata(), Extent: stored.Extents}
		return c.config.Gate.Index().Commit(object, c.checkPreconditions, c.gateNow())
	})
}

// metadata returns the client's own metadata of an object.
func (c *call) metadata() map[string]string {
	metadata := map[string]string{}
	for key, values := range c.request.Header {
		if name, ok := strings.CutPrefix(key, metaHeader); ok && len(values) > 0 {
			metadata[strings.ToLower(name)] = values[0]
		}
	}
	return metadata
}

func (c *call) deleteObject() error {
	if _, err := c.config.Gate.Index().Delete(c.volume, c.name, c.checkPreconditions, c.gateNow()); err != nil {
		return err
	}
	c.response.WriteHeader(http.StatusNoContent)
	return nil
}

// getObject serves GET and HEAD.
func (c *call) getObject() error {
	defer c.config.Gate.BeginRead()() // before the look-up: what is found stays readable
	object, err := c.config.Gate.Index().Get(c.volume, c.name)
	if err != nil {
		return err
	}
	if object == nil {
		return &decide.NoSuchKey
	}
	current := representation(object)
	c.setObjectHeader(object, current.Modified)
	switch decide.EvaluatePreconditions(c.request.Header, current, true) {
	case decide.NotModified:
		c.response.WriteHeader(http.StatusNotModified)
		return nil
	case decide.PreconditionFails:
		return &decide.PreconditionFailed
	}
	ranges, fault := decide.ParseRanges(c.request.Header, current)
	if fault != nil {
		c.response.Header().Set("Content-Range", fmt.Sprintf("bytes */%d", object.Size))
		return fault
	}
	switch len(ranges) {
	case 0:
		return c.sendRange(object, decide.Range{From: 0, Size: object.Size}, http.StatusOK)
	case 1:
		c.response.Header().Set("Content-Range", ranges[0].ContentRange(object.Size))
		return c.sendRange(object, ranges[0], http.StatusPartialContent)
	}
	return c.sendRanges(object, ranges)
}

func (c *call) setObjectHeader(object *pb.ObjectRecord, modified time.Time) {
	header := c.response.Header()
	header.Set("ETag", quoteETag(object.Etag))
	header.Set("Last-Modified", modified.UTC().Format(http.TimeFormat))
	header.Set("Accept-Ranges", "bytes")
	for name, value := range object.Meta {
		header.Set(metaHeader+name, value)
	}
}

func contentType(object *pb.ObjectRecord) string {
	if object.ContentType == "" {
		return defaultContentType
	}
	return object.ContentType
}

// sendRange sends one stretch of an object, or all of it.
func (c *call) sendRange(object *pb.ObjectRecord, r decide.Range, status int) error {
	header := c.response.Header()
	header.Set("Content-Type", contentType(object))
	header.Set("Content-Length", strconv.FormatInt(r.Size, 10))
	if c.request.Method == http.MethodHead {
		c.response.WriteHeader(status)
		return nil
	}
	return c.config.Gate.Read(c.request.Context(), object, r, c.response, func() {
		c.responseStarted = true
		c.response.WriteHeader(status)
	})
}

// sendRanges sends several stretches of an object (RFC 9110, section 14.6).
func (c *call) sendRanges(object *pb.ObjectRecord, ranges []decide.Range) error {
	if c.request.Method == http.MethodHead {
		c.response.WriteHeader(http.StatusPartialContent)
		return nil
	}
	parts := multipart.NewWriter(c.response)
	c.response.Header().Set("Content-Type", "multipart/byteranges; boundary="+parts.Boundary())
	for _, r := range ranges {
		var part io.Writer // created once the first bytes are there
		toPart := writerFunc(func(content []byte) (int, error) { return part.Write(content) })
		err := c.config.Gate.Read(c.request.Context(), object, r, toPart, func() {
			if !c.responseStarted {
				c.responseStarted = true
				c.response.WriteHeader(http.StatusPartialContent)
			}
			// Its error is that of the connection, which the next write returns again.
			part, _ = parts.CreatePart(textproto.MIMEHeader{"Content-Type": {contentType(object)}, "Content-Range": {r.ContentRange(object.Size)}})
		})
		if err != nil {
			return err
		}
	}
	return parts.Close()
}

type writerFunc func(content []byte) (int, error)

// Write calls the function. It implements io.Writer.
func (f writerFunc) Write(content []byte) (int, error) { return f(content) }
