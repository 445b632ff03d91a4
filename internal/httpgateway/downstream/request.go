package downstream

import (
	"math"
	"strconv"
	"strings"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
)

const (
	maxBody  = 64 << 10
	maxHosts = 10000
	maxUnits = 1e6
	maxCell  = 1 << 20
)

func no(status int, what string) error { return &http1.Error{Status: status, Reason: what} }

// task makes a command of a request's head, or says why it can't be one. Nothing of a request that fails here reaches
// the module.
func (f *Server) task(h *http1.Head) (*engine.Request, string, error) {
	path, _, _ := strings.Cut(h.Target, "?")
	parts := strings.Split(path, "/")
	if len(parts) != 4 {
		return nil, "", no(404, "no such path")
	}
	queue, volume, object := parts[1], parts[2], parts[3]
	q, ok := f.queues[queue]
	id := h.Get("X-Txn")
	switch {
	case !ok:
		return nil, "", no(404, "unknown queue type")
	case h.Get("X-Lane") != queue:
		return nil, "", no(400, "the queue type differs between path and head")
	case !hex16(volume) || !hex16(object):
		return nil, "", no(404, "volume or object is not of 16 hexadecimal digits")
	case q.Writes && h.Method != "PUT" || !q.Writes && h.Method != "GET":
		return nil, "", no(405, "the method does not fit the queue type")
	case !f.plans[h.Get("Tier")]:
		return nil, "", no(400, "unknown plan")
	case !token(id):
		return nil, "", no(400, "no id, or one that is none")
	case h.Method == "GET" && h.Length != 0:
		return nil, "", no(400, "a read with a body")
	case h.Method == "PUT" && h.Times("Content-Length")+h.Times("Transfer-Encoding") == 0:
		return nil, "", no(411, "a write without a length")
	case h.Length > maxBody:
		return nil, "", no(413, "body too large")
	}
	ms, ok := http1.Whole(h.Get("X-Remaining-Ms"))
	if !ok || ms > math.MaxInt32 {
		return nil, "", no(400, "the time left is no whole number")
	}
	t := &engine.Request{Volume: volume, Class: queue, Object: object, Trace: id, Plan: h.Get("Tier"),
		Timeout: max(time.Duration(ms)*time.Millisecond, 1), Retry: h.Get("X-Resent") == "1"}
	if !shape(t, h.Get("Io-Info")) {
		return nil, "", no(400, "units, shard or hosts are missing or out of range")
	}
	b := make([]byte, 0, 128+len(h.Target))
	b = append(append(append(append(b, h.Method...), ' '), h.Target...), " HTTP/1.1\r\n"...)
	t.Header = h.AppendForward(b, "X-Remaining-Ms")
	return t, id, nil
}

// shape reads how large a command is, where its data lies and through how many hosts its volume works.
func shape(t *engine.Request, info string) bool {
	var units, shard, hosts bool
	for _, part := range strings.Split(info, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "units":
			x, err := strconv.ParseFloat(value, 64)
			if units || err != nil || !(x > 0 && x <= maxUnits) {
				return false
			}
			t.Units, units = x, true
		case "shard":
			n, err := strconv.Atoi(value)
			if shard || err != nil || n < -1 || n > maxCell {
				return false
			}
			t.Shard, shard = n, true
		case "hosts":
			n, ok := http1.Whole(value)
			if hosts || !ok || n < 1 || n > maxHosts {
				return false
			}
			t.Gateways, hosts = int(n), true
		}
	}
	return units && shard && hosts
}

func hex16(s string) bool { return len(s) == 16 && strings.Trim(s, "0123456789abcdefABCDEF") == "" }

// token tells whether an id can be passed on as it is.
func token(s string) bool {
	return s != "" && len(s) <= 64 && strings.IndexFunc(s, func(r rune) bool {
		return !(r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_' || r == '.')
	}) < 0
}
