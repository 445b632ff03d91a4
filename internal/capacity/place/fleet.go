package place

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// ErrNoEndpoint is returned if a resized fleet would have no endpoint.
var ErrNoEndpoint = errors.New("no endpoint would be left")

// ResizeFleet returns a copy of the fleet with n endpoints of the given kind. Additional endpoints take the zones of the present ones in turn,
// each with a shard of its own; the last endpoints are left out to shrink the fleet. It fails if the fleet has no endpoint of the kind, and
// with ErrNoEndpoint if no endpoint would be left.
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
		return nil, fmt.Errorf("the fleet has no endpoint of kind %q", kind)
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
