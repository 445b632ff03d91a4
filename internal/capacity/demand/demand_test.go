package demand

import (
	"math/rand"
	"testing"
	"time"

	"weirhaven/internal/pb"
)

func record(at int, object uint64, final pb.CapturedCommand_Final, took int) *pb.Captured {
	return &pb.Captured{At: 1e15 + int64(at)*1e6, What: &pb.Captured_Command{Command: &pb.CapturedCommand{Volume: "v", Plan: "p", QueueType: "read",
		Units: 1, Object: object, Timeout: 1e9, Took: int64(took) * 1e6, Final: final, Host: "h"}}}
}

// Under overload most captured requests are retries. FoldRetries must return each request once, with the arrival of its first attempt.
func TestFoldRetries(t *testing.T) {
	rejected, done := pb.CapturedCommand_BUSY_REPLIED, pb.CapturedCommand_COMPLETED
	all, c := FoldRetries([]*pb.Captured{
		record(0, 1, rejected, 1), record(100, 1, rejected, 1), record(300, 1, done, 50), // one request with two retries
		record(310, 2, done, 5), record(320, 2, done, 5), // two requests: the first had succeeded
		record(400, 3, rejected, 1), record(1500, 3, done, 5), // two requests: the timeout of the first is over
		record(1600, 0, rejected, 1), record(1700, 0, done, 5), // two requests: without an object they can't be matched
		record(2000, 4, rejected, 500), record(2100, 4, done, 5), // two requests: the first had not been rejected yet
		record(2200, 5, pb.CapturedCommand_LEFT, 40),
	})
	if len(all) != 10 || all[0].Attempts != 3 || all[1].Arrival != 310*time.Millisecond || all[9].CancelAfter != 40*time.Millisecond {
		t.Errorf("%d: %+v", len(all), all)
	}
	if c.Folded != 2 || c.Firsts != 10 || c.Wait != 0.199 || c.Leaves != 0.1 {
		t.Errorf("%+v", c)
	}
	if all, c := FoldRetries(nil); len(all) != 0 || c.Firsts != 0 {
		t.Error(all, c)
	}
}

// Scale must return the expected number of requests, within random variation, for whole and fractional factors, sorted by arrival.
func TestScale(t *testing.T) {
	all := make([]Request, 1000)
	for i := range all {
		all[i] = Request{Arrival: time.Duration(i) * time.Millisecond, Object: uint64(i)}
	}
	for times, want := range map[float64][2]int{1: {1000, 1000}, 0.5: {450, 550}, 2.25: {2200, 2300}, 3: {3000, 3000}} {
		out := Scale(all, times, rand.New(rand.NewSource(1)))
		if len(out) < want[0] || len(out) > want[1] {
			t.Errorf("%v: %d", times, len(out))
		}
		for i := 1; i < len(out); i++ {
			if out[i].Arrival < out[i-1].Arrival {
				t.Fatal("requests are not sorted by arrival")
			}
		}
	}
	if cut := Slice(all, 100*time.Millisecond, 200*time.Millisecond); len(cut) != 100 || cut[0].Arrival != 0 || cut[0].Object != 100 {
		t.Error(len(cut))
	}
}
