// Package lifecycle ends a program when it receives a termination signal or when the process that started it ends.
package lifecycle

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Context returns a context that is done at SIGTERM or SIGINT and, with untilStdinEnds, when standard input ends, so that
// the process does not outlive the one at the other end of its standard input. The caller must call the returned function
// when it no longer needs the context; this restores the default effect of the signals. Further calls do nothing.
func Context(untilStdinEnds bool) (context.Context, context.CancelFunc) {
	signaled, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	if !untilStdinEnds {
		return signaled, stopSignals
	}
	ctx, cancel := context.WithCancel(signaled)
	go func() { // ends when standard input or the process ends; a blocked read of standard input can't be interrupted
		_, _ = io.Copy(io.Discard, os.Stdin) // an error also counts as the end
		cancel()
	}()
	return ctx, func() { cancel(); stopSignals() }
}
