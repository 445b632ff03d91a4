// Package protocol holds the figures that the controller and the gateways must agree on when they exchange the messages of
// proto/plan.proto. It knows nothing of what the messages mean.
package protocol

const (
	// Version of the messages. Each side accepts one older and one newer: protobuf ignores fields that it doesn't know.
	Version = 2
	// RecordsPerMessage is the most records sent in one message, which keeps messages far below MaxMessageBytes.
	RecordsPerMessage = 512
	// MaxRecords is the most records that a controller or a gateway holds.
	MaxRecords = 400_000
	// MaxMessageBytes is the largest message received.
	MaxMessageBytes = 4 << 20
)
