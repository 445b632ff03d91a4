package http1

import "strings"

var methods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"}

// MinRequestPrefix is how many bytes MayStartRequest needs to be sure.
const MinRequestPrefix = len("\r\nCONNECT ")

// MayStartRequest reports whether a pipelined request may begin with prefix, of which more may come. What can't be a request
// was meant as a body: the length before it was wrong.
func MayStartRequest(prefix []byte) bool {
	text := strings.TrimPrefix(string(prefix), "\r\n")
	if text == "\r" || text == "" {
		return true
	}
	for _, method := range methods {
		if method += " "; strings.HasPrefix(text, method) || strings.HasPrefix(method, text) {
			return true
		}
	}
	return false
}

// Request reads the head of a request. An *Error says that it is malformed; any other error is the connection's.
func (r *Reader) Request() (*Head, error) {
	line, err := r.line()
	if err == nil && line == "" { // RFC 9112, 2.2: an empty line before a request is to be passed over
		line, err = r.line()
	}
	if err != nil {
		return nil, err
	}
	h, err := parseRequestLine(line)
	if err != nil {
		return nil, err
	}
	if err := r.readFields(h); err != nil {
		return nil, err
	}
	if h.Count("Host") != 1 {
		return nil, malformed(400, "%d Host fields, wanted 1", h.Count("Host"))
	}
	if h.Length == UntilEnd { // a request without a length has no body
		h.Length = 0
	}
	return h, nil
}

const maxMethod = 16 // bytes

func parseRequestLine(line string) (*Head, error) {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	switch {
	case !hasTarget || !hasVersion || method == "" || len(method) > maxMethod || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
		return nil, malformed(400, "malformed start line")
	case !strings.HasPrefix(target, "/") || strings.IndexFunc(target, notVisible) >= 0:
		return nil, malformed(400, "malformed target")
	case version != "HTTP/1.1":
		return nil, malformed(505, "version is not HTTP/1.1")
	}
	return &Head{Method: method, Target: target}, nil
}
