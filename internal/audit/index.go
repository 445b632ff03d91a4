package audit

import (
	"slices"
	"time"

	"weirhaven/internal/pb"
)

// How an answer ended, as the record spells it.
const (
	statusServed   = "DONE"
	statusRejected = "BUSY"
)

// request is one request with all that was seen of it.
type request struct {
	sent         *pb.Seen
	gateway      gateway
	class        *pb.QueueType
	ends         []*pb.Seen // answers, and connections that ended without one
	disconnected *pb.Seen   // when its client gave up
	attempts     []*attempt
	trace        []*pb.Seen
}

// received reports whether a gateway received the request.
func (r *request) received() bool { return r.sent.How == "" }

// deadline is when the client's timeout passes.
func (r *request) deadline() time.Duration { return at(r.sent) + time.Duration(r.sent.Timeout) }

// attempt is one attempt that reached an endpoint.
type attempt struct {
	reached          *pb.Seen
	answered         *pb.Seen // nil: never
	ended            *pb.Seen // canceled, or cut with its connection or endpoint
	resetAfterAnswer bool     // its connection was reset right after its answer was written: it may not have arrived
}

// mayHaveRun tells whether, by a moment, an attempt is not known not to have run.
func (t *attempt) mayHaveRun(by time.Duration) bool {
	return t.answered == nil || t.answered.How != statusRejected || at(t.answered) > by
}

// gateway is one life of a gateway process.
type gateway struct{ number, incarnation uint32 }

// listing is what a gateway was notified of an endpoint.
type listing struct {
	at         time.Duration
	serving    bool
	startedAt  time.Duration // on the observer's clock
	startKnown bool
}

// connection is one connection to an endpoint.
type connection struct {
	endpoint string
	number   int64
}

type auditor struct {
	header               *pb.Header
	seen                 []*pb.Seen // by time
	observationTolerance time.Duration
	verdict              *Verdict
	byID                 map[uint64]*request
	requests             []*request // in the order in which they were sent
	gatewaysDown         map[gateway]*pb.Seen
	listings             map[gateway]map[string][]listing
	pressure             float64 // the most that a warming endpoint was sent, as a part of what overloads it
}

func at(s *pb.Seen) time.Duration { return time.Duration(s.At) }

// indexer matches what was seen on connections to attempts.
type indexer struct {
	*auditor
	inFlight map[connection][]*attempt
	answered map[connection][]*attempt // last
}

// maxAnsweredPerConnection is how many answered attempts of a connection are kept for a reset that tears them.
const maxAnsweredPerConnection = 64

// index goes through the record once and links what belongs together.
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

// cut ends what was in flight on a connection; an answer written right before may not have arrived.
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
