package httpgateway

import (
	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/config"
	"weirhaven/internal/httpgateway/membudget"
	"weirhaven/internal/httpgateway/upstream"
)

// Shares of the platform's limits.
const (
	reservedDescriptors    = 24   // descriptors for the listener, the watch, files and the Go runtime
	clientConnectionShare  = 0.55 // fraction of the other descriptors; endpoint connections get the remainder
	responseMemoryDivisor  = 6    // 1/6 of the memory is for responses that are read or not yet written to clients
	requestMemoryDivisor   = 12   // 1/12 of the memory is for the heads and bodies of requests
	readAheadMemoryDivisor = 32   // 1/32 of the memory is for buffered pipelined requests
	idMemoryDivisor        = 32   // 1/32 of the memory is for the ids of requests that have ended
	volumeMemoryDivisor    = 32   // 1/32 of the memory is for the state of volumes
	// connectionMemoryDivisor: 1/6 of the memory is for the client connections themselves.
	connectionMemoryDivisor = 6
	// connectionMemory is what a client connection holds without a request: its goroutine's stack, its state and its first buffer,
	// in bytes.
	connectionMemory = 12 << 10
)

// shares holds the parts of the process's limits for the client side and the endpoint side. Their sum is within the limits.
type shares struct {
	clientConnections   int
	upstreamConnections int
	responses           *membudget.Budget
	requests            *membudget.Budget
	readAhead           *membudget.Budget
	idMemory            int64 // bytes
	volumes             int   // number of volumes whose state is kept
}

func divideLimits(limits config.Limits) shares {
	usable := limits.Sockets - reservedDescriptors
	clients := int(float64(usable) * clientConnectionShare)
	memory := int64(limits.MemoryMB) << 20
	return shares{
		clientConnections:   min(clients, int(memory/connectionMemoryDivisor/connectionMemory)),
		upstreamConnections: usable - clients,
		responses:           membudget.New(max(memory/responseMemoryDivisor, upstream.MinResponseMemory)),
		requests:            membudget.New(memory / requestMemoryDivisor),
		readAhead:           membudget.New(memory / readAheadMemoryDivisor),
		idMemory:            memory / idMemoryDivisor,
		volumes:             int(memory / volumeMemoryDivisor / engine.VolumeMemory),
	}
}
