package downstream

import (
	"sync"
	"time"
)

// A request's id is refused for idMemory after its request ended: a late copy would be a second effect. No more than
// maxRememberedIDs are kept; beyond that the older half is forgotten early.
const (
	idMemory         = 10 * time.Second
	maxRememberedIDs = 1 << 16
)

// requestIDs are the ids of requests that are in progress or ended a moment ago.
type requestIDs struct {
	mu              sync.Mutex
	open            map[string]bool
	recent, earlier map[string]bool // generations of ended ones
	rotated         time.Time       // when recent was begun
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]bool{}, recent: map[string]bool{}, earlier: map[string]bool{}, rotated: time.Now()}
}

// claim reports whether an id may be used; it then is in progress.
func (x *requestIDs) claim(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.open[id] || x.recent[id] || x.earlier[id] {
		return false
	}
	x.open[id] = true
	return true
}

// release ends an id's use. It is remembered unless nothing came of its request.
func (x *requestIDs) release(id string, remember bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, id)
	if now := time.Now(); now.Sub(x.rotated) > idMemory || len(x.recent) >= maxRememberedIDs/2 {
		x.earlier, x.recent, x.rotated = x.recent, map[string]bool{}, now
	}
	if remember {
		x.recent[id] = true
	}
}
