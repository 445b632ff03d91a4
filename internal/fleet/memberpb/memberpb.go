// Package memberpb maps a member of the membership to its protobuf form, the same on the wire and on disk. The protobuf names and
// numbers stay as they are, so that gateways of different versions understand each other and read each other's files.
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

// Decode returns the member of a protobuf form as it is; nil gives the zero Member. It checks nothing.
func Decode(h *pb.Gossip_Host) membership.Member {
	return membership.Member{Name: h.GetName(), Ordinal: int(h.GetOrdinal()), Address: h.GetAddress(), Planned: int(h.GetPlanned()),
		Incarnation: h.GetIncarnation(), State: membership.State(h.GetState())}
}
