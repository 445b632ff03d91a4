package httpgateway

import "weirhaven/internal/httpgateway/config"

// Shares of the platform's limits.
const (
	reservedDescriptors    = 24   // for the listener, the watch, files and the Go runtime
	clientConnectionShare  = 0.55 // of the other descriptors; connections to endpoints get what is left
	responseMemoryDivisor  = 6    // 1/6 of the memory is for bodies of responses on their way to clients
	readAheadMemoryDivisor = 16   // 1/16 of the memory is for pipelined requests before their turn
)

// shares are the parts of the process's limits that each side may use. Together they stay within the limits whatever
// clients and endpoints do.
type shares struct {
	clientConnections   int
	upstreamConnections int
	responseMemory      int64 // bytes
	readAheadMemory     int64 // bytes
}

func divide(limits config.Limits) shares {
	usable := limits.Sockets - reservedDescriptors
	clients := int(float64(usable) * clientConnectionShare)
	memory := int64(limits.MemoryMB) << 20
	return shares{clientConnections: clients, upstreamConnections: usable - clients,
		responseMemory: memory / responseMemoryDivisor, readAheadMemory: memory / readAheadMemoryDivisor}
}
