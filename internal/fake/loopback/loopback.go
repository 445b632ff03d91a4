// Package loopback hands out addresses of the loopback range that no other run uses, so that a port stays a run's own while
// the process that listened there is away.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var runs atomic.Int64

// IP is an address for one run, by this process's id and the number of the run in it.
func IP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+runs.Add(1)%250)
}
