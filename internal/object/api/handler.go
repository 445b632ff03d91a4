// Package api implements the object API over HTTP, a subset of the Amazon S3 REST API (version 2006-03-01; HTTP semantics follow RFC
// 9110). Buckets are volumes, addressed in path style. The API supports objects with conditional and range requests, listings and
// multipart uploads.
//
// The package parses requests, checks their signatures and writes responses. Package decide holds the rules and the faults, package gate
// stores and reads the objects. XML element names and header names are part of the API and keep its spelling.
package api

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"time"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/object/gate"
)

// Config configures a Handler.
type Config struct {
	Gate         *gate.Gate
	Keys         Keys          // nil: requests need no signature
	MaxClockSkew time.Duration // maximum difference between the time of a signed request and Now
	MaxRequests  int           // maximum number of concurrent requests; more are rejected. Less than 1: 1
	MinPartBytes int64         // minimum size of each part of an upload except the last; 0: decide.MinPartBytes
	StallTimeout time.Duration // maximum time that one read or write of a body may block before the connection is closed; 0: no limit
	Log          *slog.Logger
	Now          func() time.Time // the wall clock; nil: time.Now
}

// Handler returns the HTTP handler of the object API.
func Handler(config Config) http.Handler {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.MinPartBytes == 0 {
		config.MinPartBytes = decide.MinPartBytes
	}
	return &handler{config, make(chan struct{}, max(config.MaxRequests, 1))}
}

type handler struct {
	config Config
	slots  chan struct{} // one element for each request in flight
}

// ServeHTTP serves one request. It implements http.Handler.
func (h *handler) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if h.config.StallTimeout > 0 {
		guard := newStallGuard(response, request.Body, h.config.StallTimeout)
		response, request.Body = guard, guard
	}
	c := &call{handler: h, response: response, request: request}
	response.Header().Set("Server", "weirhaven")
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		c.fail(decide.SlowDown.With("As many requests as are allowed are under way."))
		return
	}
	if err := c.serve(); err != nil {
		c.fail(err)
	}
}

// call is a request that is being served. It is used by one goroutine.
type call struct {
	*handler
	response http.ResponseWriter
	request  *http.Request

	volume, name    string // names of the volume and the object; name is empty for a request about the volume itself
	query           url.Values
	payload         string // expected digest or kind of the body, see Keys.authenticate
	responseStarted bool   // whether the status has been sent; after that, a failure can only cut the response short
}

func (c *call) serve() error {
	if err := c.parseURL(); err != nil {
		return err
	}
	access, payload, fault := c.config.Keys.authenticate(c.request, c.config.Now(), c.config.MaxClockSkew)
	if fault != nil {
		return fault
	}
	c.payload = payload
	switch {
	case c.volume == "":
		return &decide.NotImplemented
	case !access.Allows(c.volume):
		return decide.AccessDenied.With("The key does not reach the bucket.")
	case !c.config.Gate.HasVolume(c.volume):
		return &decide.NoSuchBucket
	case len(c.name) > decide.MaxNameBytes:
		return decide.InvalidArgument.With("A name of more than %d bytes.", decide.MaxNameBytes)
	case c.name == "":
		return c.serveBucket()
	}
	return c.serveObject()
}

func (c *call) parseURL() error {
	path, ok := strings.CutPrefix(c.request.URL.Path, "/")
	if !ok {
		return decide.InvalidArgument.With("The path does not begin with /.")
	}
	c.volume, c.name, _ = strings.Cut(path, "/")
	var err error
	if c.query, err = url.ParseQuery(c.request.URL.RawQuery); err != nil {
		return decide.InvalidArgument.With("The query can't be read.")
	}
	return nil
}

// serveBucket serves a request about the volume itself.
func (c *call) serveBucket() error {
	switch {
	case c.request.Method == http.MethodHead:
		c.response.WriteHeader(http.StatusOK)
		return nil
	case c.request.Method != http.MethodGet:
		return decide.MethodNotAllowed.With("Volumes come and go by settings or the planner.")
	case c.query.Has("uploads"):
		return c.listUploads()
	case c.query.Has("location"):
		return c.sendXML(locationResponse{Space: xmlSpace})
	}
	return c.listObjects()
}

// serveObject serves a request about an object or a multipart upload of it.
func (c *call) serveObject() error {
	uploadID := c.query.Get("uploadId")
	switch c.request.Method {
	case http.MethodGet, http.MethodHead:
		if uploadID != "" {
			return c.listParts(uploadID)
		}
		return c.getObject()
	case http.MethodPut:
		if c.request.Header.Get("X-Amz-Copy-Source") != "" {
			return decide.NotImplemented.With("(copy)")
		}
		if uploadID != "" {
			return c.putPart(uploadID)
		}
		return c.putObject()
	case http.MethodDelete:
		if uploadID != "" {
			return c.abortUpload(uploadID)
		}
		return c.deleteObject()
	case http.MethodPost:
		if c.query.Has("uploads") {
			return c.createUpload()
		}
		if uploadID != "" {
			return c.completeUpload(uploadID)
		}
	}
	return &decide.MethodNotAllowed
}

// gateNow returns the time on the gate's clock, which the ages of extents are measured with.
func (c *call) gateNow() time.Duration { return c.config.Gate.Now() }

// date returns the wall clock time in ns since 1970, which is used for dates that are sent to clients.
func (c *call) date() int64 { return c.config.Now().UnixNano() }

// stallGuard sets a deadline for each read and write of a body. It protects against stalled clients: each would occupy one of the
// MaxRequests slots until none is left, and all further requests would be rejected with SlowDown although no data is transferred. A slow
// client is not affected, because each read or write starts the timeout anew.
type stallGuard struct {
	http.ResponseWriter
	body    io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
}

func newStallGuard(response http.ResponseWriter, body io.ReadCloser, timeout time.Duration) *stallGuard {
	return &stallGuard{ResponseWriter: response, body: body, control: http.NewResponseController(response), timeout: timeout}
}

// Read reads from the request's body. It implements io.Reader. At the end of the body it clears the deadline: the HTTP server then keeps
// reading from the connection to detect a disconnect, and would mistake a deadline that passes while the body is stored for one.
func (g *stallGuard) Read(buffer []byte) (int, error) {
	_ = g.control.SetReadDeadline(time.Now().Add(g.timeout)) // without support for deadlines, stalls are not detected
	n, err := g.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		_ = g.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Write writes to the response's body. It implements io.Writer.
func (g *stallGuard) Write(content []byte) (int, error) {
	_ = g.control.SetWriteDeadline(time.Now().Add(g.timeout)) // as above
	return g.ResponseWriter.Write(content)
}

// Close closes the request's body. It implements io.Closer.
func (g *stallGuard) Close() error { return g.body.Close() }

// Unwrap returns the underlying writer, for http.ResponseController.
func (g *stallGuard) Unwrap() http.ResponseWriter { return g.ResponseWriter }
