// Package model is a brick as learnt from a capture, in virtual time: cores, a queue in turn of arrival, work by queue type and
// units, a cache of the last pieces, deferred work of writes, pauses, a cold start with its ramp. It has no I/O, clock or
// goroutine; who drives it tells the time.
package model

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"weirhaven/internal/pb"
)

// Config is what a brick is made of.
type Config struct {
	Name              string
	Zone              string
	Shard             int
	Kind              *pb.CapacityModel_KindModel
	Cores             int
	QueueLimit        int // 0: as many as come
	Speed             float64
	CancelMode        pb.BrickCancel
	DropsExpired      bool
	Writes            map[string]bool
	SlowStartInitial  float64 // 1: it is warm
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration
	Seed              int64
	Start             time.Duration
	MeanUnitWork      float64                           // of a queue type that the capture shows none of
	workBy            map[string]*pb.CapacityModel_Work // by queue type
}

// Attempt is one dispatch at a brick.
type Attempt struct {
	ID       uint64
	Gateway  int
	Class    string
	Volume   string
	Units    float64
	Object   uint64
	First    bool // the command's first dispatch: what a cache remembers
	Deadline time.Duration
	Arrival  time.Duration
	work     float64
	gone     bool
}

// Endpoint is one while it serves.
type Endpoint struct {
	c        Config
	rng      *rand.Rand
	waiting  []*Attempt
	cores    []core
	recent   []uint64
	deferred float64
	flushAt  time.Duration
	pauseAt  time.Duration
	pressed  []press
	// BusyTime is the time that its cores have worked so far, WarmBusyTime what that comes to on a warm brick; Fell tells whether it was pushed over; Pressure is the most that it was sent while
	// cold, as a part of what pushes it over.
	BusyTime, WarmBusyTime time.Duration
	Crashed                bool
	PeakColdLoad           float64
	// Rejected counts what found the queue full.
	Rejected int
}

type core struct {
	job  *Attempt
	ends time.Duration // 0: idle
}

type press struct {
	at   time.Duration
	work float64
}

// New brings one up.
func New(c Config) *Endpoint {
	c.Cores = max(c.Cores, 1)
	if c.Speed <= 0 {
		c.Speed = 1
	}
	if c.SlowStartInitial <= 0 {
		c.SlowStartInitial = 1
	}
	c.workBy = map[string]*pb.CapacityModel_Work{}
	for _, w := range c.Kind.Work {
		c.workBy[w.QueueType] = w
	}
	b := &Endpoint{c: c, rng: rand.New(rand.NewSource(c.Seed)), cores: make([]core, c.Cores)}
	b.flushAt, b.pauseAt = never, never
	if c.Kind.Flush > 0 {
		b.flushAt = c.Start + time.Duration(b.rng.Float64()*c.Kind.Flush*float64(time.Second))
	}
	if c.Kind.Pause > 0 && c.Kind.PauseEvery > 0 {
		b.pauseAt = c.Start + time.Duration(b.rng.ExpFloat64()*c.Kind.PauseEvery*float64(time.Second))
	}
	return b
}

const never = time.Duration(math.MaxInt64)

// Config is what it is made of.
func (b *Endpoint) Config() Config { return b.c }

// Work is the mean work of a dispatch on a core of speed 1, in seconds.
func Work(k *pb.CapacityModel_KindModel, queue string, units, mean float64) float64 {
	for _, w := range k.Work {
		if w.QueueType == queue && w.Samples > 0 {
			return w.Base + w.Unit*units
		}
	}
	return mean * units
}

// SlowStartCapacity is the part of its capacity that it has.
func (b *Endpoint) SlowStartCapacity(now time.Duration) float64 {
	age := now - b.c.Start
	if b.c.SlowStartInitial >= 1 || b.c.SlowStartDuration <= 0 || age >= b.c.SlowStartDuration {
		return 1
	}
	return b.c.SlowStartInitial + (1-b.c.SlowStartInitial)*float64(age)/float64(b.c.SlowStartDuration)
}

// Arrive takes a dispatch; false: turned away unseen.
func (b *Endpoint) Arrive(j *Attempt, now time.Duration) bool {
	k := b.c.Kind
	j.Arrival, j.work = now, Work(k, j.Class, j.Units, b.c.MeanUnitWork)
	if w := b.c.workBy[j.Class]; w != nil && w.Vary > 0 {
		s := math.Sqrt(math.Log(1 + w.Vary*w.Vary))
		j.work *= math.Exp(s*b.rng.NormFloat64() - s*s/2)
	}
	if k.Remembers > 0 && j.First && j.Object != 0 {
		if slices.Contains(b.recent, j.Object) {
			j.work *= 1 - k.Saves
		} else if b.recent = append(b.recent, j.Object); len(b.recent) > int(k.Remembers) {
			b.recent = b.recent[1:]
		}
	}
	b.press(j.work, now)
	if b.Crashed || b.c.QueueLimit > 0 && len(b.waiting) >= b.c.QueueLimit {
		b.Rejected++
		return false
	}
	b.waiting = append(b.waiting, j)
	b.begin(now)
	return true
}

// press is the rule by which a cold brick is pushed over.
func (b *Endpoint) press(work float64, now time.Duration) {
	if b.c.OverloadWindow <= 0 || b.SlowStartCapacity(now) >= 1 {
		b.pressed = nil
		return
	}
	b.pressed = append(b.pressed, press{now, work})
	sum, from := 0.0, 0
	for i, p := range b.pressed {
		if now-p.at >= b.c.OverloadWindow {
			from = i + 1
			continue
		}
		sum += p.work
	}
	b.pressed = b.pressed[from:]
	most := b.c.OverloadMultiple * b.c.Speed * float64(b.c.Cores) * b.SlowStartCapacity(now) * b.c.OverloadWindow.Seconds()
	b.PeakColdLoad = math.Max(b.PeakColdLoad, sum/math.Max(most, 1e-9))
	b.Crashed = b.Crashed || sum > most
}

// begin lets free cores take what waits; what is deferred goes first when it is due.
func (b *Endpoint) begin(now time.Duration) {
	for i := range b.cores {
		c := &b.cores[i]
		for c.ends == 0 {
			work, j := 0.0, (*Attempt)(nil)
			switch {
			case b.deferred > 0 && now >= b.flushAt:
				work, b.deferred = b.deferred, 0
				b.flushAt = now + time.Duration(b.c.Kind.Flush*float64(time.Second))
			case len(b.waiting) > 0:
				j = b.waiting[0]
				b.waiting = b.waiting[1:]
				if b.c.DropsExpired && now > j.Deadline {
					continue
				}
				work = j.work
				if b.c.Writes[j.Class] && b.c.Kind.Deferred > 0 {
					b.deferred += work * b.c.Kind.Deferred
					work *= 1 - b.c.Kind.Deferred
				}
			default:
				return
			}
			took := time.Duration(work / (b.c.Speed * b.SlowStartCapacity(now)) * float64(time.Second))
			b.BusyTime += took
			b.WarmBusyTime += time.Duration(work / b.c.Speed * float64(time.Second))
			if now >= b.pauseAt { // it stands still for a while, then goes on
				took += time.Duration(b.c.Kind.Pause * float64(time.Second))
				b.pauseAt = now + time.Duration(b.rng.ExpFloat64()*b.c.Kind.PauseEvery*float64(time.Second))
			}
			c.job, c.ends = j, now+max(took, 1)
		}
	}
}

// NextCompletion is when something is done; false: nothing runs.
func (b *Endpoint) NextCompletion() (at time.Duration, ok bool) {
	at = never
	for _, c := range b.cores {
		if c.ends > 0 && c.ends < at {
			at = c.ends
		}
	}
	return at, at != never
}

// Advance lets time pass until now and calls done for each job that ends, in order.
func (b *Endpoint) Advance(now time.Duration, done func(j *Attempt, at time.Duration)) {
	for {
		i, at := -1, never
		for k, c := range b.cores {
			if c.ends > 0 && c.ends <= now && c.ends < at {
				i, at = k, c.ends
			}
		}
		if i < 0 {
			return
		}
		j := b.cores[i].job
		b.cores[i] = core{}
		b.begin(at)
		if j != nil && !j.gone {
			done(j, at)
		}
	}
}

// Cancel calls a dispatch off.
func (b *Endpoint) Cancel(host int, id uint64, now time.Duration) {
	if b.c.CancelMode == pb.BrickCancel_CANCEL_IGNORED {
		return
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(j *Attempt) bool { return j.Gateway == host && j.ID == id })
	if b.c.CancelMode != pb.BrickCancel_CANCEL_STOPS {
		return
	}
	for i, c := range b.cores {
		if c.job != nil && c.job.Gateway == host && c.job.ID == id {
			b.BusyTime -= c.ends - now
			b.cores[i] = core{}
			b.begin(now)
		}
	}
}

// Jobs are the jobs in it.
func (b *Endpoint) Jobs() (all []*Attempt) {
	for _, c := range b.cores {
		if c.job != nil {
			all = append(all, c.job)
		}
	}
	return append(all, b.waiting...)
}
