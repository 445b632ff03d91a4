package endpointstate

import (
	"cmp"
	"slices"
	"time"
)

// Fleet is what one gateway believes of all endpoints. It is not safe for concurrent use.
type Fleet struct {
	rules     Rules
	sink      Sink
	log       func(line string)
	endpoints map[string]*Belief // by name

	lastGeneration Generation // of the latest list believed
	listReceived   bool       // a list was believed since the start

	loggedAddresses map[string]bool // "name address" of rejected reports
}

// New returns a fleet that believes nothing yet. Both sink and log are called from within the calls of the fleet.
func New(rules Rules, sink Sink, log func(line string)) *Fleet {
	return &Fleet{rules: rules, sink: sink, log: log, endpoints: map[string]*Belief{}, loggedAddresses: map[string]bool{}}
}

// LastGeneration identifies the latest endpoint list that was believed; the zero value: none.
func (f *Fleet) LastGeneration() Generation { return f.lastGeneration }

// Beliefs returns copies of all beliefs, sorted by name.
func (f *Fleet) Beliefs() []Belief {
	all := make([]Belief, 0, len(f.endpoints))
	for _, b := range f.sorted() {
		all = append(all, *b)
	}
	return all
}

// Belief returns what is held of one endpoint; false: nothing.
func (f *Fleet) Belief(name string) (Belief, bool) {
	if b := f.endpoints[name]; b != nil {
		return *b, true
	}
	return Belief{}, false
}

// Restore takes back saved beliefs, each as old as its ObservedAt says. It is to be called before any evidence arrives.
// The saved drains hold.
func (f *Fleet) Restore(saved []Belief, last Generation, now time.Duration) {
	f.lastGeneration = last
	for _, b := range saved {
		if !f.addressAllowed(b.Report, Saved) {
			continue
		}
		b.Source = Saved
		if b.ObservedAt > now { // the clock was set back since the save: the age is not known
			b.ObservedAt = 0
		}
		b.notified, b.OmittedByLists, b.GreetedAt = notification{}, 0, 0
		b.removedByList = !b.Serving && b.DrainedUpTo == 0 // not saved, but nothing else leaves this trace
		f.endpoints[b.Name] = &b
		f.update(&b, now)
	}
}

// Forget drops all that is held of an endpoint, its drain too: an operator's order. It returns whether anything was held.
func (f *Fleet) Forget(name string) bool {
	b := f.endpoints[name]
	if b == nil {
		return false
	}
	f.notifyDropped(b)
	delete(f.endpoints, name)
	return true
}

// sorted gives the beliefs by name, so that notifications come in the same order in each run.
func (f *Fleet) sorted() []*Belief {
	all := make([]*Belief, 0, len(f.endpoints))
	for _, b := range f.endpoints {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *Belief) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
