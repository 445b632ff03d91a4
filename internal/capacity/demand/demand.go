// Package demand derives the offered load, the requests that clients wanted served, from captured requests. The two differ under overload:
// clients retry rejected requests, and the capture has each retry as a request of its own. The package has no I/O, clock or goroutine; the
// caller passes the random number generator.
package demand

import "time"

// Request is a request of the offered load: the client's retries are folded into it.
type Request struct {
	Arrival                      time.Duration // since the first request of the capture
	Gateway, Volume, Plan, Class string
	Units                        float64
	Shard                        int // -1: none yet, a new object
	Object                       uint64
	Timeout                      time.Duration
	CancelAfter                  time.Duration // time from Arrival until the client disconnects; 0: it waits
	BodyBytes                    int           // bytes
	Attempts                     int           // how often the client sent it, retries included
}

// Slice returns the requests that arrive at from or later and before to, with arrivals relative to from.
func Slice(load []Request, from, to time.Duration) []Request {
	var slice []Request
	for _, r := range load {
		if r.Arrival >= from && r.Arrival < to {
			r.Arrival -= from
			slice = append(slice, r)
		}
	}
	return slice
}
