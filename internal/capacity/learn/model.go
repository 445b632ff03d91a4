// Package learn fits a model of the endpoints to the attempts that gateways captured. It has no I/O, clock or goroutine.
//
// An endpoint serves attempts in order of arrival. With the captures of all gateways, the start of service of each attempt is known: it is
// the later of the attempt's arrival and the end of the attempt before it on the first core to become free. This separates service time from
// queueing time. If no gateway saw the end of an attempt (timed out, cancelled, connection reset), the attempts queued behind it are left out,
// since their start of service is unknown.
package learn

import (
	"fmt"
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/policy"
)

// Version is the version of the model's format.
const Version = 1

const (
	minSamples  = 20 // least number of samples (of a request class, queued, idle, cache hits) for an estimate
	minOutliers = 8  // least number of outliers for an estimate of deferred work or pauses
	// maxAttempts is the number of attempts evaluated for each endpoint, the last ones of the capture. They determine the estimates to within
	// one percent.
	maxAttempts = 8000
)

// attempt is an attempt sent to an endpoint, as its gateway captured it.
type attempt struct {
	start, end time.Duration
	class      int // index
	units      float64
	object     uint64
	first      bool // whether it is its request's first attempt: a cache keeps the objects of these only
	outcome    policy.Outcome
}

// Model fits a model to the records of a capture. Endpoints that the fleet does not name count as endpoints of its first kind. It fails if a
// request has a class that the fleet does not describe, and if no kind has enough served attempts.
func Model(records []*pb.Captured, f *pb.CapacityFleet, client *pb.CapacityModel_ClientModel) (*pb.CapacityModel, error) {
	attempts, err := attemptsByEndpoint(records, f)
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
		return nil, fmt.Errorf("nothing to learn from: the capture has fewer than %d completed attempts to any kind of endpoint", minSamples)
	}
	return m, nil
}

// attemptsByEndpoint returns the last maxAttempts attempts of each endpoint, in the order of their requests.
func attemptsByEndpoint(records []*pb.Captured, f *pb.CapacityFleet) (map[string][]attempt, error) {
	classes := map[string]int{}
	for i, q := range f.QueueType {
		classes[q.Name] = i
	}
	attempts := map[string][]attempt{}
	for _, record := range records {
		request := record.GetCommand()
		if request == nil {
			continue
		}
		class, ok := classes[request.QueueType]
		if !ok {
			return nil, fmt.Errorf("the capture has requests of class %q, which the fleet does not describe", request.QueueType)
		}
		for n, d := range request.Dispatch {
			start := time.Duration(record.At + d.After)
			attempts[d.Brick] = append(attempts[d.Brick], attempt{start: start, end: start + time.Duration(d.Took), class: class,
				units: request.Units, object: request.Object, first: n == 0, outcome: policy.Outcome(d.How)})
		}
	}
	for name, all := range attempts {
		attempts[name] = all[max(len(all)-maxAttempts, 0):]
	}
	return attempts, nil
}

// namesByKind returns the sorted names of the endpoints of each kind.
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
