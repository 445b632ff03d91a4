package storagenode

import (
	"math"
	"slices"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// job is one attempt of a request, a health check, or deferred work.
type job struct {
	connection      *connection // nil: deferred work
	id              uint64      // message id on the connection
	request         uint64      // number of the request, from its client; 0: none
	attempt         uint32      // number of the attempt, from 0
	volume          string
	class           string
	object          string
	idempotencyKey  string
	units           float64
	work            float64 // seconds of a worker of speed 1
	deadline        time.Time
	declaredTimeout time.Duration // time to the deadline, as the gateway sent it
	body            []byte
	healthCheck     bool
	canceled        bool
}

// receive queues an attempt, or answers it at once if it fails, is rejected or needs no work.
func (n *Node) receive(j *job) {
	n.mu.Lock()
	defer n.mu.Unlock()
	j.connection.unanswered[j.id] = j
	j.work = n.drawWork(j.units)
	n.applyCache(j)
	n.record(j, &pb.Seen{What: pb.Seen_REACHED, Brick: n.config.Name, Cell: int32(n.config.Shard), Zone: n.config.Zone,
		Command: j.request, Dispatch: j.attempt, Volume: j.volume, Units: j.units, Work: j.work, Connection: j.connection.number, Tag: j.idempotencyKey, Timeout: int64(j.declaredTimeout)})
	n.checkOverload(j.work)
	if n.collapsed {
		return
	}
	switch {
	case n.drawFailure():
		n.respond(j, lineproto.VerbFailed, nil)
	case n.draining || len(n.queue) >= int(n.config.Kind.Queue):
		n.respond(j, lineproto.VerbRejected, nil)
	case j.work == 0:
		n.finish(j)
	default:
		n.queue = append(n.queue, j)
		n.wakeWorker()
	}
}

// drawWork returns the work of an attempt in seconds of a worker of speed 1.
func (n *Node) drawWork(units float64) float64 {
	kind := n.config.Kind
	work := units * settings.Duration(kind.UnitWork, 0).Seconds()
	if kind.Vary > 0 {
		sigma := math.Sqrt(math.Log(1 + kind.Vary*kind.Vary))
		work *= math.Exp(sigma*n.random.NormFloat64() - sigma*sigma/2)
	}
	if n.conditions.CostlyShare > 0 && n.random.Float64() < n.conditions.CostlyShare {
		work *= n.conditions.CostlyMultiple
	}
	return work
}

// applyCache lowers the work of a first attempt if its object is in the cache; otherwise it adds the object to the cache.
func (n *Node) applyCache(j *job) {
	kind := n.config.Kind
	if j.attempt != 0 || j.object == "" {
		return
	}
	if slices.Contains(n.recentObjects, j.object) {
		j.work *= 1 - kind.RememberedSaves
		return
	}
	if kind.Remembers == 0 {
		return
	}
	n.recentObjects = append(n.recentObjects, j.object)
	if len(n.recentObjects) > int(kind.Remembers) {
		n.recentObjects = n.recentObjects[1:]
	}
}

// drawFailure draws whether an attempt fails at once.
func (n *Node) drawFailure() bool {
	if share := n.conditions.ErrorShare; share > 0 && n.random.Float64() < share {
		return true
	}
	share := n.config.Kind.Errors
	return share > 0 && n.random.Float64() < share
}

// cancel cancels an attempt of a connection, as far as this kind of node supports it. The caller holds mu.
func (n *Node) cancel(from *connection, id uint64) {
	if j := from.unanswered[id]; j != nil { // also true for a complete attempt whose response was lost
		delete(from.unanswered, id)
		n.record(j, &pb.Seen{What: pb.Seen_CALLED_OFF, Brick: n.config.Name, Connection: from.number, Command: j.request, Dispatch: j.attempt})
	}
	if n.config.Kind.Cancel == pb.BrickKind_IGNORED {
		return
	}
	n.queue = slices.DeleteFunc(n.queue, func(j *job) bool { return j.connection == from && j.id == id })
	if j := n.current; j != nil && j.connection == from && j.id == id && n.config.Kind.Cancel == pb.BrickKind_STOPS {
		j.canceled = true
	}
}
