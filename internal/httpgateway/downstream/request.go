package downstream

import (
	"math"
	"strings"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
)

// Fields of a request on the wire, in canonical form. The platform's names are mapped to this program's here alone.
const (
	fieldClass   = "X-Lane"         // the request class, the same as in the path
	fieldPlan    = "Tier"           // the service plan
	fieldTimeout = "X-Remaining-Ms" // what the client has left, in milliseconds
	fieldID      = "X-Txn"          // the request's id, the same for all attempts
	fieldRetry   = "X-Resent"       // "1": the client sent the same request before
	fieldIOInfo  = "Io-Info"        // size and place of the request, see parseIOInfo
)

const (
	maxBody     = 64 << 10 // bytes
	maxIDLength = 64       // bytes
)

func badRequest(status int, reason string) error { return &http1.Error{Status: status, Reason: reason} }

// parseRequest makes a request of its head, or returns an *http1.Error that says why it can't be one. Nothing of a request
// that fails here reaches the scheduler.
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
		return nil, badRequest(400, "the time left is no whole number")
	}
	info, ok := parseIOInfo(head.Get(fieldIOInfo))
	if !ok {
		return nil, badRequest(400, "units, shard or gateways are missing or out of range")
	}
	return &engine.Request{Volume: target.volume, Class: target.class, Object: target.object, Trace: head.Get(fieldID),
		Plan: head.Get(fieldPlan), Timeout: max(time.Duration(timeoutMs)*time.Millisecond, 1), Retry: head.Get(fieldRetry) == "1",
		Units: info.units, Shard: info.shard, Gateways: info.gateways, Header: forwardedHead(head)}, nil
}

type target struct{ class, volume, object string }

// parseTarget reads the path, /class/volume/object; a query is passed on as it is.
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
		return target{}, badRequest(400, "the request class differs between path and head")
	case !isHex16(t.volume) || !isHex16(t.object):
		return target{}, badRequest(404, "volume or object is not of 16 hexadecimal digits")
	}
	return t, nil
}

// checkHead checks method, plan, id and length.
func (s *Server) checkHead(head *http1.Head, class string) error {
	method := "GET"
	if s.classes[class].Writes {
		method = "PUT"
	}
	switch {
	case head.Method != method:
		return badRequest(405, "the method does not fit the request class")
	case !s.plans[head.Get(fieldPlan)]:
		return badRequest(400, "unknown plan")
	case !isToken(head.Get(fieldID)):
		return badRequest(400, "no id, or one that is none")
	case method == "GET" && head.Length != 0:
		return badRequest(400, "a read with a body")
	case method == "PUT" && head.Count("Content-Length")+head.Count("Transfer-Encoding") == 0:
		return badRequest(411, "a write without a length")
	case head.Length > maxBody:
		return badRequest(413, "body too large")
	}
	return nil
}

// forwardedHead is the head that attempts begin with. The time left is added when an attempt is sent.
func forwardedHead(head *http1.Head) []byte {
	text := make([]byte, 0, 128+len(head.Target))
	text = append(append(append(append(text, head.Method...), ' '), head.Target...), " HTTP/1.1\r\n"...)
	return head.AppendForward(text, fieldTimeout)
}

func isHex16(s string) bool { return len(s) == 16 && strings.Trim(s, "0123456789abcdefABCDEF") == "" }

// isToken reports whether an id can be passed on as it is.
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
