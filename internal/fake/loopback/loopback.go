// Package loopback assigns each run its own address in 127.0.0.0/8, so that no other run takes a port while the process that
// listened on it restarts.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var runs atomic.Int64

// IP returns the address of a new run, derived from the process id and a counter of the runs in this process.
func IP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+runs.Add(1)%250)
}
