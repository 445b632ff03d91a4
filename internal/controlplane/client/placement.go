package client

import (
	"context"
	"errors"
	"fmt"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

var (
	// ErrNoController is returned if a placement is requested while no controller is followed.
	ErrNoController = errors.New("no controller is followed; new objects can't be placed")
	// ErrStopped is returned if a placement arrives after Run has ended.
	ErrStopped = errors.New("the gateway is stopping")
)

// Place requests the shard for a new object or extent from the followed controller, preferably outside avoidZone; "" allows any
// zone. The placement is persisted before Place returns it, so that a controller that lost its disk learns it from the gateway's
// report. The error wraps ErrNoController, ErrStopped, snapshot.ErrNotFollowed or the error of the call or of the store. After an
// error, the same name may be requested again.
func (f *Follower) Place(ctx context.Context, volume, name, avoidZone string) (shard uint32, err error) {
	f.mu.Lock()
	followed, term := f.followed, f.snapshot.Term()
	f.mu.Unlock()
	if followed == nil {
		return 0, ErrNoController
	}
	request := &pb.PlaceAsk{Edge: f.config.Gateway, Volume: volume, Name: name, ButZone: avoidZone}
	reply, err := pb.NewPlanningClient(followed.conn).Place(ctx, request)
	if err != nil {
		return 0, err
	}
	if snapshot.CompareTerms(reply.Tenure, term) < 0 {
		return 0, fmt.Errorf("placement by %q of term %d: %w; the gateway follows term %d", reply.Tenure.GetPlanner(), reply.Tenure.GetTerm(), snapshot.ErrNotFollowed, term.GetTerm())
	}
	placement := &pb.Item{Kind: pb.Item_PLACE, Name: volume + "/" + name, Generation: reply.Generation, Term: reply.Tenure.GetTerm(),
		Place: &pb.PlanPlace{Volume: volume, Cell: reply.Cell, Edge: f.config.Gateway}}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store == nil {
		return 0, ErrStopped
	}
	if err := f.persist([]*pb.Item{placement}); err != nil {
		return 0, fmt.Errorf("placement not used, it cannot be persisted: %w", err)
	}
	f.snapshot.AddPlacement(placement)
	return reply.Cell, nil
}
