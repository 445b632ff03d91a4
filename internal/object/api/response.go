package api

import (
	"bytes"
	"encoding/xml"
	"errors"
	"net/http"
	"strconv"
	"time"

	"weirhaven/internal/object/decide"
)

// xmlSpace is the XML namespace of the API's documents.
const xmlSpace = "http://s3.amazonaws.com/doc/2006-03-01/"

type locationResponse struct {
	XMLName xml.Name `xml:"LocationConstraint"`
	Space   string   `xml:"xmlns,attr"`
}

type errorResponse struct {
	XMLName                 xml.Name `xml:"Error"`
	Code, Message, Resource string
}

// fail sends an error response. It logs an error that is not a *decide.Fault and sends it as decide.InternalError. If the response has
// already started, fail panics with http.ErrAbortHandler, which closes the connection, so that the client detects the truncated response.
func (c *call) fail(err error) {
	var fault *decide.Fault
	if !errors.As(err, &fault) {
		if c.request.Context().Err() == nil {
			c.config.Log.Error("request failed", "method", c.request.Method, "volume", c.volume, "name", c.name, "err", err)
		}
		fault = &decide.InternalError
	}
	if c.responseStarted {
		panic(http.ErrAbortHandler)
	}
	c.setFaultHeader(fault)
	c.response.WriteHeader(fault.Status)
	if c.request.Method != http.MethodHead {
		_ = c.writeXML(errorResponse{Code: fault.Code, Message: fault.Message, Resource: c.request.URL.Path}) // an error means that the client has disconnected
	}
}

func (c *call) setFaultHeader(fault *decide.Fault) {
	header := c.response.Header()
	header.Del("Content-Length")
	header.Del("ETag")
	header.Del("Last-Modified")
	header.Set("Content-Type", "application/xml")
	if fault.RetryAfter > 0 {
		wholeSeconds := int((fault.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.Itoa(wholeSeconds))
	}
	if fault.Status >= http.StatusInternalServerError {
		header.Set("X-Weirhaven-May-Have-Run", yesOrNo(fault.MayHaveRun))
	}
}

func yesOrNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// sendXML sends a document with status 200.
func (c *call) sendXML(document any) error {
	c.response.Header().Set("Content-Type", "application/xml")
	return c.writeXML(document)
}

func (c *call) writeXML(document any) error {
	var buffer bytes.Buffer
	buffer.WriteString(xml.Header)
	if err := xml.NewEncoder(&buffer).Encode(document); err != nil {
		return err
	}
	_, err := c.response.Write(buffer.Bytes())
	return err
}

// sendStored responds to a request that stored an object or a part.
func (c *call) sendStored(etag string) {
	c.response.Header().Set("ETag", quoteETag(etag))
	c.response.WriteHeader(http.StatusOK)
}

func quoteETag(etag string) string { return `"` + etag + `"` }

// xmlTime formats a time, given in ns since 1970, for XML documents.
func xmlTime(ns int64) string { return time.Unix(0, ns).UTC().Format("2006-01-02T15:04:05.000Z") }
