// Package protocol defines the protocol version and the limits that the controller and the gateways share when they exchange the
// messages of proto/plan.proto.
package protocol

const (
	// Version is the protocol version. Each side accepts the previous and the next version, since protobuf ignores unknown fields.
	Version = 2
	// RecordsPerMessage is the maximum number of records sent in one message. It keeps messages far below MaxMessageBytes.
	RecordsPerMessage = 512
	// MaxRecords is the maximum number of records that a controller or a gateway holds.
	MaxRecords = 400_000
	// MaxMessageBytes is the maximum size of a received message.
	MaxMessageBytes = 4 << 20
)
