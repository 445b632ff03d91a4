// Package demand finds out what clients asked for (the offered load) from what gateways captured. On an overloaded day the two
// differ: what was rejected was retried, and each retry stands in the capture as a request of its own. It has no I/O, clock or
// goroutine; chance comes from the caller's generator.
package demand

import "time"

// Request is what a client asked for, counted once, however often it retried.
type Request struct {
	Arrival                      time.Duration // since the capture's first
	Gateway, Volume, Plan, Class string
	Units                        float64
	Shard                        int // -1: a new object
	Object                       uint64
	Timeout                      time.Duration
	CancelAfter                  time.Duration // its client goes away then, since Arrival; 0: it waits
	BodyBytes                    int           // bytes
	Attempts                     int           // how often it was asked for, as captured
}

// Slice returns the requests that arrive from one time until before another, their arrivals counted from the first.
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
