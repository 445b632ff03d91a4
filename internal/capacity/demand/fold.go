package demand

import (
	"slices"
	"time"

	"weirhaven/internal/pb"
)

// FoldRetries folds the retries in a capture into the requests that they repeat, and returns these requests and how clients retry and cancel.
// Records must be in order of time.
//
// A captured request is a retry of an earlier one if both have the same volume, request class, object, units and shard, and the earlier one
// ended without success before this one was received, but its timeout is not over. The later one must also be marked as a retry or name an
// object, since nothing else shows that two requests without an object are the same. A marked retry without a first request (the capture
// began later, or lost it) counts as a request of its own.
func FoldRetries(records []*pb.Captured) ([]Request, *pb.CapacityModel_ClientModel) {
	f := folder{unfinished: map[identity]unfinished{}}
	for _, record := range records {
		if captured := record.GetCommand(); captured != nil {
			f.add(time.Duration(record.At), captured)
		}
	}
	return f.load, f.clients()
}

// identity holds the properties that a request and its retries have in common.
type identity struct {
	volume, class string
	object        uint64
	units         float64
	shard         int64
}

// unfinished is a request that has not succeeded: a later one of the same identity may be its retry.
type unfinished struct {
	index    int           // in folder.load
	deadline time.Duration // after which the client doesn't retry
	ended    time.Duration // when the client received the last failure
}

type folder struct {
	load                       []Request
	begin                      time.Duration // arrival of the first request of the capture
	unfinished                 map[identity]unfinished
	failed, retries, cancelled int
	backoffs                   []time.Duration // times from a failure to its retry
}

func (f *folder) add(now time.Duration, captured *pb.CapturedCommand) {
	if len(f.load) == 0 {
		f.begin = now
	}
	id := identity{captured.Volume, captured.QueueType, captured.Object, captured.Units, captured.Cell}
	previous, known := f.unfinished[id]
	sameRequest := captured.Repeat || captured.Object != 0
	if known && sameRequest && now >= previous.ended && now < previous.deadline {
		f.addRetry(id, previous, now, captured)
		return
	}
	f.addFirst(id, now, captured)
}

func (f *folder) addRetry(id identity, previous unfinished, now time.Duration, captured *pb.CapturedCommand) {
	f.load[previous.index].Attempts++
	f.retries++
	f.backoffs = append(f.backoffs, now-previous.ended)
	if captured.Final == pb.CapturedCommand_COMPLETED {
		delete(f.unfinished, id)
		return
	}
	f.failed++
	previous.ended = now + time.Duration(captured.Took)
	f.unfinished[id] = previous
}

func (f *folder) addFirst(id identity, now time.Duration, captured *pb.CapturedCommand) {
	r := Request{Arrival: now - f.begin, Gateway: captured.Host, Volume: captured.Volume, Plan: captured.Plan, Class: captured.QueueType,
		Units: captured.Units, Shard: int(captured.Cell), Object: captured.Object, Timeout: time.Duration(captured.Timeout), BodyBytes: int(captured.Body), Attempts: 1}
	switch captured.Final {
	case pb.CapturedCommand_BUSY_REPLIED, pb.CapturedCommand_ABORTED:
		f.failed++
	case pb.CapturedCommand_LEFT:
		// The client may retry at another gateway after it lost the connection. That retry is folded, but the cancellation doesn't count
		// as a failure in the share of failures that clients retry.
		r.CancelAfter = time.Duration(captured.Took)
		f.cancelled++
	default:
		f.load = append(f.load, r)
		delete(f.unfinished, id)
		return
	}
	f.load = append(f.load, r)
	f.unfinished[id] = unfinished{index: len(f.load) - 1, deadline: now + r.Timeout, ended: now + time.Duration(captured.Took)}
}

// clients returns how clients retry and cancel.
func (f *folder) clients() *pb.CapacityModel_ClientModel {
	c := &pb.CapacityModel_ClientModel{Folded: uint32(f.retries), Firsts: uint32(len(f.load))}
	if f.failed > 0 {
		c.Repeats = min(1, float64(f.retries)/float64(f.failed))
	}
	if len(f.backoffs) > 0 {
		slices.Sort(f.backoffs)
		c.Wait = f.backoffs[len(f.backoffs)/2].Seconds()
	}
	if len(f.load) > 0 {
		c.Leaves = float64(f.cancelled) / float64(len(f.load))
	}
	return c
}
