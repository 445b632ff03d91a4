// Package learn finds out how endpoints work from what gateways captured of their attempts. It has no I/O, clock or goroutine.
//
// An endpoint serves attempts in order of arrival. Where the captures of all gateways are there, it is known when each attempt was
// begun: when it arrived, or when what came before it ended (on the core that was free first), whichever is later. So its service
// time is separated from its queueing time. What follows an attempt whose end nobody saw (timed out, cancelled, connection reset)
// is left out: its begin is not known.
package learn

import (
	"fmt"
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/policy"
)

// Version of the model's form.
const Version = 1

const (
	minSamples  = 20 // of a queue type, of queued or idle begins, of cache hits: fewer give no estimate
	minOutliers = 8  // fewer say nothing of deferred work or pauses
	// maxAttempts bounds how many attempts to an endpoint are looked at, the last ones, however long the capture is. They are enough
	// to be sure to a percent.
	maxAttempts = 8000
)

// attempt is one to an endpoint, as a gateway captured it.
type attempt struct {
	start, end time.Duration
	queueType  int // index
	units      float64
	object     uint64
	first      bool // of its request: what a cache remembers
	outcome    policy.Outcome
}

// Model learns a model from a capture. Endpoints that the fleet does not name count as of its first kind. It fails where a request
// has a queue type that the fleet does not describe, and where no kind has enough served attempts.
func Model(lines []*pb.Captured, f *pb.CapacityFleet, client *pb.CapacityModel_ClientModel) (*pb.CapacityModel, error) {
	attempts, err := attemptsByEndpoint(lines, f)
	if err != nil {
		return nil, err
	}
	m := &pb.CapacityModel{Version: Version, Client: client}
	names := namesByKind(attempts, f)
	for _, kind := range f.Kind {
		if len(names[kind.Name]) == 0 {
			continue
		}
		learnt, speeds := learnKind(kind, names[kind.Name], attempts, f.QueueType)
		if learnt == nil {
			continue
		}
		m.Kind = append(m.Kind, learnt)
		m.Brick = append(m.Brick, speeds...)
	}
	if len(m.Kind) == 0 {
		return nil, fmt.Errorf("nothing to learn from: the capture has fewer than %d completed dispatches to any kind of brick", minSamples)
	}
	return m, nil
}

// attemptsByEndpoint returns the last attempts to each endpoint, in the order of their requests.
func attemptsByEndpoint(lines []*pb.Captured, f *pb.CapacityFleet) (map[string][]attempt, error) {
	queueTypes := map[string]int{}
	for i, q := range f.QueueType {
		queueTypes[q.Name] = i
	}
	attempts := map[string][]attempt{}
	for _, line := range lines {
		request := line.GetCommand()
		if request == nil {
			continue
		}
		queueType, ok := queueTypes[request.QueueType]
		if !ok {
			return nil, fmt.Errorf("the capture has commands of queue type %q, which the fleet does not describe", request.QueueType)
		}
		for n, d := range request.Dispatch {
			start := time.Duration(line.At + d.After)
			attempts[d.Brick] = append(attempts[d.Brick], attempt{start: start, end: start + time.Duration(d.Took), queueType: queueType,
				units: request.Units, object: request.Object, first: n == 0, outcome: policy.Outcome(d.How)})
		}
	}
	for name, all := range attempts {
		attempts[name] = all[max(len(all)-maxAttempts, 0):]
	}
	return attempts, nil
}

// namesByKind returns the names of the endpoints of each kind, in order.
func namesByKind(attempts map[string][]attempt, f *pb.CapacityFleet) map[string][]string {
	kinds := map[string]string{}
	for _, endpoint := range f.Brick {
		kinds[endpoint.Name] = endpoint.Kind
	}
	names := map[string][]string{}
	for name := range attempts {
		kind := kinds[name]
		if kind == "" {
			kind = f.Kind[0].Name
		}
		names[kind] = append(names[kind], name)
	}
	for _, n := range names {
		slices.Sort(n)
	}
	return names
}
