package endpointstate

import (
	"cmp"
	"slices"
	"time"
)

// Fleet is one gateway's view of all endpoints. It is not safe for concurrent use.
type Fleet struct {
	rules     Rules
	sink      Sink
	log       func(line string)
	endpoints map[string]*Belief // by name

	lastGeneration Generation // generation of the latest accepted list
	listReceived   bool       // whether a list was accepted since the start

	loggedAddresses map[string]bool // rejected reports that were logged, by "name address"
}

// New returns a fleet without beliefs. The fleet calls sink and log synchronously from its methods.
func New(rules Rules, sink Sink, log func(line string)) *Fleet {
	return &Fleet{rules: rules, sink: sink, log: log, endpoints: map[string]*Belief{}, loggedAddresses: map[string]bool{}}
}

// LastGeneration returns the generation of the latest accepted endpoint list, or the zero value if there is none.
func (f *Fleet) LastGeneration() Generation { return f.lastGeneration }

// Beliefs returns copies of all beliefs, sorted by name.
func (f *Fleet) Beliefs() []Belief {
	all := make([]Belief, 0, len(f.endpoints))
	for _, b := range f.sorted() {
		all = append(all, *b)
	}
	return all
}

// Belief returns a copy of the belief about one endpoint, and false if there is none.
func (f *Fleet) Belief(name string) (Belief, bool) {
	if b := f.endpoints[name]; b != nil {
		return *b, true
	}
	return Belief{}, false
}

// Restore loads saved beliefs, drains included; the age of each follows from its ObservedAt. Call it before any report arrives.
func (f *Fleet) Restore(saved []Belief, last Generation, now time.Duration) {
	f.lastGeneration = last
	for _, b := range saved {
		if !f.addressAllowed(b.Report, Saved) {
			continue
		}
		b.Source = Saved
		if b.ObservedAt > now { // the clock was set back since the save, so the age is unknown
			b.ObservedAt = 0
		}
		b.notified, b.OmittedByLists, b.GreetedAt = notification{}, 0, 0
		b.removedByList = !b.Serving && b.DrainedUpTo == 0 // removedByList is not saved; only it gives this combination
		f.endpoints[b.Name] = &b
		f.update(&b, now)
	}
}

// Forget deletes the belief about an endpoint, including its drain, at an operator's request. It reports whether there was one.
func (f *Fleet) Forget(name string) bool {
	b := f.endpoints[name]
	if b == nil {
		return false
	}
	f.notifyDropped(b)
	delete(f.endpoints, name)
	return true
}

// sorted returns the beliefs sorted by name, so that the order of notifications is reproducible.
func (f *Fleet) sorted() []*Belief {
	all := make([]*Belief, 0, len(f.endpoints))
	for _, b := range f.endpoints {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *Belief) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
