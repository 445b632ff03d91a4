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
	metaHeader         = "X-Amz-Meta-" // prefix of the names of metadata headers
	defaultContentType = "binary/octet-stream"
)

// representation returns the attributes of an object that conditional and range requests depend on; nil if object is nil.
func representation(object *pb.ObjectRecord) *decide.Representation {
	if object == nil {
		return nil
	}
	return &decide.Representation{ETag: object.Etag, Modified: time.Unix(0, object.Modified), Size: object.Size}
}

// checkPreconditions evaluates the preconditions of a write request. It is an index.Precondition.
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
	// Check the preconditions also before reading the body, so that no extents are written if they fail.
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

// metadata returns the object metadata from the request's metadata headers.
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
	defer c.config.Gate.BeginRead()() // before the lookup, so that the object's extents are not removed during the read
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

// sendRange sends one range of an object, which may be the complete object.
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

// sendRanges sends several ranges of an object as multipart/byteranges (RFC 9110, section 14.6).
func (c *call) sendRanges(object *pb.ObjectRecord, ranges []decide.Range) error {
	if c.request.Method == http.MethodHead {
		c.response.WriteHeader(http.StatusPartialContent)
		return nil
	}
	parts := multipart.NewWriter(c.response)
	c.response.Header().Set("Content-Type", "multipart/byteranges; boundary="+parts.Boundary())
	for _, r := range ranges {
		var part io.Writer // created when the first extent of the range has been read
		partWriter := writerFunc(func(content []byte) (int, error) { return part.Write(content) })
		err := c.config.Gate.Read(c.request.Context(), object, r, partWriter, func() {
			if !c.responseStarted {
				c.responseStarted = true
				c.response.WriteHeader(http.StatusPartialContent)
			}
			// The error can be ignored: it is an error of the connection, and the next write returns it again.
			part, _ = parts.CreatePart(textproto.MIMEHeader{"Content-Type": {contentType(object)}, "Content-Range": {r.ContentRange(object.Size)}})
		})
		if err != nil {
			return err
		}
	}
	return parts.Close()
}

type writerFunc func(content []byte) (int, error)

// Write calls f. It implements io.Writer.
func (f writerFunc) Write(content []byte) (int, error) { return f(content) }
