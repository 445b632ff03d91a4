package audit

import (
	"slices"
	"time"

	"weirhaven/internal/pb"
)

// Status of an answer in the record.
const (
	statusServed   = "DONE"
	statusRejected = "BUSY"
)

// request is a request with all its observations.
type request struct {
	sent         *pb.Seen
	gateway      gateway
	class        *pb.QueueType
	ends         []*pb.Seen // answers, and connections that ended without one
	disconnected *pb.Seen   // the client gave up
	attempts     []*attempt
	trace        []*pb.Seen
}

// received reports whether a gateway received the request.
func (r *request) received() bool { return r.sent.How == "" }

// deadline returns the time at which the client's timeout expires.
func (r *request) deadline() time.Duration { return at(r.sent) + time.Duration(r.sent.Timeout) }

// attempt is an attempt that reached an endpoint.
type attempt struct {
	reached          *pb.Seen
	answered         *pb.Seen // nil if the endpoint did not answer
	ended            *pb.Seen // a cancel, or the end of the connection or the endpoint
	resetAfterAnswer bool     // the connection ended right after the answer was written, which may not have arrived
}

// mayHaveRun reports whether an attempt may have run as far as is known at a given time. Only an endpoint's rejection shows that it
// did not run.
func (t *attempt) mayHaveRun(by time.Duration) bool {
	return t.answered == nil || t.answered.How != statusRejected || at(t.answered) > by
}

// gateway is one run of a gateway's process.
type gateway struct{ number, incarnation uint32 }

// listing is a notification to a gateway about an endpoint.
type listing struct {
	at         time.Duration
	serving    bool
	startedAt  time.Duration // on the observer's clock
	startKnown bool
}

// connection identifies a connection to an endpoint.
type connection struct {
	endpoint string
	number   int64
}

// auditor holds the indexed record and the verdict.
type auditor struct {
	header               *pb.Header
	seen                 []*pb.Seen // by time
	observationTolerance time.Duration
	verdict              *Verdict
	byID                 map[uint64]*request
	requests             []*request // in the order in which they were sent
	gatewaysDown         map[gateway]*pb.Seen
	listings             map[gateway]map[string][]listing
	pressure             float64 // peak load of an endpoint in slow start, as a share of the load that overloads it
}

func at(s *pb.Seen) time.Duration { return time.Duration(s.At) }

// indexer matches the observations on connections with attempts.
type indexer struct {
	*auditor
	inFlight map[connection][]*attempt
	answered map[connection][]*attempt // the last ones, at most maxAnsweredPerConnection
}

// maxAnsweredPerConnection is the number of answered attempts kept for each connection, to mark them if the connection ends right
// after their answers.
const maxAnsweredPerConnection = 64

// index reads the record once and links each observation to its request, attempt, gateway and endpoint.
func (a *auditor) index() {
	x := &indexer{auditor: a, inFlight: map[connection][]*attempt{}, answered: map[connection][]*attempt{}}
	for _, s := range a.seen {
		x.add(s)
	}
}

func (x *indexer) add(s *pb.Seen) {
	r := x.byID[s.Command]
	if r != nil {
		r.trace = append(r.trace, s)
	}
	switch s.What {
	case pb.Seen_ASKED:
		x.addRequest(s)
	case pb.Seen_ANSWERED, pb.Seen_UNANSWERED:
		if r != nil {
			r.ends = append(r.ends, s)
		}
	case pb.Seen_GIVEN_UP:
		if r != nil {
			r.disconnected = s
		}
	case pb.Seen_REACHED:
		if r != nil {
			t := &attempt{reached: s}
			r.attempts = append(r.attempts, t)
			on := connectionOf(s)
			x.inFlight[on] = append(x.inFlight[on], t)
		}
	case pb.Seen_REPLIED, pb.Seen_CALLED_OFF:
		x.endAttempt(s)
	case pb.Seen_CUT:
		x.cut(s)
	case pb.Seen_BRICK_DOWN, pb.Seen_BRICK_FELL:
		x.endpointDown(s)
	case pb.Seen_HOST_DOWN:
		x.gatewaysDown[gatewayOf(s)] = s
	case pb.Seen_LISTED:
		x.addListing(s)
	}
}

func connectionOf(s *pb.Seen) connection { return connection{s.Brick, s.Connection} }

func gatewayOf(s *pb.Seen) gateway { return gateway{s.Host, s.Incarnation} }

func (x *indexer) addRequest(s *pb.Seen) {
	if int(s.QueueType) >= len(x.header.QueueType) {
		return
	}
	r := &request{sent: s, gateway: gatewayOf(s), class: x.header.QueueType[s.QueueType], trace: []*pb.Seen{s}}
	x.byID[s.Command] = r
	x.requests = append(x.requests, r)
}

// endAttempt matches an answer or a cancel with its attempt.
func (x *indexer) endAttempt(s *pb.Seen) {
	on := connectionOf(s)
	i := slices.IndexFunc(x.inFlight[on], func(t *attempt) bool {
		return t.reached.Command == s.Command && t.reached.Dispatch == s.Dispatch
	})
	if i < 0 {
		return
	}
	t := x.inFlight[on][i]
	x.inFlight[on] = slices.Delete(x.inFlight[on], i, i+1)
	if s.What != pb.Seen_REPLIED {
		t.ended = s
		return
	}
	t.answered = s
	x.answered[on] = append(x.answered[on], t)
	if len(x.answered[on]) > maxAnsweredPerConnection {
		x.answered[on] = x.answered[on][1:]
	}
}

// cut ends the attempts in flight on a connection and marks those whose answers, written right before, may not have arrived.
func (x *indexer) cut(s *pb.Seen) {
	on := connectionOf(s)
	for _, t := range x.inFlight[on] {
		t.ended = s
	}
	for _, t := range x.answered[on] {
		t.resetAfterAnswer = at(s)-at(t.answered) <= x.observationTolerance
	}
	delete(x.inFlight, on)
	delete(x.answered, on)
}

func (x *indexer) endpointDown(s *pb.Seen) {
	for on, attempts := range x.inFlight {
		if on.endpoint != s.Brick {
			continue
		}
		for _, t := range attempts {
			t.ended = s
		}
		delete(x.inFlight, on)
	}
}

func (x *indexer) addListing(s *pb.Seen) {
	g := gatewayOf(s)
	if x.listings[g] == nil {
		x.listings[g] = map[string][]listing{}
	}
	l := listing{at: at(s), serving: s.How == "serving", startKnown: s.Started >= 0}
	if l.startKnown {
		l.startedAt = at(s) - time.Duration(s.Started)
	}
	x.listings[g][s.Brick] = append(x.listings[g][s.Brick], l)
}
