package settings

import (
	"time"

	"weirhaven/internal/pb"
)

// Limits are a gateway's resource limits and timeouts with the defaults applied.
type Limits struct {
	RequestsPerConnection int           // maximum requests in flight on one client connection
	Connections           int           // maximum client connections
	LoopQueue             int           // maximum events queued for the engine's loop
	EndpointQueue         int           // maximum attempts and health checks in flight on one endpoint connection
	MaxBody               int           // maximum size of a message's body in bytes
	IdleTimeout           time.Duration // idle time after which a connection is closed
	StallTimeout          time.Duration // maximum time to receive a message that has begun, or to complete a write
	ConnectTimeout        time.Duration // maximum time to connect, and to receive a greeting
	HealthCheckTimeout    time.Duration // timeout of a health check
}

// LimitsOf returns the limits with the defaults applied; b may be nil.
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

// count returns n, or the default if n is 0.
func count(n uint32, defaultValue int) int {
	if n > 0 {
		return int(n)
	}
	return defaultValue
}
