package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// states collects the "state" lines of gateways' logs while passing the logs on.
type states struct {
	to   io.Writer // nil: nowhere
	mu   sync.Mutex
	seen map[string][]state
}

type state struct {
	Msg, Gateway                   string
	Heap, Goroutines, Open, Timers float64
}

// Write takes a piece of the gateways' logs, keeps its state lines and passes all on.
func (s *states) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range bytes.Split(b, []byte("\n")) {
		var x state
		if json.Unmarshal(line, &x) == nil && x.Msg == "state" {
			if s.seen == nil {
				s.seen = map[string][]state{}
			}
			s.seen[x.Gateway] = append(s.seen[x.Gateway], x)
		}
	}
	if s.to == nil {
		return len(b), nil
	}
	return s.to.Write(b)
}

// print compares the second quarter of each gateway's time with the last: the first is start-up.
func (s *states) print(out io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\nstate\tlines\theap MiB, second quarter\tlast\tgoroutines\tlast\ttimers\tlast\t\n")
	var hosts []string
	for h := range s.seen {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		x := s.seen[h]
		early, late := x[len(x)/4:max(len(x)/2, len(x)/4+1)], x[len(x)*3/4:]
		mean := func(x []state, f func(state) float64) (m float64) {
			for _, e := range x {
				m += f(e) / float64(len(x))
			}
			return m
		}
		heap := func(e state) float64 { return e.Heap / (1 << 20) }
		routines := func(e state) float64 { return e.Goroutines }
		timers := func(e state) float64 { return e.Timers }
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", h, len(x), mean(early, heap), mean(late, heap), mean(early, routines),
			mean(late, routines), mean(early, timers), mean(late, timers))
	}
	_ = w.Flush()
}
