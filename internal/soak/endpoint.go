package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"weirhaven/internal/fake/agent"
	"weirhaven/internal/fake/proxy"
	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/pb"
)

// endpoint is a fake storage node behind its proxy.
type endpoint struct {
	shard   int
	node    *storagenode.Node
	proxy   *proxy.Proxy
	entry   agent.Server
	retired bool // it is draining or removed from the list
}

// startEndpoints starts one endpoint for each shard.
func (r *run) startEndpoints() error {
	for shard := range shardCount {
		if err := r.startEndpoint(shard, false); err != nil {
			return err
		}
	}
	return nil
}

// startEndpoint starts the endpoint of a shard and publishes it. If warmingUp is set, the endpoint goes through slow start;
// otherwise it counts as warm.
func (r *run) startEndpoint(shard int, warmingUp bool) error {
	r.mu.Lock()
	r.serial++
	id := fmt.Sprintf("s-%d", r.serial)
	seed := r.options.Seed*1000 + int64(r.serial)
	r.mu.Unlock()
	node, err := storagenode.Start(storagenode.Config{Name: id, Zone: "a", Address: "127.0.0.1:0", Shard: shard, Kind: nodeKind, Speed: 1, Seed: seed, SlowStart: warmingUp,
		CollapseMultiple: collapseMultiple, CollapseAfter: collapseAfter, IdempotencyWindow: idempotencyWindow, WriteClasses: writeClasses(), Recorder: r.recorder, ReportOtherGateways: true, AttemptOf: r.nextAttempt})
	if err != nil {
		return err
	}
	relay, err := proxy.Start(node.Address())
	if err != nil {
		node.Stop()
		return err
	}
	started := &endpoint{shard: shard, node: node, proxy: relay, entry: agent.Server{ID: id, Address: relay.Address(), Zone: "a", Shard: shard, Phase: agent.InService, Size: 1}}
	if warmingUp {
		started.entry.UpSince = node.Started().UnixMilli()
	}
	r.mu.Lock()
	r.allEndpoints = append(r.allEndpoints, started)
	if shard < len(r.endpoints) {
		r.endpoints[shard] = started
	} else {
		r.endpoints = append(r.endpoints, started)
	}
	r.mu.Unlock()
	r.publish(started)
	return nil
}

// currentEndpoints returns the endpoints in service, one for each shard.
func (r *run) currentEndpoints() []*endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.endpoints)
}

// replace starts another endpoint of the shard and drains the old one, which is removed from the list after notifyWithin.
func (r *run) replace(ctx context.Context, old *endpoint) {
	r.mu.Lock()
	alreadyRetired := old.retired
	old.retired = true
	r.mu.Unlock()
	if alreadyRetired {
		return
	}
	if err := r.startEndpoint(old.shard, true); err != nil {
		return
	}
	old.entry.Phase = agent.Terminating
	r.publish(old)
	wait(ctx, notifyWithin)
	old.entry.Phase = agent.Terminated
	r.publish(old)
}

// publish sets the endpoint's entry in discovery. Each process counts as notified after notifyWithin at the latest.
func (r *run) publish(e *endpoint) {
	r.discovery.Set(e.entry)
	for _, p := range r.processes {
		p.expectNotified(e.entry)
	}
}

// recordEntry records that a process was notified of an endpoint's entry.
func (r *run) recordEntry(p *process, entry agent.Server) {
	state, age := "serving", int64(-1)
	if entry.Phase != agent.InService {
		state = "draining"
	}
	if entry.UpSince > 0 {
		age = int64(time.Since(time.UnixMilli(entry.UpSince)))
	}
	r.recorder.See(&pb.Seen{What: pb.Seen_LISTED, Host: uint32(p.number), Incarnation: p.incarnation.Load(), Brick: entry.ID, How: state, Started: age, Cell: int32(entry.Shard)})
}
