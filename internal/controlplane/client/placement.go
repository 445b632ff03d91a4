package client

import (
	"context"
	"errors"
	"fmt"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

var (
	// ErrNoController is returned where a placement is requested while no controller is followed.
	ErrNoController = errors.New("no controller is followed; new objects can't be placed")
	// ErrStopped is returned where a placement comes after Run has ended.
	ErrStopped = errors.New("the gateway is stopping")
)

// Place asks the controller followed for the shard of a new object or extent, outside avoidZone if it can be; "": any zone. It is
// persisted before it is returned, so that a controller that lost its disk learns of it. The error wraps ErrNoController,
// ErrStopped or snapshot.ErrNotFollowed, or is that of the call or of the store; the same name may be asked for again.
func (f *Follower) Place(ctx context.Context, volume, name, avoidZone string) (shard uint32, err error) {
	f.mu.Lock()
	followed, term := f.followed, f.snapshot.Term()
	f.mu.Unlock()
	if followed == nil {
		return 0, ErrNoController
	}
	request := &pb.PlaceAsk{Edge: f.config.Gateway, Volume: volume, Name: name, ButZone: avoidZone}
	given, err := pb.NewPlanningClient(followed.conn).Place(ctx, request)
	if err != nil {
		return 0, err
	}
	if snapshot.CompareTerms(given.Tenure, term) < 0 {
		return 0, fmt.Errorf("placement by %q of term %d: %w, term %d is", given.Tenure.GetPlanner(), given.Tenure.GetTerm(), snapshot.ErrNotFollowed, term.GetTerm())
	}
	placement := &pb.Item{Kind: pb.Item_PLACE, Name: volume + "/" + name, Generation: given.Generation, Term: given.Tenure.GetTerm(),
		Place: &pb.PlanPlace{Volume: volume, Cell: given.Cell, Edge: f.config.Gateway}}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store == nil {
		return 0, ErrStopped
	}
	if err := f.persist([]*pb.Item{placement}); err != nil {
		return 0, fmt.Errorf("placement not used, it can't be persisted: %w", err)
	}
	f.snapshot.AddPlacement(placement)
	return given.Cell, nil
}
