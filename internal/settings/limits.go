package settings

import (
	"time"

	"weirhaven/internal/pb"
)

// Limits are a gateway's bounds with the defaults filled in.
type Limits struct {
	RequestsPerConnection int           // requests in flight on one client connection
	Connections           int           // client connections
	LoopQueue             int           // events queued for the engine's loop
	EndpointQueue         int           // attempts and health checks in flight on one endpoint connection
	MaxBody               int           // bytes of a message's body
	IdleTimeout           time.Duration // silence that ends a connection
	StallTimeout          time.Duration // time that a message begun, or a write, may take
	ConnectTimeout        time.Duration // time that connecting, and a greeting, may take
	HealthCheckTimeout    time.Duration // timeout of a health check
}

// LimitsOf fills in the defaults; b may be nil.
func LimitsOf(b *pb.Bounds) Limits {
	if b == nil {
		b = &pb.Bounds{}
	}
	return Limits{
		RequestsPerConnection: count(b.CommandsAConnection, 1024),
		Connections:           count(b.Connections, 1024),
		LoopQueue:             count(b.LoopQueue, 8192),
		EndpointQueue:         count(b.BrickQueue, 1024),
		MaxBody:               count(b.Body, 1<<20),
		IdleTimeout:           Duration(b.Idle, 30*time.Second),
		StallTimeout:          Duration(b.Stall, 5*time.Second),
		ConnectTimeout:        Duration(b.Connect, 250*time.Millisecond),
		HealthCheckTimeout:    Duration(b.Probe, 250*time.Millisecond),
	}
}

// count returns n, or the default if it is 0.
func count(n uint32, defaultValue int) int {
	if n > 0 {
		return int(n)
	}
	return defaultValue
}
