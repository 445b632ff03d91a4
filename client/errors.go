package client

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxErrorBytes is the maximum number of bytes that are read of an error document.
const maxErrorBytes = 64 << 10

// Error is an error response of the gateway. The methods of Client return errors that wrap it; their other errors come from the
// connection or from ctx.
type Error struct {
	Status        int           // HTTP status
	Code, Message string        // error code of the object API, such as NoSuchKey, and its human-readable description
	MayHaveRun    bool          // whether the request may have taken effect
	After         time.Duration // delay before a retry, from Retry-After; 0: the response has none
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%d %s: %s", e.Status, e.Code, e.Message) }

// NotFound reports whether err means that an object, volume or upload does not exist.
func NotFound(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == http.StatusNotFound
}

// readError returns the Error for an unsuccessful response, and closes the response's body.
func readError(response *http.Response) *Error {
	defer func() { _ = response.Body.Close() }() // the response was only read; an error has no effect
	e := &Error{Status: response.StatusCode, Code: http.StatusText(response.StatusCode),
		MayHaveRun: response.StatusCode >= http.StatusInternalServerError && response.Header.Get("X-Weirhaven-May-Have-Run") != "no"}
	var document struct{ Code, Message string }
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // if the document can't be read, the status is still reported
	if xml.Unmarshal(content, &document) == nil && document.Code != "" {
		e.Code, e.Message = document.Code, document.Message
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		e.After = time.Duration(seconds) * time.Second
	}
	return e
}
