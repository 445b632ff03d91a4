package server

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"weirhaven/internal/pb"
)

// Place returns the shard for a new object or extent to a gateway. The placement is persisted before it is returned, since a
// placement that is in use must survive a restart. Place fails with Unavailable if no placement is possible now, and with
// PermissionDenied if the certificate belongs to another gateway.
func (c *Controller) Place(ctx context.Context, request *pb.PlaceAsk) (*pb.PlaceGiven, error) {
	if err := checkPeerName(ctx, request.Edge); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	placement, err := c.state.Place(request, now())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &pb.PlaceGiven{Tenure: c.state.Term(), Cell: placement.Place.Cell, Generation: placement.Generation}, nil
}
