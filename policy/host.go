package policy

import "time"

// Host is what the module may do. Every call takes effect at once.
type Host interface {
	Now() time.Duration
	Dispatch(d *Dispatch, timeout time.Duration)
	BusyReply(c *Command, pause time.Duration)
	Abort(c *Command)
	Cancel(d *Dispatch)
	After(wait time.Duration, f func())
	Watch(on bool)
	ListAll()
	Probe(b *Brick)
	Tell(peer int, data []byte)
	CloseIdle(b *Brick)
	Log(line string)
}

// Settings are handed over once, when a host starts.
type Settings struct {
	Seed         int64
	Ordinal      int
	Hosts        int
	Zone         string
	QueueTypes   []QueueType
	Plans        []Plan
	Asks         bool // the list comes only when asked for
	SecondCopies bool
	Cancel       bool
	Probe        bool
	Peers        bool
	MaxPause     time.Duration // longest advice that clients follow, 0: they get none
	MarksRepeat  bool          // clients mark their repeats
	MaxDispatch  int
	AnswerSlack  time.Duration
	Resolution   time.Duration
	AskWithin    time.Duration
	DrainGrace   time.Duration
	ColdFrom     float64
	ColdFor      time.Duration
	ColdUnits    float64
	FallMultiple float64
	FallAfter    time.Duration
	Budgeted     bool
	BudgetFree   float64
	BudgetShare  float64
	BudgetSpan   time.Duration
	KeyRest      time.Duration
	Meter        time.Duration
	Elsewhere    bool
	UsualUnits   float64
	UnitsTop     float64
}

// QueueType is the handed-over form of a queue type.
type QueueType struct {
	Name           string
	ServiceTarget  time.Duration
	CommandTimeout time.Duration
	Window         time.Duration
	Importance     float64
	LateShare      float64
	Semantics      Semantics
	Group          string // all, zone or cell
	Streaming      bool
	InOrder        bool
	Writes         bool
}

// Plan is the handed-over form of a plan; the figures hold for each volume over all hosts.
type Plan struct {
	Name        string
	Nominal     float64
	Reservation float64
	Limit       float64
	Depth       float64
	Slack       float64
	Weight      float64
	Importance  float64
}
