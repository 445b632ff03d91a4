package downstream

import (
	"sync"
	"time"
)

// The id of a request is refused for idMemory after the request ended: a copy of it that comes late would have its effect a
// second time. No more than maxRememberedIDs are kept; beyond that the older half is forgotten early.
const (
	idMemory         = 10 * time.Second
	maxRememberedIDs = 1 << 16
)

// requestIDs are the ids of requests that are in progress or ended a moment ago. It is safe for concurrent use.
type requestIDs struct {
	mu            sync.Mutex
	inProgress    map[string]bool
	recent, older map[string]bool // two generations of those that ended
	rotatedAt     time.Time       // when recent was begun
}

func newRequestIDs() *requestIDs {
	return &requestIDs{inProgress: map[string]bool{}, recent: map[string]bool{}, older: map[string]bool{}, rotatedAt: time.Now()}
}

// claim reports whether an id may be used; it is in progress from then on.
func (r *requestIDs) claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress[id] || r.recent[id] || r.older[id] {
		return false
	}
	r.inProgress[id] = true
	return true
}

// release ends the use of an id. It is remembered unless its request never reached the scheduler.
func (r *requestIDs) release(id string, remember bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inProgress, id)
	if now := time.Now(); now.Sub(r.rotatedAt) > idMemory || len(r.recent) >= maxRememberedIDs/2 {
		r.older, r.recent, r.rotatedAt = r.recent, map[string]bool{}, now
	}
	if remember {
		r.recent[id] = true
	}
}
