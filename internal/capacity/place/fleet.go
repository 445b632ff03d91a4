package place

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// ErrNoEndpoint is returned where a resized fleet would have no endpoint at all.
var ErrNoEndpoint = errors.New("no brick would be left")

// ResizeFleet returns a copy of the fleet with n endpoints of a kind. More are copies of those there, in their zones by turns, each
// with a shard of its own; fewer leave out the last. It fails for a kind of which the fleet has no endpoint, and with
// ErrNoEndpoint.
func ResizeFleet(f *pb.CapacityFleet, kind string, n int) (*pb.CapacityFleet, error) {
	var present []*pb.Server
	lastShard := uint32(0)
	for _, endpoint := range f.Brick {
		lastShard = max(lastShard, endpoint.Cell)
		if endpoint.Kind == kind {
			present = append(present, endpoint)
		}
	}
	if len(present) == 0 {
		return nil, fmt.Errorf("the fleet has no brick of kind %q", kind)
	}
	resized := proto.Clone(f).(*pb.CapacityFleet)
	if n < len(present) {
		removeEndpoints(resized, present[n:])
	}
	if len(resized.Brick) == 0 {
		return nil, ErrNoEndpoint
	}
	for i := len(present); i < n; i++ {
		lastShard++
		resized.Brick = append(resized.Brick, &pb.Server{Name: fmt.Sprintf("more-%s-%d", kind, i), Kind: kind, Zone: present[i%len(present)].Zone, Cell: lastShard})
	}
	return resized, nil
}

func removeEndpoints(f *pb.CapacityFleet, removed []*pb.Server) {
	f.Brick = slices.DeleteFunc(f.Brick, func(endpoint *pb.Server) bool {
		return slices.ContainsFunc(removed, func(r *pb.Server) bool { return r.Name == endpoint.Name })
	})
}
