package downstream

import (
	"bytes"

	"weirhaven/internal/http1"
)

// Paths of the platform's admin requests.
const (
	metricsPath = "/-/metrics" // the counters in the Prometheus text format
	readyPath   = "/-/ready"   // 200: the process serves requests; 503: it is not ready yet or is draining
)

// adminRequestID is the placeholder id of an admin request.
const adminRequestID = "-"

// serveAdminPath returns the response to an admin request; ok is false for any other request.
func (s *Server) serveAdminPath(head *http1.Head) (status int, body []byte, ok bool) {
	if head.Method != "GET" || head.Length != 0 {
		return 0, nil, false
	}
	switch head.Target {
	case readyPath:
		if !s.ready.Load() || s.draining.Load() {
			return 503, nil, true
		}
		return 200, nil, true
	case metricsPath:
		var text bytes.Buffer
		s.options.Recorder.Write(&text)
		return 200, text.Bytes(), true
	}
	return 0, nil, false
}
