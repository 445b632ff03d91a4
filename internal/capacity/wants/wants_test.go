package wants

import (
	"math/rand"
	"testing"
	"time"

	"weirhaven/internal/pb"
)

func line(at int, object uint64, final pb.CapturedCommand_Final, took int) *pb.Captured {
	return &pb.Captured{At: 1e15 + int64(at)*1e6, What: &pb.Captured_Command{Command: &pb.CapturedCommand{Volume: "v", Plan: "p", QueueType: "read",
		Units: 1, Object: object, Timeout: 1e9, Took: int64(took) * 1e6, Final: final, Host: "h"}}}
}

// On an overloaded day most of what is captured are repeats: each client's want stands once, with when it first asked.
func TestUnfold(t *testing.T) {
	busy, done := pb.CapturedCommand_BUSY_REPLIED, pb.CapturedCommand_COMPLETED
	all, c := Unfold([]*pb.Captured{
		line(0, 1, busy, 1), line(100, 1, busy, 1), line(300, 1, done, 50), // one want, asked three times
		line(310, 2, done, 5), line(320, 2, done, 5), // two: the first had what it wanted
		line(400, 3, busy, 1), line(1500, 3, done, 5), // two: no client waits that long
		line(1600, 0, busy, 1), line(1700, 0, done, 5), // two: nothing tells that they are the same
		line(2000, 4, busy, 500), line(2100, 4, done, 5), // two: the first had not been refused yet
		line(2200, 5, pb.CapturedCommand_LEFT, 40),
	})
	if len(all) != 10 || all[0].Asked != 3 || all[1].At != 310*time.Millisecond || all[9].Leaves != 40*time.Millisecond {
		t.Errorf("%d: %+v", len(all), all)
	}
	if c.Folded != 2 || c.Firsts != 10 || c.Wait != 0.199 || c.Leaves != 0.1 {
		t.Errorf("%+v", c)
	}
	if all, c := Unfold(nil); len(all) != 0 || c.Firsts != 0 {
		t.Error(all, c)
	}
}

func TestScale(t *testing.T) {
	all := make([]Want, 1000)
	for i := range all {
		all[i] = Want{At: time.Duration(i) * time.Millisecond, Object: uint64(i)}
	}
	for times, want := range map[float64][2]int{1: {1000, 1000}, 0.5: {450, 550}, 2.25: {2200, 2300}, 3: {3000, 3000}} {
		out := Scale(all, times, rand.New(rand.NewSource(1)))
		if len(out) < want[0] || len(out) > want[1] {
			t.Errorf("%v: %d", times, len(out))
		}
		for i := 1; i < len(out); i++ {
			if out[i].At < out[i-1].At {
				t.Fatal("not by time")
			}
		}
	}
	if cut := Cut(all, 100*time.Millisecond, 200*time.Millisecond); len(cut) != 100 || cut[0].At != 0 || cut[0].Object != 100 {
		t.Error(len(cut))
	}
}
