package downstream

import (
	"bytes"

	"weirhaven/internal/http1"
)

// Paths of the platform's own requests.
const (
	metricsPath = "/-/metrics" // the counters in the Prometheus text format
	readyPath   = "/-/ready"   // 200: this process may be used, 503: not yet or not any more
)

// anonymous stands for the id of a request that has none.
const anonymous = "-"

// serveAdminPath answers the platform's own requests; ok is false for all others.
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
