package storagenode

import (
	"sync"
	"time"
)

// IdempotencyKeys holds the idempotency keys that a group of nodes remembers. Its methods may be called from any goroutine.
type IdempotencyKeys struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// maxKeys is the number of keys above which expired ones are removed.
const maxKeys = 1 << 16

// NewIdempotencyKeys returns an empty set of keys.
func NewIdempotencyKeys() *IdempotencyKeys { return &IdempotencyKeys{seen: map[string]time.Time{}} }

// addNew adds a key and returns true, or returns false if it was added within the window.
func (keys *IdempotencyKeys) addNew(key string, window time.Duration) bool {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	now := time.Now()
	if seenAt, ok := keys.seen[key]; ok && now.Sub(seenAt) < window {
		return false
	}
	if len(keys.seen) > maxKeys {
		for old, seenAt := range keys.seen {
			if now.Sub(seenAt) >= window {
				delete(keys.seen, old)
			}
		}
	}
	keys.seen[key] = now
	return true
}
