package http1

import "strings"

var methods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"}

// MinRequestPrefix is the number of bytes that MayStartRequest needs for a definite result.
const MinRequestPrefix = len("\r\nCONNECT ")

// MayStartRequest reports whether a pipelined request may begin with prefix, which may be incomplete. If not, the bytes belong
// to the preceding body, whose length was wrong.
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

// Request reads the head of a request. It returns an *Error if the head is malformed; any other error comes from the
// connection, or from the Memory. It releases the previous head.
func (r *Reader) Request() (*Head, error) {
	line, err := r.startLine()
	if err == nil && line == "" { // RFC 9112, 2.2: a server should ignore an empty line before a request
		line, err = r.startLine()
	}
	if err != nil {
		return nil, err
	}
	h, err := parseRequestLine(line)
	if err != nil {
		return nil, err
	}
	if err := r.readRest(h, maxHead-len(line)); err != nil {
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
