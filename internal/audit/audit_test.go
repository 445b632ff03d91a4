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
func asked(t int64, c uint64, queue uint32) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_ASKED, Command: c, First: c, QueueType: queue, Units: 4, Object: "k", Volume: "v",
		Timeout: 500 * ms, Incarnation: 1}
}
func answer(t int64, c uint64, how string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_ANSWERED, Command: c, How: how}
}
func unanswered(t int64, c uint64, how string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_UNANSWERED, Command: c, How: how}
}
func reached(t int64, c uint64, n uint32, brick string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_REACHED, Command: c, Dispatch: n, Brick: brick, Cell: int32(brick[0]), Units: 4, Work: 0.1}
}
func replied(t int64, c uint64, n uint32, brick, how string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_REPLIED, Command: c, Dispatch: n, Brick: brick, How: how}
}
func off(t int64, c uint64, n uint32, brick string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_CALLED_OFF, Command: c, Dispatch: n, Brick: brick}
}
func listed(t int64, brick, how string, started int64) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_LISTED, Brick: brick, How: how, Started: started * ms, Incarnation: 1}
}
func down(t int64, how string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_HOST_DOWN, Incarnation: 1, How: how}
}
func up(t int64, brick string) *pb.Seen {
	return &pb.Seen{At: t * ms, What: pb.Seen_BRICK_UP, Brick: brick, Capacity: 1, ColdFrom: 0.1, ColdFor: 4000 * ms}
}
func capped(s *pb.Seen) *pb.Seen { s.Plan = 1; return s }
func many(n int, f func(i int) []*pb.Seen) (all []*pb.Seen) {
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
		{"answered once in time", 0, "", lines{asked(0, 1, 0), reached(1, 1, 0, "a"), replied(20, 1, 0, "a", "DONE"), answer(21, 1, "DONE")}},
		{"answered twice", 1, "2 final answers", lines{asked(0, 1, 0), answer(21, 1, "DONE"), answer(22, 1, "BUSY")}},
		{"late", 1, "after its timeout", lines{asked(0, 1, 0), answer(516, 1, "ABORT")}},
		{"never answered", 1, "no final answer", lines{asked(0, 1, 0)}},
		{"gateway killed with it", 0, "", lines{asked(0, 1, 0), down(50, "killed"), unanswered(51, 1, "host")}},
		{"gateway ends the connection", 1, "ended the connection", lines{asked(0, 1, 0), unanswered(51, 1, "host")}},
		{"client ends the connection", 0, "", lines{asked(0, 1, 0), unanswered(51, 1, "client")}},
		{"stopping gateway drops what it received", 1, "ended the connection", lines{asked(0, 1, 0), down(50, "stopping"), unanswered(90, 1, "host")}},
		{"sent after the gateway was asked to stop", 0, "", lines{down(50, "stopping"), asked(60, 1, 0), unanswered(90, 1, "host")}},
		{"sent after its end", 1, "after its end", lines{asked(0, 1, 0), answer(20, 1, "BUSY"), reached(30, 1, 0, "a")}},
		{"held back", 1, "held back", lines{asked(0, 1, 0), reached(1, 1, 0, "a"), replied(20, 1, 0, "a", "DONE"), answer(90, 1, "DONE")}},
		{"answer lost in a reset", 0, "", lines{asked(0, 1, 0), reached(1, 1, 0, "a"), replied(20, 1, 0, "a", "DONE"),
			{At: 22 * ms, What: pb.Seen_CUT, Brick: "a"}, answer(490, 1, "BUSY")}},

		{"not idempotent, again after full", 0, "", lines{asked(0, 1, 1), reached(1, 1, 0, "a"), replied(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), replied(9, 1, 1, "a", "DONE"), answer(10, 1, "DONE")}},
		{"not idempotent, again after an error", 2, "may have run", lines{asked(0, 1, 1), reached(1, 1, 0, "a"),
			replied(2, 1, 0, "a", "ABORT"), reached(5, 1, 1, "a"), answer(10, 1, "ABORT")}},
		{"not idempotent, rejected after a timeout", 2, "was rejected", lines{asked(0, 1, 1), reached(1, 1, 0, "a"), answer(400, 1, "BUSY")}},
		{"two in flight at once", 2, "in flight at once", lines{asked(0, 1, 0), reached(1, 1, 0, "a"), reached(20, 1, 1, "b"), answer(40, 1, "BUSY")}},
		{"again after a cancel", 0, "", lines{asked(0, 1, 0), reached(1, 1, 0, "a"), off(19, 1, 0, "a"), reached(20, 1, 1, "b"), answer(40, 1, "BUSY")}},
		{"with an idempotency key, again in its cell", 0, "", lines{asked(0, 1, 2), reached(1, 1, 0, "a"), replied(2, 1, 0, "a", "ABORT"),
			reached(5, 1, 1, "a"), answer(10, 1, "ABORT")}},
		{"with an idempotency key, again in another cell", 2, "idempotency key is not known", lines{asked(0, 1, 2), reached(1, 1, 0, "a"),
			replied(2, 1, 0, "a", "ABORT"), reached(5, 1, 1, "b"), answer(10, 1, "ABORT")}},
		{"with an idempotency key, again past its window", 2, "idempotency key is not known", lines{asked(0, 1, 2), reached(1, 1, 0, "a"),
			replied(2, 1, 0, "a", "ABORT"), reached(310, 1, 1, "a"), answer(320, 1, "ABORT")}},

		{"to a draining endpoint within the grace", 0, "", lines{listed(0, "a", "draining", 9000), asked(50, 1, 0), reached(99, 1, 0, "a"), answer(110, 1, "BUSY")}},
		{"to a draining endpoint after it", 3, "after gateway 0 was notified", lines{listed(0, "a", "draining", 9000), asked(50, 1, 0), reached(120, 1, 0, "a"), answer(130, 1, "BUSY")}},
		{"listed again with its old start", 3, "after gateway 0 was notified", lines{listed(0, "a", "gone", 9000), listed(1, "a", "serving", 9001),
			asked(50, 1, 0), reached(120, 1, 0, "a"), answer(130, 1, "BUSY")}},
		{"back with a later start", 0, "", lines{listed(0, "a", "gone", 9000), listed(90, "a", "serving", 10), asked(100, 1, 0),
			reached(120, 1, 0, "a"), answer(130, 1, "BUSY")}},

		{"warming endpoint sent little", 0, "", append(lines{up(0, "a"), listed(1, "a", "serving", 1)}, many(2, func(i int) lines {
			at, id := one(i)
			return lines{asked(10+at, id, 0), reached(11+at, id, 0, "a"), answer(20+at, id, "BUSY")}
		})...)},
		{"warming endpoint sent too much", 4, "was sent", append(lines{up(0, "a"), listed(1, "a", "serving", 1)}, many(4, func(i int) lines {
			at, id := one(i)
			return lines{asked(10+at, id, 0), reached(11+at, id, 0, "a"), answer(20+at, id, "BUSY")}
		})...)},
		{"warming endpoint that nobody was notified of", 0, "", append(lines{up(0, "a")}, many(4, func(i int) lines {
			at, id := one(i)
			return lines{asked(10+at, id, 0), reached(11+at, id, 0, "a"), answer(20+at, id, "BUSY")}
		})...)},

		{"same key in turn", 0, "", lines{asked(0, 1, 3), asked(1, 2, 3), reached(2, 1, 0, "a"), replied(9, 1, 0, "a", "DONE"), answer(10, 1, "DONE"),
			reached(12, 2, 0, "a"), replied(19, 2, 0, "a", "DONE"), answer(20, 2, "DONE")}},
		{"same key side by side", 5, "had no outcome", lines{asked(0, 1, 3), asked(1, 2, 3), reached(2, 1, 0, "a"), reached(4, 2, 0, "a"),
			replied(9, 1, 0, "a", "DONE"), answer(10, 1, "DONE"), replied(19, 2, 0, "a", "DONE"), answer(20, 2, "DONE")}},
		{"key that must rest", 5, "had to rest", lines{asked(0, 1, 3), asked(1, 2, 3), reached(2, 1, 0, "a"), off(100, 1, 0, "a"), answer(100, 1, "BUSY"),
			reached(250, 2, 0, "a"), replied(260, 2, 0, "a", "DONE"), answer(261, 2, "DONE")}},
		{"key that rested", 0, "", lines{asked(0, 1, 3), asked(1, 2, 3), reached(2, 1, 0, "a"), off(100, 1, 0, "a"), answer(100, 1, "BUSY"),
			reached(310, 2, 0, "a"), replied(320, 2, 0, "a", "DONE"), answer(321, 2, "DONE")}},

		{"retries within the budget", 0, "", lines{asked(0, 1, 0), reached(1, 1, 0, "a"), replied(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), replied(9, 1, 1, "a", "DONE"), answer(10, 1, "DONE")}},
		{"retries past it", 6, "retries within", lines{asked(0, 1, 0), reached(1, 1, 0, "a"), replied(2, 1, 0, "a", "BUSY"),
			reached(5, 1, 1, "a"), replied(6, 1, 1, "a", "BUSY"), reached(8, 1, 2, "a"), replied(9, 1, 2, "a", "DONE"), answer(10, 1, "DONE")}},

		{"limit's bucket used up to its slack", 0, "", many(3, func(i int) lines {
			at, id := one(i)
			return lines{capped(asked(at, id, 0)), reached(at, id, 0, "b"), answer(20+at, id, "BUSY")}
		})},
		{"limit passed", 7, "below its slack", many(4, func(i int) lines {
			at, id := one(i)
			return lines{capped(asked(at, id, 0)), reached(at, id, 0, "b"), answer(20+at, id, "BUSY")}
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

func TestServiceCountsRepeatsWithTheFirstTry(t *testing.T) {
	again := asked(30, 2, 0)
	again.First = 1
	v := Judge(header(), lines{asked(0, 1, 0), answer(10, 1, "BUSY"), again, reached(31, 2, 0, "a"),
		replied(120, 2, 0, "a", "DONE"), answer(121, 2, "DONE")})
	w := v.Total()
	if w.Requests != 1 || w.InTime != 0 || w.Share() != 0.5 { // 91 ms after the repeat, 121 ms after the first try
		t.Errorf("got %+v, part %v", w, w.Share())
	}
}
