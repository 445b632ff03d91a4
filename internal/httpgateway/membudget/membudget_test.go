package membudget

import (
	"errors"
	"sync"
	"testing"
	"time"
)

// fill charges pieces to an account until the budget refuses or the account holds most bytes.
func fill(a *Account, piece, most int) {
	for held := 0; held < most && a.TryCharge(piece); held += piece {
		continue
	}
}

// A few peers that hold much must not keep one that wants little from its service.
func TestLargestGivesWay(t *testing.T) {
	b := New(100 << 10)
	var large *Account
	large = b.Open(func() { go large.Close() })
	large.SetYield(ToSmaller)
	other := b.Open(func() { t.Error("the smaller one was told to give way") })
	other.SetYield(ToSmaller)
	fill(large, 1<<10, int(b.Limit()))
	fill(other, 512, smallHolding)
	small := b.Open(nil)
	if err := small.Charge(20 << 10); err != nil {
		t.Error(err)
	}
	if counts := b.Counts(); counts.GaveWay != 1 || counts.Peak > b.Limit() {
		t.Errorf("%+v", counts)
	}
	if err := large.Charge(1); !errors.Is(err, ErrExhausted) {
		t.Errorf("an account that gave way was charged: %v", err)
	}
}

// The one that holds most is refused at once and nobody else gives way for it.
func TestLargestIsRefused(t *testing.T) {
	b := New(64 << 10)
	large, small := b.Open(nil), b.Open(func() { t.Error("told to give way") })
	large.SetYield(ToSmaller)
	small.SetYield(ToSmaller)
	if !small.TryCharge(4<<10) || !large.TryCharge(40<<10) {
		t.Fatal("the budget has space")
	}
	startedAt := time.Now()
	if err := large.Charge(20 << 10); !errors.Is(err, ErrExhausted) {
		t.Error(err)
	}
	if time.Since(startedAt) > maxWait/2 {
		t.Errorf("refused after %v", time.Since(startedAt))
	}
	if !small.TryCharge(2 << 10) {
		t.Error("a small holding got nothing of the reserve")
	}
}

// Whoever may not give way keeps what it holds, and the others wait no longer than maxWait.
func TestNobodyMayGiveWay(t *testing.T) {
	b := New(10 << 10)
	holder, other := b.Open(func() { t.Error("told to give way") }), b.Open(nil)
	if !holder.TryCharge(8 << 10) {
		t.Fatal("the budget has space")
	}
	if err := other.Charge(4 << 10); !errors.Is(err, ErrExhausted) {
		t.Error(err)
	}
}

// Whatever peers do at once, the budget is never exceeded and nothing stays charged.
func TestConcurrentCharges(t *testing.T) {
	b := New(256 << 10)
	var peers sync.WaitGroup
	for number := range 40 {
		peers.Go(func() {
			for round := range 200 {
				gone := make(chan struct{})
				a := b.Open(func() { close(gone) })
				a.SetYield(ToSmaller)
				for n := range (number + round) % 9 {
					if a.Charge(1<<10*n) != nil {
						break
					}
				}
				select {
				case <-gone:
				default:
				}
				a.Close()
			}
		})
	}
	peers.Wait()
	if counts := b.Counts(); counts.Used != 0 || counts.Peak > b.Limit() || b.leaving != 0 {
		t.Errorf("%+v, %d bytes leaving", counts, b.leaving)
	}
}

// A response that its client doesn't read gives way even to a larger one, but not in its first moments.
func TestStalledGivesWayToAny(t *testing.T) {
	b := New(64 << 10)
	gaveWayAt := make(chan time.Time, 1)
	var stalled *Account
	stalled = b.Open(func() { gaveWayAt <- time.Now(); go stalled.Close() })
	if !stalled.TryCharge(30 << 10) {
		t.Fatal("the budget has space")
	}
	stalledAt := time.Now()
	stalled.SetYield(ToAny)
	if err := b.Open(nil).Charge(50 << 10); err != nil {
		t.Fatal(err)
	}
	if age := (<-gaveWayAt).Sub(stalledAt); age < minYieldAge {
		t.Errorf("gave way after %v", age)
	}
}
