package http1

import "strings"

// Response reads the head of a final response and skips up to maxInterim interim responses before it. It returns an *Error if
// a head is malformed; any other error comes from the connection or from the Memory. It releases the previous head.
func (r *Reader) Response() (*Head, error) {
	for range maxInterim {
		line, err := r.startLine()
		if err != nil {
			return nil, err
		}
		h, version, err := parseStatusLine(line)
		if err != nil {
			return nil, err
		}
		if err := r.readRest(h, maxHead-len(line)); err != nil {
			return nil, err
		}
		switch {
		case h.Status == 101:
			return nil, malformed(502, "unexpected protocol upgrade")
		case h.Status < 200:
			continue
		case h.Status == 204 || h.Status == 304: // never have a body
			h.Length = 0
		}
		h.Close = h.Close || version == "HTTP/1.0" || h.Length == UntilEnd
		return h, nil
	}
	return nil, malformed(502, "more than %d interim responses", maxInterim)
}

func parseStatusLine(line string) (h *Head, version string, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, ok := ParseDigits(code)
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 || !ok || status < 100 {
		return nil, "", malformed(502, "malformed status line")
	}
	return &Head{Status: int(status)}, version, nil
}
