package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/store"
)

// saveInterval is the time between two saves. A save without changes writes nothing.
const saveInterval = time.Second

// persister saves the loop's beliefs about the fleet to disk. If the disk is full, read-only or slow, the next start lacks these
// beliefs, but this gateway continues to serve.
type persister struct {
	gateway *Gateway
	store   *store.Store // nil: nothing is saved
	failing bool         // the last save failed
}

// open opens the store and restores its contents. It returns an error, which prevents the start, only if another gateway has the
// store open, or if the store was opened but its contents can't be read.
func (p *persister) open(core *engine.Core) error {
	file, log := p.gateway.conf.Store, p.gateway.log
	if file == "" {
		return nil
	}
	s, aside, err := store.Open(file, p.gateway.conf.Name)
	if errors.Is(err, store.ErrLocked) {
		return err
	}
	if err != nil {
		log.Warn("store unusable, nothing is saved; a restart without the endpoint list service will know no endpoints", "err", err)
		return nil
	}
	if aside != "" {
		log.Warn("store unreadable and set aside; starting without it", "aside", aside)
	}
	p.store = s
	if err := p.restore(core); err != nil {
		return fmt.Errorf("store %s: %w", file, err)
	}
	return nil
}

func (p *persister) restore(core *engine.Core) error {
	beliefs, last, err := p.store.Load()
	if err != nil {
		return err
	}
	core.Restore(beliefs, last)
	members, err := p.store.Members()
	if err != nil {
		return err
	}
	if group := core.Membership(); group != nil {
		group.Restore(members, core.Now())
	}
	p.gateway.log.Info("restored beliefs", "endpoints", len(beliefs), "members", len(members), "list", last.Number,
		"oldest", oldestAge(beliefs, core.Now()).Round(time.Second))
	return nil
}

func oldestAge(beliefs []endpointstate.Belief, now time.Duration) (oldest time.Duration) {
	for _, b := range beliefs {
		oldest = max(oldest, now-b.ObservedAt)
	}
	return oldest
}

// run saves periodically until ctx ends, then saves once more and closes the store. The loop must not end before run returns.
func (p *persister) run(ctx context.Context) {
	if p.store == nil {
		return
	}
	defer func() { _ = p.store.Close() }() // every save is already durable
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.save()
		case <-ctx.Done():
			p.save()
			return
		}
	}
}

// save writes the changes. Of consecutive failures it logs the first, and then the first success.
func (p *persister) save() {
	view, ok := p.gateway.fleetView()
	if !ok {
		return
	}
	p.gateway.controlPlane.reportDrains(view.beliefs)
	_, err := p.store.Save(view.beliefs, view.generation)
	err = errors.Join(err, p.store.SaveMembers(view.members))
	if (err != nil) == p.failing {
		return
	}
	p.failing = err != nil
	if p.failing {
		p.gateway.log.Warn("saving the store fails, will retry", "err", err)
	} else {
		p.gateway.log.Info("saving the store works again")
	}
}
