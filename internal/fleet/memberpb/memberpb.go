// Package memberpb converts members of the membership to and from protobuf. The form is the same on the wire and on disk, so the
// protobuf names and numbers must not change: gateways of different versions exchange messages and read each other's files.
package memberpb

import (
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
)

// Encode returns the protobuf form of a member.
func Encode(m membership.Member) *pb.Gossip_Host {
	return &pb.Gossip_Host{Name: m.Name, Ordinal: int64(m.Ordinal), Address: m.Address, Planned: int64(m.Planned),
		Incarnation: m.Incarnation, State: int32(m.State)}
}

// Decode returns the member that a protobuf form describes, without validation; nil gives the zero Member.
func Decode(h *pb.Gossip_Host) membership.Member {
	return membership.Member{Name: h.GetName(), Ordinal: int(h.GetOrdinal()), Address: h.GetAddress(), Planned: int(h.GetPlanned()),
		Incarnation: h.GetIncarnation(), State: membership.State(h.GetState())}
}
