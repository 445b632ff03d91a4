package server

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"weirhaven/internal/pb"
)

// Place gives a gateway the shard of a new object or extent. It is persisted before it is given: a placement that was used must survive
// a restart. It fails with Unavailable where none can be given now, and with PermissionDenied where the certificate is another
// gateway's.
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
