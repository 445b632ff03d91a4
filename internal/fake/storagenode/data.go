package storagenode

import (
	"sync"
)

// Data holds the objects of a shard. It is shared by the nodes that serve the shard one after the other. Its methods may be
// called from any goroutine.
type Data struct {
	mu      sync.Mutex
	objects map[string]storedObject
}

// storedObject is the latest version of an object.
type storedObject struct {
	body  []byte
	times int // how often the object was written
}

// NewData returns an empty store.
func NewData() *Data { return &Data{objects: map[string]storedObject{}} }

// get returns an object, and false if it was never written.
func (d *Data) get(object string) (storedObject, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.objects[object]
	return s, ok
}

// put writes an object.
func (d *Data) put(object string, body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.objects[object] = storedObject{body, d.objects[object].times + 1}
}
