package downstream

import (
	"math"
	"strings"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
)

// Header fields of a request, in canonical form. Only this file maps the platform's names to this program's terms.
const (
	fieldClass   = "X-Lane"         // request class, the same as in the path
	fieldPlan    = "Tier"           // service plan
	fieldTimeout = "X-Remaining-Ms" // time left until the client's deadline, in milliseconds
	fieldID      = "X-Txn"          // request id, the same for all attempts
	fieldRetry   = "X-Resent"       // "1": the client retries the request
	fieldIOInfo  = "Io-Info"        // size, shard and number of gateways, see parseIOInfo
)

const (
	maxBody     = 64 << 10 // bytes
	maxIDLength = 64       // bytes
)

func badRequest(status int, reason string) error { return &http1.Error{Status: status, Reason: reason} }

// parseRequest builds a request from its head. It returns an *http1.Error if the head is invalid; the scheduler never sees
// such a request.
func (s *Server) parseRequest(head *http1.Head) (*engine.Request, error) {
	target, err := s.parseTarget(head)
	if err != nil {
		return nil, err
	}
	if err := s.checkHead(head, target.class); err != nil {
		return nil, err
	}
	timeoutMs, ok := http1.ParseDigits(head.Get(fieldTimeout))
	if !ok || timeoutMs > math.MaxInt32 {
		return nil, badRequest(400, "invalid X-Remaining-Ms")
	}
	info, ok := parseIOInfo(head.Get(fieldIOInfo))
	if !ok {
		return nil, badRequest(400, "units, shard or hosts missing or out of range in IO-Info")
	}
	// The engine and the scheduler keep the names. A clone does not keep the head with them.
	return &engine.Request{Volume: strings.Clone(target.volume), Class: s.classes[target.class].Name, Object: strings.Clone(target.object),
		Trace: strings.Clone(head.Get(fieldID)), Plan: strings.Clone(head.Get(fieldPlan)), Timeout: max(time.Duration(timeoutMs)*time.Millisecond, 1), Retry: head.Get(fieldRetry) == "1",
		Units: info.units, Shard: info.shard, Gateways: info.gateways, Header: forwardedHead(head)}, nil
}

type target struct{ class, volume, object string }

// parseTarget parses the path, /class/volume/object. It ignores the query, which is forwarded unchanged.
func (s *Server) parseTarget(head *http1.Head) (target, error) {
	path, _, _ := strings.Cut(head.Target, "?")
	parts := strings.Split(path, "/")
	if len(parts) != 4 {
		return target{}, badRequest(404, "no such path")
	}
	t := target{class: parts[1], volume: parts[2], object: parts[3]}
	switch _, ok := s.classes[t.class]; {
	case !ok:
		return target{}, badRequest(404, "unknown request class")
	case head.Get(fieldClass) != t.class:
		return target{}, badRequest(400, "request class differs between path and X-Lane")
	case !isHex16(t.volume) || !isHex16(t.object):
		return target{}, badRequest(404, "volume or object is not 16 hexadecimal digits")
	}
	return t, nil
}

// checkHead checks the method, plan, id and body length.
func (s *Server) checkHead(head *http1.Head, class string) error {
	method := "GET"
	if s.classes[class].Writes {
		method = "PUT"
	}
	switch {
	case head.Method != method:
		return badRequest(405, "method not allowed for the request class")
	case !s.plans[head.Get(fieldPlan)]:
		return badRequest(400, "unknown plan")
	case !isToken(head.Get(fieldID)):
		return badRequest(400, "missing or invalid request id")
	case method == "GET" && head.Length != 0:
		return badRequest(400, "read request with a body")
	case method == "PUT" && head.Count("Content-Length")+head.Count("Transfer-Encoding") == 0:
		return badRequest(411, "write request without a length")
	case head.Length > maxBody:
		return badRequest(413, "body too large")
	}
	return nil
}

// forwardedHead returns the head that is forwarded with each attempt. The remaining time is added when an attempt is sent.
func forwardedHead(head *http1.Head) []byte {
	text := make([]byte, 0, head.Size()+len("  HTTP/1.1\r\n"))
	text = append(append(append(append(text, head.Method...), ' '), head.Target...), " HTTP/1.1\r\n"...)
	return head.AppendForward(text, fieldTimeout)
}

func isHex16(s string) bool { return len(s) == 16 && strings.Trim(s, "0123456789abcdefABCDEF") == "" }

// isToken reports whether s is a valid request id, which is forwarded unchanged.
func isToken(s string) bool {
	return s != "" && len(s) <= maxIDLength && strings.IndexFunc(s, notInToken) < 0
}

func notInToken(r rune) bool {
	switch {
	case r >= '0' && r <= '9', r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r == '-', r == '_', r == '.':
		return false
	}
	return true
}
