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

// maxErrorBytes is how much of an error's document is read.
const maxErrorBytes = 64 << 10

// Error is an error that the gateway responded with. Errors of the methods of Client wrap it; other errors are of the connection or of ctx.
type Error struct {
	Status        int           // of HTTP
	Code, Message string        // of the object API; Code is for programs, such as NoSuchKey
	MayHaveRun    bool          // the request may have taken effect
	After         time.Duration // when to retry; 0: the gateway gave no advice
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%d %s: %s", e.Status, e.Code, e.Message) }

// NotFound reports whether an error says that there is no such object, volume or upload.
func NotFound(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == http.StatusNotFound
}

// readError makes an Error of a response that is none of success, and closes its body.
func readError(response *http.Response) *Error {
	defer func() { _ = response.Body.Close() }() // only read
	e := &Error{Status: response.StatusCode, Code: http.StatusText(response.StatusCode),
		MayHaveRun: response.StatusCode >= http.StatusInternalServerError && response.Header.Get("X-Weirhaven-May-Have-Run") != "no"}
	var document struct{ Code, Message string }
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // without it, the status says enough
	if xml.Unmarshal(content, &document) == nil && document.Code != "" {
		e.Code, e.Message = document.Code, document.Message
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		e.After = time.Duration(seconds) * time.Second
	}
	return e
}
