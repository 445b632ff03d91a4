package gateway

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/memberpb"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
)

// Bounds on the values in messages from other gateways. Datagrams can be forged, so values past the bounds are dropped.
const (
	maxNameLength = 64
	maxOrdinal    = 1<<16 - 1
	maxPlanned    = 1<<16 - 1
)

// encodeMembership returns the body of a GOSSIP message, or nil if it can't be encoded.
func encodeMembership(m membership.Message) []byte {
	g := &pb.Gossip{Kind: int32(m.Kind), Seq: m.Seq, From: memberpb.Encode(m.From), About: m.Target, Total: int64(m.Total), Sums: m.Checksums}
	for _, update := range m.Updates {
		g.News = append(g.News, memberpb.Encode(update))
	}
	body, err := proto.Marshal(g)
	if err != nil {
		return nil
	}
	return body
}

// decodeMembership parses the body of a GOSSIP message; false: it is invalid. Invalid updates are left out.
func decodeMembership(body []byte) (m membership.Message, ok bool) {
	g := &pb.Gossip{}
	if proto.Unmarshal(body, g) != nil || g.Kind < int32(membership.Ping) || g.Kind > int32(membership.Sync) {
		return m, false
	}
	m = membership.Message{Kind: membership.Kind(g.Kind), Seq: g.Seq, Target: g.About, Total: int(g.Total), Checksums: g.Sums}
	if m.From = memberpb.Decode(g.From); !isPlausible(m.From) {
		return m, false
	}
	for _, n := range g.News {
		if update := memberpb.Decode(n); isPlausible(update) {
			m.Updates = append(m.Updates, update)
		}
	}
	return m, true
}

// isPlausible reports whether a member's values are within the bounds.
func isPlausible(m membership.Member) bool {
	_, err := netip.ParseAddrPort(m.Address)
	return err == nil && m.Name != "" && len(m.Name) <= maxNameLength && m.Ordinal >= 0 && m.Ordinal <= maxOrdinal &&
		m.Planned >= 0 && m.Planned <= maxPlanned && m.State >= membership.Alive && m.State <= membership.Departed
}

// startUnknown is the encoded uptime of an endpoint whose start time is unknown.
const startUnknown = -1

// encodeReports returns the body of a LINES message, or nil if it can't be encoded. Times are encoded as ages, so that gateways need
// no common clock and a report keeps its age however often it is forwarded.
func encodeReports(reports []endpointstate.Report, now time.Duration) []byte {
	m := &pb.Lines{}
	for _, r := range reports {
		encoded := &pb.Lines_Line{Name: r.Name, Address: r.Address, Zone: r.Zone, Cell: int64(r.Shard), Serving: r.Serving, Gone: r.Removed,
			Up: startUnknown, Age: int64(now - r.ObservedAt)}
		if r.Started != 0 {
			encoded.Up = int64(now - r.Started)
		}
		m.Line = append(m.Line, encoded)
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return body
}

// decodeReports converts the reports of another gateway to this gateway's clock. Invalid reports are left out.
func decodeReports(body []byte, now time.Duration) (reports []endpointstate.Report) {
	m := &pb.Lines{}
	if proto.Unmarshal(body, m) != nil {
		return nil
	}
	for _, encoded := range m.Line {
		_, err := netip.ParseAddrPort(encoded.Address)
		if err != nil || encoded.Name == "" || len(encoded.Name) > maxNameLength || encoded.Cell < 0 || encoded.Cell > maxShard || encoded.Age < 0 {
			continue
		}
		r := endpointstate.Report{Name: encoded.Name, Address: encoded.Address, Zone: encoded.Zone, Shard: int(encoded.Cell),
			Serving: encoded.Serving && !encoded.Gone, Removed: encoded.Gone, ObservedAt: max(now-time.Duration(encoded.Age), 1)} // 0 means unknown
		if encoded.Up >= 0 {
			r.Started = max(now-time.Duration(encoded.Up), 1)
		}
		reports = append(reports, r)
	}
	return reports
}
