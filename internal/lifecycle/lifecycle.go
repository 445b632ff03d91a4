// Package lifecycle is how long a program lives: until it is told to stop, or until whoever started it is gone.
package lifecycle

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Context ends at SIGTERM or SIGINT; bound: also when standard input does, so that no process is left over by whoever started it.
func Context(bound bool) (context.Context, context.CancelFunc) {
	told, unhook := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	if !bound {
		return told, unhook
	}
	ctx, abandon := context.WithCancel(told)
	go func() { // ends with the process
		io.Copy(io.Discard, os.Stdin)
		abandon()
	}()
	return ctx, func() { abandon(); unhook() }
}
