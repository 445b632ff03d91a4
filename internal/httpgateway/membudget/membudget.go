// Package membudget bounds the memory that a process holds for its peers. Whoever holds memory for a peer has an Account, and
// charges each allocation to it before it is made. When a budget is used up, the account that holds most has to give way: a few
// peers that hold much don't cost the others their service.
//
// The package decides who gives way, and does no I/O.
package membudget

import (
	"errors"
	"sync"
	"time"
)

// Yield says to whom an account gives way.
type Yield int

const (
	// ToNobody is for what must be kept, such as a request that was accepted.
	ToNobody Yield = iota
	// ToSmaller is for what may be dropped in favor of an account that holds less, such as an incomplete request. After longYieldAge
	// it gives way to any other.
	ToSmaller
	// ToAny is for what may be dropped in favor of anyone, such as a response that its client doesn't read.
	ToAny
)

const (
	// minYieldAge is how long an account keeps what it holds after SetYield. Most peers send and read without a pause.
	minYieldAge  = 50 * time.Millisecond
	longYieldAge = 500 * time.Millisecond
	// pollInterval is the longest time between two looks for an account that gives way.
	pollInterval = 10 * time.Millisecond
	// maxWait is how long a charge waits for the memory of accounts that give way.
	maxWait = 250 * time.Millisecond
	// maxWaiting is the number of charges that may wait at the same time. Accounts that hold little have maxWaitingSmall more.
	maxWaiting      = 8
	maxWaitingSmall = 16
	// smallHolding is the number of bytes up to which an account may use the whole budget. What exceeds it leaves a reserve of
	// 1/reserveDivisor of the budget for the others.
	smallHolding   = 8 << 10
	reserveDivisor = 8
)

// ErrExhausted is the error for a charge that the budget has no space for, and for any charge of an account that was told to give
// way.
var ErrExhausted = errors.New("the memory for peers is used up")

// Budget is a number of bytes that accounts share. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	peak     int64
	leaving  int64             // bytes held by accounts that were told to give way
	accounts map[*Account]bool // open accounts
	released chan struct{}     // closed and replaced at each release while a charge waits
	waiting  int               // number of charges that wait
	counts   Counts
}

// Counts are totals since the start, except for Used.
type Counts struct {
	Used    int64 // bytes charged now
	Peak    int64 // most bytes charged at a time
	Refused int64 // charges that were refused
	GaveWay int64 // accounts that were told to give way
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, accounts: map[*Account]bool{}, released: make(chan struct{})}
}

// Limit returns the budget's bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Counts returns the totals so far.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.Used, counts.Peak = b.used, b.peak
	return counts
}

// Account is what one peer holds. It is safe for concurrent use.
type Account struct {
	budget  *Budget
	giveWay func()

	// Guarded by Budget.mu.
	held       int64
	yield      Yield
	yieldSince time.Time // time of the last SetYield
	leaving    bool      // it was told to
}

// Open returns an account that holds nothing. giveWay is called at most once, without blocking, when the account has to give up what
// it holds; it must not call the account. The caller calls Close in the end.
func (b *Budget) Open(giveWay func()) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, giveWay: giveWay}
	b.accounts[a] = true
	return a
}

// SetYield sets to whom the account gives way, ToNobody at first.
func (a *Account) SetYield(to Yield) {
	now := time.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.yield, a.yieldSince = to, now
}

// Charge reserves n bytes. If the budget is used up, the account that holds most is told to give way and Charge waits for its memory,
// for maxWait at most. It returns ErrExhausted if that account is this one, if too many charges wait already, and if no memory came.
func (a *Account) Charge(n int) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.tryCharge(int64(n)) {
		return nil
	}
	for deadline := time.Now().Add(maxWait); !a.leaving && b.mayWait(a.held+int64(n)) && b.makeRoom(a, int64(n)) && time.Now().Before(deadline); {
		b.awaitRelease()
		if a.tryCharge(int64(n)) {
			return nil
		}
	}
	b.counts.Refused++
	return ErrExhausted
}

// HasRoom reports whether n bytes may become available to the account: there is space, or another account gives way to it.
func (a *Account) HasRoom(n int) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return !a.leaving && (b.used+int64(n) <= b.limitFor(a.held+int64(n)) || b.largestFor(a, int64(n)) != nil)
}

// TryCharge reserves n bytes if the budget has space for them, and reports whether it did. It tells nobody to give way.
func (a *Account) TryCharge(n int) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.tryCharge(int64(n))
}

// Release returns n bytes.
func (a *Account) Release(n int) {
	if n == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(int64(n))
}

// Close returns all bytes of the account. It is not charged afterwards.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(a.held)
	delete(a.budget.accounts, a)
}

// tryCharge reserves n bytes if there is space. The caller holds mu.
func (a *Account) tryCharge(n int64) bool {
	b := a.budget
	if a.leaving || b.used+n > b.limitFor(a.held+n) {
		return false
	}
	b.used += n
	b.peak = max(b.peak, b.used)
	a.held += n
	return true
}

// limitFor returns how much of the budget may be used by a charge by which an account comes to hold held bytes.
func (b *Budget) limitFor(held int64) int64 {
	if held > smallHolding {
		return b.limit - b.limit/reserveDivisor
	}
	return b.limit
}

// release returns n bytes. The caller holds mu.
func (a *Account) release(n int64) {
	b := a.budget
	a.held -= n
	b.used -= n
	if a.leaving {
		b.leaving -= n
	}
	if b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// mayWait reports whether a charge may wait by which an account comes to hold held bytes. The caller holds mu.
func (b *Budget) mayWait(held int64) bool {
	if held <= smallHolding {
		return b.waiting < maxWaiting+maxWaitingSmall
	}
	return b.waiting < maxWaiting
}

// makeRoom reports whether memory for n bytes of an account may become free. If what already gives way is not enough, it tells the
// account that holds most to give way, once that has held it for minYieldAge. The caller holds mu.
func (b *Budget) makeRoom(a *Account, n int64) bool {
	if b.leaving >= n {
		return true
	}
	largest := b.largestFor(a, n)
	if largest == nil {
		return false
	}
	if time.Since(largest.yieldSince) >= minYieldAge {
		largest.leaving = true
		b.leaving += largest.held
		b.counts.GaveWay++
		largest.giveWay()
	}
	return true
}

// largestFor returns the account that holds most of those that give way to n bytes more for a; nil: there is none. The caller holds
// mu.
func (b *Budget) largestFor(a *Account, n int64) (largest *Account) {
	for other := range b.accounts {
		switch {
		case other == a || other.leaving || other.held == 0 || other.yield == ToNobody:
		case other.yield == ToSmaller && other.held <= a.held+n && time.Since(other.yieldSince) < longYieldAge:
		case largest == nil || other.held > largest.held:
			largest = other
		}
	}
	return largest
}

// awaitRelease waits until bytes are released, for pollInterval at most. The caller holds mu, which is released meanwhile.
func (b *Budget) awaitRelease() {
	released := b.released
	b.waiting++
	b.mu.Unlock()
	select {
	case <-released:
	case <-time.After(pollInterval):
	}
	b.mu.Lock()
	b.waiting--
}
