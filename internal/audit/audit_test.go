package audit

import (
	"strings"
	"testing"
	"time"

	"weirhaven/internal/pb"
)

const ms = int64(time.Millisecond)

func header() *pb.Header {
	return &pb.Header{Blur: 5 * ms, Hosts: 2,
		Fleet: &pb.Fleet{AnswerSlack: "10ms", DrainGrace: "100ms", FallMultiple: 2, FallAfter: "1s", KeyRest: "200ms",
			Budget: &pb.Budget{Free: 1, Share: 0.5, Span: "1s"}},
		QueueType: []*pb.QueueType{
			{Name: "read", ServiceTarget: "100ms", Importance: 1, LateShare: 0.5},
			{Name: "post", ServiceTarget: "100ms", Importance: 1, Semantics: pb.Semantics_NON_RETRYABLE},
			{Name: "tag", ServiceTarget: "100ms", Importance: 1, Semantics: pb.Semantics_TAGGED, Group: pb.Group_CELL, TagWindow: "300ms"},
			{Name: "row", ServiceTarget: "100ms", Importance: 1, InOrder: true}},
		Plan: []*pb.Plan{{Name: "plain", Importance: 1}, {Name: "capped", Importance: 1, Limit: 10, Depth: 10, Slack: 2}}}
}

// The functions below build the observations of a record: t is the time in ms, id the request and n the attempt.
func sent(t int64, id uint64, class uint32) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_ASKED, Command: id, First: id, QueueType: class, Units: 4, Object: "k", Volume: "v",
		Timeout: 500 * ms, Incarnation: 1}
}
func answered(t int64, id uint64, status string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_ANSWERED, Command: id, How: status}
}
func unanswered(t int64, id uint64, status string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_UNANSWERED, Command: id, How: status}
}
func reached(t int64, id uint64, n uint32, endpoint string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_REACHED, Command: id, Dispatch: n, Brick: endpoint, Cell: int32(endpoint[0]), Units: 4, Work: 0.1}
}
func answeredByEndpoint(t int64, id uint64, n uint32, endpoint, status string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_REPLIED, Command: id, Dispatch: n, Brick: endpoint, How: status}
}
func canceled(t int64, id uint64, n uint32, endpoint string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_CALLED_OFF, Command: id, Dispatch: n, Brick: endpoint}
}
func listed(t int64, endpoint, status string, started int64) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_LISTED, Brick: endpoint, How: status, Started: started * ms, Incarnation: 1}
}
func gatewayDown(t int64, status string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_HOST_DOWN, Incarnation: 1, How: status}
}
func endpointUp(t int64, endpoint string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_BRICK_UP, Brick: endpoint, Capacity: 1, ColdFrom: 0.1, ColdFor: 4000 * ms}
}
func limited(s *pb.Seen) *pb.Seen { s.Plan = 1; return s }
func repeated(n int, f func(i int) []*pb.Seen) (all []*pb.Seen) {
	for i := range n {
		all = append(all, f(i)...)
	}
	return all
}

type lines = []*pb.Seen

func TestRules(t *testing.T) {
	one := func(i int) (int64, uint64) { return int64(i), uint64(i + 1) }
	for _, c := range []struct {
		name    string
		rule    int // the violated rule; 0: none
		message string
		seen    lines
	}{
		{"answered once in time", 0, "", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(20, 1, 0, "a", "DONE"), answered(21, 1, "DONE")}},
		{"answered twice", 1, "2 final answers", lines{sent(0, 1, 0), answered(21, 1, "DONE"), answered(22, 1, "BUSY")}},
		{"answered late", 1, "after its timeout", lines{sent(0, 1, 0), answered(516, 1, "ABORT")}},
		{"never answered", 1, "no final answer", lines{sent(0, 1, 0)}},
		{"gateway killed before its answer", 0, "", lines{sent(0, 1, 0), gatewayDown(50, "killed"), unanswered(51, 1, "host")}},
		{"gateway ends the connection", 1, "ended the connection", lines{sent(0, 1, 0), unanswered(51, 1, "host")}},
		{"client ends the connection", 0, "", lines{sent(0, 1, 0), unanswered(51, 1, "client")}},
		{"stopping gateway drops a received request", 1, "ended the connection", lines{sent(0, 1, 0), gatewayDown(50, "stopping"), unanswered(90, 1, "host")}},
		{"request sent after the gateway was told to stop", 0, "", lines{gatewayDown(50, "stopping"), sent(60, 1, 0), unanswered(90, 1, "host")}},
		{"attempt after the final answer", 1, "after its end", lines{sent(0, 1, 0), answered(20, 1, "BUSY"), reached(30, 1, 0, "a")}},
		{"answer held back", 1, "held back", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(20, 1, 0, "a", "DONE"), answered(90, 1, "DONE")}},
		{"endpoint's answer lost in a connection reset", 0, "", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(20, 1, 0, "a", "DONE"),
			{At: 22 * ms, What: pb.Seen_CUT, Brick: "a"}, answered(490, 1, "BUSY")}},

		{"not idempotent, retried after a rejection", 0, "", lines{sent(0, 1, 1), reached(1, 1, 0, "a"), answeredByEndpoint(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), answeredByEndpoint(9, 1, 1, "a", "DONE"), answered(10, 1, "DONE")}},
		{"not idempotent, retried after an error", 2, "may have run", lines{sent(0, 1, 1), reached(1, 1, 0, "a"),
			answeredByEndpoint(2, 1, 0, "a", "ABORT"), reached(5, 1, 1, "a"), answered(10, 1, "ABORT")}},
		{"not idempotent, rejected after a timeout", 2, "was rejected", lines{sent(0, 1, 1), reached(1, 1, 0, "a"), answered(400, 1, "BUSY")}},
		{"two attempts in flight at once", 2, "in flight at once", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), reached(20, 1, 1, "b"), answered(40, 1, "BUSY")}},
		{"retried after a cancel", 0, "", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), canceled(19, 1, 0, "a"), reached(20, 1, 1, "b"), answered(40, 1, "BUSY")}},
		{"idempotency key, retried in its shard", 0, "", lines{sent(0, 1, 2), reached(1, 1, 0, "a"), answeredByEndpoint(2, 1, 0, "a", "ABORT"),
			reached(5, 1, 1, "a"), answered(10, 1, "ABORT")}},
		{"idempotency key, retried in another shard", 2, "idempotency key is not known", lines{sent(0, 1, 2), reached(1, 1, 0, "a"),
			answeredByEndpoint(2, 1, 0, "a", "ABORT"), reached(5, 1, 1, "b"), answered(10, 1, "ABORT")}},
		{"idempotency key, retried after its window", 2, "idempotency key is not known", lines{sent(0, 1, 2), reached(1, 1, 0, "a"),
			answeredByEndpoint(2, 1, 0, "a", "ABORT"), reached(310, 1, 1, "a"), answered(320, 1, "ABORT")}},

		{"attempt to a draining endpoint within the drain grace", 0, "", lines{listed(0, "a", "draining", 9000), sent(50, 1, 0), reached(99, 1, 0, "a"), answered(110, 1, "BUSY")}},
		{"attempt to a draining endpoint after the drain grace", 3, "after gateway 0 was notified", lines{listed(0, "a", "draining", 9000), sent(50, 1, 0), reached(120, 1, 0, "a"), answered(130, 1, "BUSY")}},
		{"removed endpoint listed again with its old start", 3, "after gateway 0 was notified", lines{listed(0, "a", "gone", 9000), listed(1, "a", "serving", 9001),
			sent(50, 1, 0), reached(120, 1, 0, "a"), answered(130, 1, "BUSY")}},
		{"removed endpoint listed again with a later start", 0, "", lines{listed(0, "a", "gone", 9000), listed(90, "a", "serving", 10), sent(100, 1, 0),
			reached(120, 1, 0, "a"), answered(130, 1, "BUSY")}},

		{"endpoint in slow start, not overloaded", 0, "", append(lines{endpointUp(0, "a"), listed(1, "a", "serving", 1)}, repeated(2, func(i int) lines {
			at, id := one(i)
			return lines{sent(10+at, id, 0), reached(11+at, id, 0, "a"), answered(20+at, id, "BUSY")}
		})...)},
		{"endpoint in slow start overloaded", 4, "was sent", append(lines{endpointUp(0, "a"), listed(1, "a", "serving", 1)}, repeated(4, func(i int) lines {
			at, id := one(i)
			return lines{sent(10+at, id, 0), reached(11+at, id, 0, "a"), answered(20+at, id, "BUSY")}
		})...)},
		{"endpoint in slow start overloaded without notification", 0, "", append(lines{endpointUp(0, "a")}, repeated(4, func(i int) lines {
			at, id := one(i)
			return lines{sent(10+at, id, 0), reached(11+at, id, 0, "a"), answered(20+at, id, "BUSY")}
		})...)},

		{"same key, one after the other", 0, "", lines{sent(0, 1, 3), sent(1, 2, 3), reached(2, 1, 0, "a"), answeredByEndpoint(9, 1, 0, "a", "DONE"), answered(10, 1, "DONE"),
			reached(12, 2, 0, "a"), answeredByEndpoint(19, 2, 0, "a", "DONE"), answered(20, 2, "DONE")}},
		{"same key, concurrently", 5, "had no outcome", lines{sent(0, 1, 3), sent(1, 2, 3), reached(2, 1, 0, "a"), reached(4, 2, 0, "a"),
			answeredByEndpoint(9, 1, 0, "a", "DONE"), answered(10, 1, "DONE"), answeredByEndpoint(19, 2, 0, "a", "DONE"), answered(20, 2, "DONE")}},
		{"same key, within the cooldown", 5, "within the cooldown", lines{sent(0, 1, 3), sent(1, 2, 3), reached(2, 1, 0, "a"), canceled(100, 1, 0, "a"), answered(100, 1, "BUSY"),
			reached(250, 2, 0, "a"), answeredByEndpoint(260, 2, 0, "a", "DONE"), answered(261, 2, "DONE")}},
		{"same key, after the cooldown", 0, "", lines{sent(0, 1, 3), sent(1, 2, 3), reached(2, 1, 0, "a"), canceled(100, 1, 0, "a"), answered(100, 1, "BUSY"),
			reached(310, 2, 0, "a"), answeredByEndpoint(320, 2, 0, "a", "DONE"), answered(321, 2, "DONE")}},

		{"retries within the retry budget", 0, "", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), answeredByEndpoint(9, 1, 1, "a", "DONE"), answered(10, 1, "DONE")}},
		{"retries beyond the retry budget", 6, "retries within", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), answeredByEndpoint(6, 1, 1, "a", "BUSY"), reached(8, 1, 2, "a"), answeredByEndpoint(9, 1, 2, "a", "DONE"), answered(10, 1, "DONE")}},

		{"rate limit used up to its slack", 0, "", repeated(3, func(i int) lines {
			at, id := one(i)
			return lines{limited(sent(at, id, 0)), reached(at, id, 0, "b"), answered(20+at, id, "BUSY")}
		})},
		{"rate limit exceeded", 7, "below its slack", repeated(4, func(i int) lines {
			at, id := one(i)
			return lines{limited(sent(at, id, 0)), reached(at, id, 0, "b"), answered(20+at, id, "BUSY")}
		})},
	} {
		v := Judge(header(), c.seen)
		for rule := 1; rule < len(Rules); rule++ {
			if (v.Violations[rule] > 0) != (rule == c.rule) {
				t.Errorf("%s: rule %d violated %d times, want only rule %d: %+v", c.name, rule, v.Violations[rule], c.rule, v.First[rule])
			}
		}
		if b := v.First[c.rule]; c.rule > 0 && b != nil && (!strings.Contains(b.Description, c.message) || len(b.Trace) == 0) {
			t.Errorf("%s: violation %q with a trace of %d lines, want %q", c.name, b.Description, len(b.Trace), c.message)
		}
	}
}

func TestServiceCountsRetriesWithTheFirstRequest(t *testing.T) {
	retry := sent(30, 2, 0)
	retry.First = 1
	v := Judge(header(), lines{sent(0, 1, 0), answered(10, 1, "BUSY"), retry, reached(31, 2, 0, "a"),
		answeredByEndpoint(120, 2, 0, "a", "DONE"), answered(121, 2, "DONE")})
	total := v.Total()
	if total.Requests != 1 || total.InTime != 0 || total.Share() != 0.5 { // answered 91 ms after the retry, 121 ms after the first request
		t.Errorf("service = %+v, share %v; want one late request with share 0.5", total, total.Share())
	}
}
