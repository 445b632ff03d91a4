package client

import (
	"strconv"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// request is a client's request.
type request struct {
	volume         *Volume
	class          int
	units          float64
	object         string
	idempotencyKey string
	shard          int
	deadline       time.Time
	firstNumber    uint64 // number of its first attempt
	retries        int
}

// attempt is one attempt of a request.
type attempt struct {
	*request
	number uint64
	timer  *time.Timer
}

// send sends one attempt of a request. The caller holds mu.
func (l *Load) send(r *request, gateway int) {
	l.lastNumber++
	a := &attempt{request: r, number: l.lastNumber}
	if r.firstNumber == 0 {
		r.firstNumber, r.idempotencyKey = a.number, "t"+strconv.FormatUint(a.number, 10)
	}
	link := l.links[gateway]
	remaining := time.Until(r.deadline)
	seen := &pb.Seen{What: pb.Seen_ASKED, Host: uint32(gateway), Incarnation: l.config.Incarnation(gateway), Command: a.number,
		First: r.firstNumber, Volume: r.volume.Name, Plan: r.volume.Plan, QueueType: uint32(r.class), Units: r.units,
		Object: r.object, Cell: int32(r.shard), Timeout: int64(remaining), Tag: r.idempotencyKey}
	if link.sender == nil {
		seen.How = "unreached"
		l.config.Recorder.See(seen)
		l.retry(a, gateway, 0, true)
		return
	}
	message := l.encode(a, remaining)
	link.unanswered[a.number] = a
	a.timer = time.AfterFunc(remaining, func() { l.deadlinePassed(link, a) })
	l.config.Recorder.See(seen)
	if _, err := link.sender.Send(message); err != nil {
		_ = link.conn.Close()
	}
}

// encode encodes an attempt in the line protocol. The caller holds mu.
func (l *Load) encode(a *attempt, remaining time.Duration) []byte {
	class := l.config.QueueTypes[a.class]
	var message lineproto.Builder
	message.Buffer = make([]byte, 0, 256+len(l.body))
	message.Start(lineproto.VerbRequest, a.number).Text("Volume", a.volume.Name).Text("Queue-Type", class.Name).Text("Object", a.object).
		Int("Cell", int64(a.shard)).Float("Units", a.units).Duration("Timeout", remaining).
		Text("Trace", strconv.FormatUint(a.number, 10)).Text("Tag", a.idempotencyKey)
	if a.retries > 0 && l.config.MarkRetries {
		message.Int("Repeat", 1)
	}
	var body []byte
	if class.Writes {
		body = l.body
	}
	return message.End(body).Buffer
}

// deadlinePassed records that the client gives up. The client still reads for lateResponseTime: a response within that time
// is late; without one the request is lost.
func (l *Load) deadlinePassed(k *link, a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.unanswered[a.number] != a {
		return
	}
	l.config.Recorder.See(&pb.Seen{What: pb.Seen_GIVEN_UP, Host: uint32(k.gateway), Command: a.number})
	time.AfterFunc(lateResponseTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if k.unanswered[a.number] == a {
			delete(k.unanswered, a.number)
			l.openRequests--
		}
	})
}

// lateResponseTime is how long after the deadline a client still reads a response.
const lateResponseTime = 300 * time.Millisecond

// retry retries a request after a delay, unless it must not or can't be retried; then the request is
// complete. The caller holds mu.
func (l *Load) retry(failed *attempt, gateway int, retryAfter time.Duration, mayHaveRun bool) {
	r := failed.request
	class := l.config.QueueTypes[r.class]
	retryable := !mayHaveRun || class.Semantics == pb.Semantics_RETRYABLE || class.Semantics == pb.Semantics_TAGGED && class.Group == pb.Group_ALL
	maxRetries, delay := l.backoff(r, retryAfter)
	if !retryable || r.retries >= maxRetries || time.Now().Add(delay+minRemaining).After(r.deadline) || l.ctx.Err() != nil {
		l.openRequests--
		return
	}
	r.retries++
	time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.ctx.Err() != nil || time.Until(r.deadline) < minRemaining {
			l.openRequests--
			return
		}
		l.send(r, gateway)
	})
}

// minRemaining is the least time to its deadline with which a request is retried.
const minRemaining = 20 * time.Millisecond

// backoff returns how often a request may be retried and the delay, with jitter, before the next retry. It draws exactly once,
// so that a seed draws the same sequence. The caller holds mu.
func (l *Load) backoff(r *request, retryAfter time.Duration) (maxRetries int, delay time.Duration) {
	maxRetries, delay = int(l.config.Load.Repeats), settings.Duration(l.config.Load.RepeatAfter, 0)<<min(r.retries, 6)
	if l.immediateRetries > 0 {
		maxRetries, delay = l.immediateRetries, 0
	} else if retryAfter > 0 && l.config.MaxRetryAfter > 0 {
		delay = max(delay, min(retryAfter, l.config.MaxRetryAfter))
	}
	return maxRetries, delay + time.Duration(l.random.Int63n(int64(delay/4+time.Millisecond)))
}
