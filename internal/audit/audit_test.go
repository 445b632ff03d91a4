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

// The lines of a record, short: t in ms, command c.
func sent(t int64, c uint64, queue uint32) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_ASKED, Command: c, First: c, QueueType: queue, Units: 4, Object: "k", Volume: "v",
		Timeout: 500 * ms, Incarnation: 1}
}
func answered(t int64, c uint64, how string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_ANSWERED, Command: c, How: how}
}
func unanswered(t int64, c uint64, how string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_UNANSWERED, Command: c, How: how}
}
func reached(t int64, c uint64, n uint32, brick string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_REACHED, Command: c, Dispatch: n, Brick: brick, Cell: int32(brick[0]), Units: 4, Work: 0.1}
}
func answeredByEndpoint(t int64, c uint64, n uint32, brick, how string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_REPLIED, Command: c, Dispatch: n, Brick: brick, How: how}
}
func canceled(t int64, c uint64, n uint32, brick string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_CALLED_OFF, Command: c, Dispatch: n, Brick: brick}
}
func listed(t int64, brick, how string, started int64) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_LISTED, Brick: brick, How: how, Started: started * ms, Incarnation: 1}
}
func gatewayDown(t int64, how string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_HOST_DOWN, Incarnation: 1, How: how}
}
func endpointUp(t int64, brick string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_BRICK_UP, Brick: brick, Capacity: 1, ColdFrom: 0.1, ColdFor: 4000 * ms}
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
		name   string
		broken int // 0: all kept
		says   string
		seen   lines
	}{
		{"answered once in time", 0, "", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(20, 1, 0, "a", "DONE"), answered(21, 1, "DONE")}},
		{"answered twice", 1, "2 final answers", lines{sent(0, 1, 0), answered(21, 1, "DONE"), answered(22, 1, "BUSY")}},
		{"late", 1, "after its timeout", lines{sent(0, 1, 0), answered(516, 1, "ABORT")}},
		{"never answered", 1, "no final answer", lines{sent(0, 1, 0)}},
		{"gateway killed with it", 0, "", lines{sent(0, 1, 0), gatewayDown(50, "killed"), unanswered(51, 1, "host")}},
		{"gateway ends the connection", 1, "ended the connection", lines{sent(0, 1, 0), unanswered(51, 1, "host")}},
		{"client ends the connection", 0, "", lines{sent(0, 1, 0), unanswered(51, 1, "client")}},
		{"stopping gateway drops what it received", 1, "ended the connection", lines{sent(0, 1, 0), gatewayDown(50, "stopping"), unanswered(90, 1, "host")}},
		{"sent after the gateway was asked to stop", 0, "", lines{gatewayDown(50, "stopping"), sent(60, 1, 0), unanswered(90, 1, "host")}},
		{"sent after its end", 1, "after its end", lines{sent(0, 1, 0), answered(20, 1, "BUSY"), reached(30, 1, 0, "a")}},
		{"held back", 1, "held back", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(20, 1, 0, "a", "DONE"), answered(90, 1, "DONE")}},
		{"answer lost in a reset", 0, "", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(20, 1, 0, "a", "DONE"),
			{At: 22 * ms, What: pb.Seen_CUT, Brick: "a"}, answered(490, 1, "BUSY")}},

		{"not idempotent, again after full", 0, "", lines{sent(0, 1, 1), reached(1, 1, 0, "a"), answeredByEndpoint(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), answeredByEndpoint(9, 1, 1, "a", "DONE"), answered(10, 1, "DONE")}},
		{"not idempotent, again after an error", 2, "may have run", lines{sent(0, 1, 1), reached(1, 1, 0, "a"),
			answeredByEndpoint(2, 1, 0, "a", "ABORT"), reached(5, 1, 1, "a"), answered(10, 1, "ABORT")}},
		{"not idempotent, rejected after a timeout", 2, "was rejected", lines{sent(0, 1, 1), reached(1, 1, 0, "a"), answered(400, 1, "BUSY")}},
		{"two in flight at once", 2, "in flight at once", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), reached(20, 1, 1, "b"), answered(40, 1, "BUSY")}},
		{"again after a cancel", 0, "", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), canceled(19, 1, 0, "a"), reached(20, 1, 1, "b"), answered(40, 1, "BUSY")}},
		{"with an idempotency key, again in its cell", 0, "", lines{sent(0, 1, 2), reached(1, 1, 0, "a"), answeredByEndpoint(2, 1, 0, "a", "ABORT"),
			reached(5, 1, 1, "a"), answered(10, 1, "ABORT")}},
		{"with an idempotency key, again in another cell", 2, "idempotency key is not known", lines{sent(0, 1, 2), reached(1, 1, 0, "a"),
			answeredByEndpoint(2, 1, 0, "a", "ABORT"), reached(5, 1, 1, "b"), answered(10, 1, "ABORT")}},
		{"with an idempotency key, again past its window", 2, "idempotency key is not known", lines{sent(0, 1, 2), reached(1, 1, 0, "a"),
			answeredByEndpoint(2, 1, 0, "a", "ABORT"), reached(310, 1, 1, "a"), answered(320, 1, "ABORT")}},

		{"to a draining endpoint within the grace", 0, "", lines{listed(0, "a", "draining", 9000), sent(50, 1, 0), reached(99, 1, 0, "a"), answered(110, 1, "BUSY")}},
		{"to a draining endpoint after it", 3, "after gateway 0 was notified", lines{listed(0, "a", "draining", 9000), sent(50, 1, 0), reached(120, 1, 0, "a"), answered(130, 1, "BUSY")}},
		{"listed again with its old start", 3, "after gateway 0 was notified", lines{listed(0, "a", "gone", 9000), listed(1, "a", "serving", 9001),
			sent(50, 1, 0), reached(120, 1, 0, "a"), answered(130, 1, "BUSY")}},
		{"back with a later start", 0, "", lines{listed(0, "a", "gone", 9000), listed(90, "a", "serving", 10), sent(100, 1, 0),
			reached(120, 1, 0, "a"), answered(130, 1, "BUSY")}},

		{"warming endpoint sent little", 0, "", append(lines{endpointUp(0, "a"), listed(1, "a", "serving", 1)}, repeated(2, func(i int) lines {
			at, id := one(i)
			return lines{sent(10+at, id, 0), reached(11+at, id, 0, "a"), answered(20+at, id, "BUSY")}
		})...)},
		{"warming endpoint sent too much", 4, "was sent", append(lines{endpointUp(0, "a"), listed(1, "a", "serving", 1)}, repeated(4, func(i int) lines {
			at, id := one(i)
			return lines{sent(10+at, id, 0), reached(11+at, id, 0, "a"), answered(20+at, id, "BUSY")}
		})...)},
		{"warming endpoint that nobody was notified of", 0, "", append(lines{endpointUp(0, "a")}, repeated(4, func(i int) lines {
			at, id := one(i)
			return lines{sent(10+at, id, 0), reached(11+at, id, 0, "a"), answered(20+at, id, "BUSY")}
		})...)},

		{"same key in turn", 0, "", lines{sent(0, 1, 3), sent(1, 2, 3), reached(2, 1, 0, "a"), answeredByEndpoint(9, 1, 0, "a", "DONE"), answered(10, 1, "DONE"),
			reached(12, 2, 0, "a"), answeredByEndpoint(19, 2, 0, "a", "DONE"), answered(20, 2, "DONE")}},
		{"same key side by side", 5, "had no outcome", lines{sent(0, 1, 3), sent(1, 2, 3), reached(2, 1, 0, "a"), reached(4, 2, 0, "a"),
			answeredByEndpoint(9, 1, 0, "a", "DONE"), answered(10, 1, "DONE"), answeredByEndpoint(19, 2, 0, "a", "DONE"), answered(20, 2, "DONE")}},
		{"key that must rest", 5, "had to rest", lines{sent(0, 1, 3), sent(1, 2, 3), reached(2, 1, 0, "a"), canceled(100, 1, 0, "a"), answered(100, 1, "BUSY"),
			reached(250, 2, 0, "a"), answeredByEndpoint(260, 2, 0, "a", "DONE"), answered(261, 2, "DONE")}},
		{"key that rested", 0, "", lines{sent(0, 1, 3), sent(1, 2, 3), reached(2, 1, 0, "a"), canceled(100, 1, 0, "a"), answered(100, 1, "BUSY"),
			reached(310, 2, 0, "a"), answeredByEndpoint(320, 2, 0, "a", "DONE"), answered(321, 2, "DONE")}},

		{"retries within the budget", 0, "", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), answeredByEndpoint(9, 1, 1, "a", "DONE"), answered(10, 1, "DONE")}},
		{"retries past it", 6, "retries within", lines{sent(0, 1, 0), reached(1, 1, 0, "a"), answeredByEndpoint(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), answeredByEndpoint(6, 1, 1, "a", "BUSY"), reached(8, 1, 2, "a"), answeredByEndpoint(9, 1, 2, "a", "DONE"), answered(10, 1, "DONE")}},

		{"limit's bucket used up to its slack", 0, "", repeated(3, func(i int) lines {
			at, id := one(i)
			return lines{limited(sent(at, id, 0)), reached(at, id, 0, "b"), answered(20+at, id, "BUSY")}
		})},
		{"limit passed", 7, "below its slack", repeated(4, func(i int) lines {
			at, id := one(i)
			return lines{limited(sent(at, id, 0)), reached(at, id, 0, "b"), answered(20+at, id, "BUSY")}
		})},
	} {
		v := Judge(header(), c.seen)
		for rule := 1; rule < len(Rules); rule++ {
			if (v.Violations[rule] > 0) != (rule == c.broken) {
				t.Errorf("%s: rule %d broken %d times, wanted rule %d alone: %+v", c.name, rule, v.Violations[rule], c.broken, v.First[rule])
			}
		}
		if b := v.First[c.broken]; c.broken > 0 && b != nil && (!strings.Contains(b.Description, c.says) || len(b.Trace) == 0) {
			t.Errorf("%s: %q with %d lines, wanted %q", c.name, b.Description, len(b.Trace), c.says)
		}
	}
}

func TestServiceCountsRetriesWithTheFirstRequest(t *testing.T) {
	again := sent(30, 2, 0)
	again.First = 1
	v := Judge(header(), lines{sent(0, 1, 0), answered(10, 1, "BUSY"), again, reached(31, 2, 0, "a"),
		answeredByEndpoint(120, 2, 0, "a", "DONE"), answered(121, 2, "DONE")})
	w := v.Total()
	if w.Requests != 1 || w.InTime != 0 || w.Share() != 0.5 { // 91 ms after the repeat, 121 ms after the first try
		t.Errorf("got %+v, part %v", w, w.Share())
	}
}
