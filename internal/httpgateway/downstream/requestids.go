package downstream

import (
	"sync"
	"time"
)

// A request id is rejected as a duplicate for idMemory after its request ended, since a late copy of the request would take
// effect a second time. At most maxRememberedIDs are kept; beyond that the older half is dropped early.
const (
	idMemory         = 10 * time.Second
	maxRememberedIDs = 1 << 16
)

// requestIDs is the set of ids of requests that are in progress or ended recently. It is safe for concurrent use.
type requestIDs struct {
	mu            sync.Mutex
	inProgress    map[string]bool
	recent, older map[string]bool // two generations of ids of ended requests
	rotatedAt     time.Time       // time at which recent was created
}

func newRequestIDs() *requestIDs {
	return &requestIDs{inProgress: map[string]bool{}, recent: map[string]bool{}, older: map[string]bool{}, rotatedAt: time.Now()}
}

// claim marks an id as in progress. It returns false if the id is in progress already or its request ended recently.
func (r *requestIDs) claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress[id] || r.recent[id] || r.older[id] {
		return false
	}
	r.inProgress[id] = true
	return true
}

// release marks the request of an id as ended. remember is false if the request never reached the scheduler; then the id may
// be used again at once.
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
