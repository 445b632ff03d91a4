// Package lifecycle decides how long a program runs: until a signal stops it, or until the process that started it is
// gone.
package lifecycle

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Context returns a context that is done at SIGTERM or SIGINT; with untilStdinEnds also once standard input ends, so that
// no process outlives the one that holds the other end of its standard input. The caller must call the function returned
// when it needs the context no more; signals have their usual effect again then. Further calls of it do nothing.
func Context(untilStdinEnds bool) (context.Context, context.CancelFunc) {
	signaled, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	if !untilStdinEnds {
		return signaled, stopSignals
	}
	ctx, cancel := context.WithCancel(signaled)
	go func() { // ends with standard input, at the latest with the process: a read of it can't be interrupted
		_, _ = io.Copy(io.Discard, os.Stdin) // an error is an end, too
		cancel()
	}()
	return ctx, func() { cancel(); stopSignals() }
}
