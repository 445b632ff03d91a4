package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"weirhaven/internal/httpgateway/membudget"
)

// bodyMemory is the memory of the response to one attempt. It implements engine.BodyMemory. Its zero value holds nothing.
type bodyMemory struct {
	account *membudget.Account // nil: not opened
	stop    atomic.Pointer[func()]
}

// open opens the account before the response is read.
func (m *bodyMemory) open(budget *membudget.Budget) {
	m.account = budget.Open(func() {
		if stop := m.stop.Load(); stop != nil {
			(*stop)()
		}
	})
}

// Release frees the memory; a second call has no effect.
func (m *bodyMemory) Release() {
	if m.account != nil {
		m.account.Close()
	}
}

// GiveWay offers the memory to any other response from now on.
func (m *bodyMemory) GiveWay(stop func()) {
	if m.account != nil {
		m.stop.Store(&stop)
		m.account.SetYield(membudget.ToAny)
	}
}

// memoryRetryInterval is the interval at which a response that there is no memory for asks again.
const memoryRetryInterval = 10 * time.Millisecond

// readerMemory charges a response to its account while it is read. It implements http1.Memory.
type readerMemory struct {
	ctx     context.Context // ends when the attempt is canceled
	account *membudget.Account
}

// Charge reserves n bytes. It waits until there is space, or returns an error when the attempt is canceled.
func (m readerMemory) Charge(n int) error {
	for m.account.Charge(n) != nil {
		select {
		case <-time.After(memoryRetryInterval):
		case <-m.ctx.Done():
			return m.ctx.Err()
		}
	}
	return nil
}

// Release returns n bytes.
func (m readerMemory) Release(n int) { m.account.Release(n) }
