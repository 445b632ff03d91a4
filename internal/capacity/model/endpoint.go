// Package model simulates one endpoint, as learnt from a capture, in virtual time: its cores, its first-in, first-out queue, the work of
// each attempt by request class and units, its cache of recent objects, the deferred work of writes, its pauses, and the slow start after a
// cold start. The package has no I/O, clock or goroutine; the caller passes the current time.
package model

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"weirhaven/internal/pb"
)

// Config describes an endpoint.
type Config struct {
	Name              string
	Zone              string
	Shard             int
	Kind              *pb.CapacityModel_KindModel
	Cores             int
	QueueLimit        int     // attempts that may wait; 0: no limit
	Speed             float64 // of a core
	CancelMode        pb.BrickCancel
	DropsExpired      bool            // whether attempts that waited past their deadline are dropped
	Writes            map[string]bool // request classes that write
	SlowStartInitial  float64         // share of the capacity right after a cold start; 1: no slow start
	SlowStartDuration time.Duration
	OverloadMultiple  float64       // multiple of the slow-start capacity beyond which the endpoint crashes
	OverloadWindow    time.Duration // sliding window over which that is measured; 0: it never crashes
	Seed              int64
	Start             time.Duration                     // when the endpoint was started
	MeanUnitWork      float64                           // work per unit of a request class that the capture has no samples of, in core seconds
	workByClass       map[string]*pb.CapacityModel_Work // by request class
}

// Attempt is an attempt sent to an endpoint.
type Attempt struct {
	ID       uint64
	Gateway  int
	Class    string
	Volume   string
	Units    float64
	Object   uint64 // 0: none
	First    bool   // whether it is its request's first attempt: a cache keeps the objects of these only
	Deadline time.Duration
	Arrival  time.Duration
	work     float64 // core seconds at speed 1
	gone     bool
}

// Endpoint is a running endpoint.
type Endpoint struct {
	config     Config
	rng        *rand.Rand
	waiting    []*Attempt
	cores      []core
	cached     []uint64 // objects, oldest first
	deferred   float64  // work that writes left for the next flush, core seconds
	nextFlush  time.Duration
	nextPause  time.Duration
	recentWork []arrivedWork // within the overload window, during slow start
	// BusyTime is the time that all cores have worked so far, pauses left out. WarmBusyTime is what it would be if the endpoint had been at
	// full capacity throughout.
	BusyTime, WarmBusyTime time.Duration
	Crashed                bool    // whether overload during slow start made it crash
	PeakColdLoad           float64 // highest load during slow start, as a multiple of the load that makes it crash
	Rejected               int     // attempts that arrived at a full queue or after the crash
}

type core struct {
	attempt *Attempt      // nil: idle, or a flush of deferred work
	end     time.Duration // 0: idle
}

type arrivedWork struct {
	arrival time.Duration
	work    float64 // core seconds at speed 1
}

// New returns a running endpoint.
func New(c Config) *Endpoint {
	c.Cores = max(c.Cores, 1)
	if c.Speed <= 0 {
		c.Speed = 1
	}
	if c.SlowStartInitial <= 0 {
		c.SlowStartInitial = 1
	}
	c.workByClass = map[string]*pb.CapacityModel_Work{}
	for _, w := range c.Kind.Work {
		c.workByClass[w.QueueType] = w
	}
	e := &Endpoint{config: c, rng: rand.New(rand.NewSource(c.Seed)), cores: make([]core, c.Cores)}
	e.nextFlush, e.nextPause = never, never
	if c.Kind.Flush > 0 {
		e.nextFlush = c.Start + time.Duration(e.rng.Float64()*c.Kind.Flush*float64(time.Second))
	}
	if c.Kind.Pause > 0 && c.Kind.PauseEvery > 0 {
		e.nextPause = c.Start + time.Duration(e.rng.ExpFloat64()*c.Kind.PauseEvery*float64(time.Second))
	}
	return e
}

const never = time.Duration(math.MaxInt64)

// Config returns the configuration of the endpoint, with defaults filled in.
func (e *Endpoint) Config() Config { return e.config }

// Work returns the mean work of an attempt, in core seconds at speed 1. A request class without samples costs meanUnit for each unit.
func Work(k *pb.CapacityModel_KindModel, class string, units, meanUnit float64) float64 {
	for _, w := range k.Work {
		if w.QueueType == class && w.Samples > 0 {
			return w.Base + w.Unit*units
		}
	}
	return meanUnit * units
}

// SlowStartCapacity returns the share of its capacity that the endpoint has: below 1 during slow start.
func (e *Endpoint) SlowStartCapacity(now time.Duration) float64 {
	age := now - e.config.Start
	if e.config.SlowStartInitial >= 1 || e.config.SlowStartDuration <= 0 || age >= e.config.SlowStartDuration {
		return 1
	}
	return e.config.SlowStartInitial + (1-e.config.SlowStartInitial)*float64(age)/float64(e.config.SlowStartDuration)
}

// Arrive takes an attempt; it reports false if the endpoint rejects it.
func (e *Endpoint) Arrive(a *Attempt, now time.Duration) bool {
	k := e.config.Kind
	a.Arrival, a.work = now, Work(k, a.Class, a.Units, e.config.MeanUnitWork)
	if w := e.config.workByClass[a.Class]; w != nil && w.Vary > 0 {
		s := math.Sqrt(math.Log(1 + w.Vary*w.Vary))
		a.work *= math.Exp(s*e.rng.NormFloat64() - s*s/2)
	}
	if k.Remembers > 0 && a.First && a.Object != 0 {
		if slices.Contains(e.cached, a.Object) {
			a.work *= 1 - k.Saves
		} else if e.cached = append(e.cached, a.Object); len(e.cached) > int(k.Remembers) {
			e.cached = e.cached[1:]
		}
	}
	e.checkOverload(a.work, now)
	if e.Crashed || e.config.QueueLimit > 0 && len(e.waiting) >= e.config.QueueLimit {
		e.Rejected++
		return false
	}
	e.waiting = append(e.waiting, a)
	e.startWaiting(now)
	return true
}

// checkOverload makes the endpoint crash if the work that arrived within the overload window during slow start exceeds a multiple of what
// it can do at its present capacity.
func (e *Endpoint) checkOverload(work float64, now time.Duration) {
	if e.config.OverloadWindow <= 0 || e.SlowStartCapacity(now) >= 1 {
		e.recentWork = nil
		return
	}
	e.recentWork = append(e.recentWork, arrivedWork{now, work})
	sum, from := 0.0, 0
	for i, p := range e.recentWork {
		if now-p.arrival >= e.config.OverloadWindow {
			from = i + 1
			continue
		}
		sum += p.work
	}
	e.recentWork = e.recentWork[from:]
	limit := e.config.OverloadMultiple * e.config.Speed * float64(e.config.Cores) * e.SlowStartCapacity(now) * e.config.OverloadWindow.Seconds()
	e.PeakColdLoad = math.Max(e.PeakColdLoad, sum/math.Max(limit, 1e-9))
	e.Crashed = e.Crashed || sum > limit
}

// startWaiting starts waiting attempts on idle cores. Deferred work that is due goes first.
func (e *Endpoint) startWaiting(now time.Duration) {
	for i := range e.cores {
		c := &e.cores[i]
		for c.end == 0 {
			work, a := 0.0, (*Attempt)(nil)
			switch {
			case e.deferred > 0 && now >= e.nextFlush:
				work, e.deferred = e.deferred, 0
				e.nextFlush = now + time.Duration(e.config.Kind.Flush*float64(time.Second))
			case len(e.waiting) > 0:
				a = e.waiting[0]
				e.waiting = e.waiting[1:]
				if e.config.DropsExpired && now > a.Deadline {
					continue
				}
				work = a.work
				if e.config.Writes[a.Class] && e.config.Kind.Deferred > 0 {
					e.deferred += work * e.config.Kind.Deferred
					work *= 1 - e.config.Kind.Deferred
				}
			default:
				return
			}
			duration := time.Duration(work / (e.config.Speed * e.SlowStartCapacity(now)) * float64(time.Second))
			e.BusyTime += duration
			e.WarmBusyTime += time.Duration(work / e.config.Speed * float64(time.Second))
			if now >= e.nextPause { // the core pauses, then continues
				duration += time.Duration(e.config.Kind.Pause * float64(time.Second))
				e.nextPause = now + time.Duration(e.rng.ExpFloat64()*e.config.Kind.PauseEvery*float64(time.Second))
			}
			c.attempt, c.end = a, now+max(duration, 1)
		}
	}
}

// NextCompletion returns when the next running attempt or flush ends; ok is false if none is running.
func (e *Endpoint) NextCompletion() (at time.Duration, ok bool) {
	at = never
	for _, c := range e.cores {
		if c.end > 0 && c.end < at {
			at = c.end
		}
	}
	return at, at != never
}

// Advance moves the time to now and calls done for each attempt that ends by then, in order of time.
func (e *Endpoint) Advance(now time.Duration, done func(a *Attempt, at time.Duration)) {
	for {
		i, at := -1, never
		for k, c := range e.cores {
			if c.end > 0 && c.end <= now && c.end < at {
				i, at = k, c.end
			}
		}
		if i < 0 {
			return
		}
		a := e.cores[i].attempt
		e.cores[i] = core{}
		e.startWaiting(at)
		if a != nil && !a.gone {
			done(a, at)
		}
	}
}

// Cancel cancels an attempt, as far as the cancel mode of the endpoint allows.
func (e *Endpoint) Cancel(gateway int, id uint64, now time.Duration) {
	if e.config.CancelMode == pb.BrickCancel_CANCEL_IGNORED {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(a *Attempt) bool { return a.Gateway == gateway && a.ID == id })
	if e.config.CancelMode != pb.BrickCancel_CANCEL_STOPS {
		return
	}
	for i, c := range e.cores {
		if c.attempt != nil && c.attempt.Gateway == gateway && c.attempt.ID == id {
			e.BusyTime -= c.end - now
			e.cores[i] = core{}
			e.startWaiting(now)
		}
	}
}

// Attempts returns all attempts at the endpoint, running ones first.
func (e *Endpoint) Attempts() (all []*Attempt) {
	for _, c := range e.cores {
		if c.attempt != nil {
			all = append(all, c.attempt)
		}
	}
	return append(all, e.waiting...)
}
