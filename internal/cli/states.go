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

// states is a writer for the logs of gateways: it collects the "state" lines and forwards all lines.
type states struct {
	to   io.Writer // destination of the forwarded logs; nil: none
	mu   sync.Mutex
	seen map[string][]state
}

// state is a "state" log line of a gateway. Its field names match the keys of the line, which encoding/json compares without regard to case.
type state struct {
	Msg, Gateway                   string
	Heap, Goroutines, Open, Timers float64
}

// Write keeps the state lines of a piece of the logs and forwards the whole piece.
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

// print compares the means of the second and the last quarter of each gateway's state lines. The first quarter is left out because
// it covers the start-up.
func (s *states) print(out io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\nstate\tlines\theap MiB, second quarter\tlast\tgoroutines\tlast\ttimers\tlast\t\n")
	var gateways []string
	for gateway := range s.seen {
		gateways = append(gateways, gateway)
	}
	slices.Sort(gateways)
	for _, gateway := range gateways {
		x := s.seen[gateway]
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
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", gateway, len(x), mean(early, heap), mean(late, heap), mean(early, routines),
			mean(late, routines), mean(early, timers), mean(late, timers))
	}
	_ = w.Flush()
}
