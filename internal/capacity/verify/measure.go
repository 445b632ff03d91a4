package verify

import (
	"math"
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Outcomes of a request or an attempt in a record.
const (
	outcomeDone      = "DONE"
	outcomeCancelled = "left" // the client cancelled it
)

// observedRequest is a client's request together with its retries.
type observedRequest struct {
	start, completed int64 // ns on the observer's clock; completed is 0 until then
	queueType        uint32
	cancelled        bool
}

// attemptID identifies an attempt at an endpoint.
type attemptID struct {
	endpoint   string
	connection int64
	request    uint64
	attempt    uint32
}

// observer computes the figures from a record of the messages on the sockets.
type observer struct {
	scenario                      *pb.Drill
	requests                      map[uint64]*observedRequest // by number of the first submission
	first                         map[uint64]uint64           // first submission, by number of the submission
	work                          map[attemptID]float64       // core seconds at speed 1
	done                          float64                     // completed work, core seconds
	capacity                      float64                     // cores of the endpoints that the scenario starts with
	endpoints                     uint32
	firstRequestAt, lastRequestAt int64 // ns
}

// measure returns the figures of a recorded run.
func measure(d *pb.Drill, seen []*pb.Seen) Figures {
	o := &observer{scenario: d, requests: map[uint64]*observedRequest{}, first: map[uint64]uint64{}, work: map[attemptID]float64{}, firstRequestAt: -1}
	for _, s := range seen {
		o.add(s)
	}
	return o.figures()
}

func (o *observer) add(s *pb.Seen) {
	switch s.What {
	case pb.Seen_BRICK_UP:
		if o.endpoints < initialEndpoints(o.scenario) { // replacements don't add capacity
			o.capacity += s.Capacity
			o.endpoints++
		}
	case pb.Seen_ASKED:
		o.addRequest(s)
	case pb.Seen_ANSWERED:
		if r := o.requests[o.first[s.Command]]; r != nil && s.How == outcomeDone && r.completed == 0 {
			r.completed = s.At
		}
	case pb.Seen_UNANSWERED:
		if r := o.requests[o.first[s.Command]]; r != nil && s.How == outcomeCancelled {
			r.cancelled = true
		}
	case pb.Seen_REACHED:
		o.work[idOf(s)] = s.Work
	case pb.Seen_REPLIED:
		if s.How == outcomeDone {
			o.done += o.work[idOf(s)]
		}
	}
}

func (o *observer) addRequest(s *pb.Seen) {
	if o.firstRequestAt < 0 {
		o.firstRequestAt = s.At
	}
	o.lastRequestAt = s.At
	o.first[s.Command] = s.First
	if o.requests[s.First] == nil {
		o.requests[s.First] = &observedRequest{start: s.At, queueType: s.QueueType}
	}
}

func idOf(s *pb.Seen) attemptID {
	return attemptID{endpoint: s.Brick, connection: s.Connection, request: s.Command, attempt: s.Dispatch}
}

func (o *observer) figures() (f Figures) {
	counted, inTarget := 0, 0
	var latencies []time.Duration
	for _, r := range o.requests {
		if r.cancelled {
			continue
		}
		counted++
		if r.completed == 0 {
			continue
		}
		latency := time.Duration(r.completed - r.start)
		latencies = append(latencies, latency)
		if latency <= settings.Duration(o.scenario.QueueType[r.queueType].ServiceTarget, 0) {
			inTarget++
		}
	}
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		f.P99 = latencies[min(n*99/100, n-1)]
	}
	f.InTarget = float64(inTarget) / math.Max(float64(counted), 1)
	f.Utilization = o.done / (o.capacity * math.Max(time.Duration(o.lastRequestAt-o.firstRequestAt).Seconds(), 1e-9))
	return f
}

func initialEndpoints(d *pb.Drill) (n uint32) {
	for _, group := range d.Bricks {
		n += group.Count
	}
	return n
}
