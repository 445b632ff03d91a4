package settings

import (
	"time"

	"weirhaven/internal/pb"
)

// Limits are a gateway's bounds with the defaults filled in.
type Limits struct {
	Commands    int           // requests in flight on one client connection
	Connections int           // client connections
	LoopQueue   int           // events queued for the engine's loop
	BrickQueue  int           // attempts and health checks in flight on one endpoint connection
	Body        int           // bytes of a message's body
	Idle        time.Duration // silence that ends a connection
	Stall       time.Duration // time that a message begun, or a write, may take
	Connect     time.Duration // time that connecting, and a greeting, may take
	Probe       time.Duration // timeout of a health check
}

// Bounds fills in the defaults; b may be nil.
func Bounds(b *pb.Bounds) Limits {
	if b == nil {
		b = &pb.Bounds{}
	}
	return Limits{
		Commands:    count(b.CommandsAConnection, 1024),
		Connections: count(b.Connections, 1024),
		LoopQueue:   count(b.LoopQueue, 8192),
		BrickQueue:  count(b.BrickQueue, 1024),
		Body:        count(b.Body, 1<<20),
		Idle:        Duration(b.Idle, 30*time.Second),
		Stall:       Duration(b.Stall, 5*time.Second),
		Connect:     Duration(b.Connect, 250*time.Millisecond),
		Probe:       Duration(b.Probe, 250*time.Millisecond),
	}
}

// count returns n, or the default if it is 0.
func count(n uint32, defaultValue int) int {
	if n > 0 {
		return int(n)
	}
	return defaultValue
}
