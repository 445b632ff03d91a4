package policy

import (
	"math/rand"
	"time"
)

// Ending tells how a dispatch ended.
type Outcome int

const (
	Served          Outcome = iota
	ErrorResponse           // may have run
	Rejected                // turned away unseen
	TimedOut                // may run still
	ConnectFailed           // never ran
	ConnectionReset         // may have run
	Canceled                // may run still
	NotSent                 // never ran
)

// Dispatch is one try of a command at a brick.
type Attempt struct {
	done     bool // completed
	lost     bool // its answer, as a quick probe or what overtook it showed
	called   bool // off as lost
	Request  *Request
	Endpoint *Endpoint
	Number   int
	StartBy  time.Duration // by when it must begin; 0: any time

	sent time.Duration
	gap  time.Duration // the brick's when it was sent
	over bool
	ran  bool // may have run, or may yet
}

// Command is one read or write that a client handed to this host.
type Request struct {
	ID     int64
	Volume *Volume

	queue      *queueType
	units      float64
	object     string
	cell       int
	taken      time.Duration
	target     time.Duration // when the service target passes
	giveUp     time.Duration // when the command timeout passes
	first      time.Duration // when the client first asked
	lane       *lane
	wish       wish
	dispatches []*Attempt
	out        int
	held, over bool
	streaming  bool
	charged    bool
	key        *key
}

// Brick is one storage node named by a list.
type Endpoint struct {
	Name string

	zone    string
	cell    int
	share   float64
	boot    time.Duration
	open    bool
	listed  bool
	strikes int           // times in a row that it was full, not reached or didn't answer
	breaks  int           // the same, one broken connection included
	stuck   time.Duration // nothing goes before
	watched bool          // this host probes it for all
	probed  bool          // a probe is out
	probe   Attempt       // the last
	every   time.Duration // mean time between dispatches
	last    time.Duration // when it was sent something
	gap     time.Duration // least time between dispatches to it
	paced   time.Duration // when the gap moved
	out     int
	quota   float64 // Q, the latency-set window of all hosts
	of      float64 // this host's part of it
	window  int
	sized   time.Duration
	full    bool // the window was reached since the last period
	lat     time.Duration
	sum     time.Duration
	answers int
	flying  []*Attempt
	vtime   float64
	coldLog []*Attempt // while it is cold: out, or come to nothing within a span
}

// Volume is one volume with its plan, as this host knows it.
type Volume struct {
	demand  float64 // of all hosts, units a second
	plan    *plan
	hosts   float64
	lanes   []*lane
	reserve float64 // this host's part of the reservation
	limit   bucket  // this host's part of the limit
	rTag    time.Duration
	told    float64
	hasTold bool
	served  float64
	rate    float64 // own service, units a second
}

// The rest lives as long as the instance.

type lane struct {
	vol    *Volume
	cell   int
	held   []*Request
	wTag   float64
	units  float64 // held and out now
	area   float64 // units x seconds since the last period
	since  time.Duration
	demand float64 // units a second
	others float64
	told   time.Duration // when an answer last told of others
	heard  bool
}

type queueType struct {
	target, timeout  time.Duration
	window           time.Duration
	importance, late float64
	cost             float64 // seconds a unit, as answers showed
	work             float64 // the same where nothing was before it
	semantics        Idempotency
	group            string
	order            bool
}

// Semantics tells whether a command may run again.
type Idempotency int

const (
	Idempotent      Idempotency = iota
	IdempotentByKey             // it carries a mark by which a repeat is known
	NotIdempotent               // it must never run twice
)

type plan struct {
	nominal, reservation, limit, depth, slack, weight float64
}

type bucket struct {
	level, rate, depth float64
	at                 time.Duration
}

// wish is what a client's repeat has in common with its first try.
type wish struct {
	volume *Volume
	queue  *queueType
	object string
	units  float64
}

// share is one part of a divvy.
type share struct {
	least, most, weight, got float64
}

type key struct {
	line []*Request
	rest time.Duration
}

// Instance decides for one host.
type Scheduler struct {
	host Runtime
	rng  *rand.Rand

	hosts          float64
	queues         map[string]*queueType
	plans          map[string]*plan
	lc             time.Duration
	began          time.Duration
	early          time.Duration
	shortest       time.Duration // of the service targets
	cancels        bool
	advises        time.Duration
	maxDispatches  int
	coldAll        float64 // what it bears from all hosts
	coldUnits      float64 // what a brick just started bears from this host within coldSpan
	coldSpan       time.Duration
	coldGain       float64
	coldProof      float64 // units out for a unit done within coldSpan
	coldFor        time.Duration
	budgeted       bool
	budgetFree     float64
	budgetShare    float64
	budgetSpan     time.Duration
	keyRest        time.Duration
	usual          float64
	askWithin      time.Duration
	watches        bool // hosts may probe and tell each other
	ordinal        int
	volumes        []*Volume
	bricks         []*Endpoint
	cells          map[int]*cell
	keys           map[string]*key
	further, taken []time.Duration
	failures       int
	refused        map[wish][]time.Duration // first tries of what was given up
	marksRepeat    bool
}

type cell struct {
	bricks []*Endpoint
	lanes  []*lane
}
