package downstream

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"
)

const (
	// idMemory is the least time for which the id of a request that has ended is refused, since a late copy of the request would take
	// effect a second time. It is refused for longer while there is space.
	idMemory = 10 * time.Second
	// idSize is about what an id takes in bytes. Ids are kept as hashes, whatever their length.
	idSize = 24
)

// Errors of requestIDs.claim.
var (
	errDuplicateID = errors.New("the request id is in use or was used recently")
	errTooManyIDs  = errors.New("no space for another request id")
)

// requestIDs is the set of ids of requests that are in progress or ended recently. It is safe for concurrent use.
type requestIDs struct {
	seed       maphash.Seed
	generation int // number of ids of a generation

	mu            sync.Mutex
	inProgress    map[uint64]bool
	recent, older map[uint64]struct{} // two generations of ids of ended requests
	rotatedAt     time.Time           // time at which recent was created, and the last id was added to older
}

// newRequestIDs returns a set that takes about memory bytes at most for ended requests.
func newRequestIDs(memory int64) *requestIDs {
	return &requestIDs{seed: maphash.MakeSeed(), generation: int(max(memory/2/idSize, 1)), inProgress: map[uint64]bool{},
		recent: map[uint64]struct{}{}, older: map[uint64]struct{}{}}
}

// claim marks an id as in progress. It returns errDuplicateID if the id is in progress already or its request ended recently, and
// errTooManyIDs if the request's end could not be remembered without forgetting another one too early.
func (r *requestIDs) claim(id string) error {
	key := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress[key] || contains(r.recent, key) || contains(r.older, key) {
		return errDuplicateID
	}
	if !r.makeRoom(time.Now()) {
		return errTooManyIDs
	}
	r.inProgress[key] = true
	return nil
}

// release marks the request of an id as ended. remember is false if the request never reached the scheduler; then the id may
// be used again at once.
func (r *requestIDs) release(id string, remember bool) {
	key := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inProgress, key)
	if remember {
		r.recent[key] = struct{}{}
	}
}

// makeRoom begins another generation if the recent one is full with the requests in progress. It returns false if the older one may
// not be forgotten yet. The caller holds mu.
func (r *requestIDs) makeRoom(now time.Time) bool {
	if len(r.recent)+len(r.inProgress) < r.generation {
		return true
	}
	if now.Sub(r.rotatedAt) < idMemory {
		return false
	}
	r.older, r.recent, r.rotatedAt = r.recent, map[uint64]struct{}{}, now
	return true
}

func contains(set map[uint64]struct{}, key uint64) bool {
	_, ok := set[key]
	return ok
}
