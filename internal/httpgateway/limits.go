package httpgateway

import "weirhaven/internal/httpgateway/config"

// Shares of the platform's limits.
const (
	reservedDescriptors    = 24   // descriptors for the listener, the watch, files and the Go runtime
	clientConnectionShare  = 0.55 // fraction of the other descriptors; endpoint connections get the remainder
	responseMemoryDivisor  = 6    // 1/6 of the memory is for response bodies that are not yet written to clients
	readAheadMemoryDivisor = 16   // 1/16 of the memory is for buffered pipelined requests
)

// shares holds the parts of the process's limits for the client side and the endpoint side. Their sum is within the limits.
type shares struct {
	clientConnections   int
	upstreamConnections int
	responseMemory      int64 // bytes
	readAheadMemory     int64 // bytes
}

func divideLimits(limits config.Limits) shares {
	usable := limits.Sockets - reservedDescriptors
	clients := int(float64(usable) * clientConnectionShare)
	memory := int64(limits.MemoryMB) << 20
	return shares{clientConnections: clients, upstreamConnections: usable - clients,
		responseMemory: memory / responseMemoryDivisor, readAheadMemory: memory / readAheadMemoryDivisor}
}
