package lifecycle

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// It ends at SIGTERM, and can be stopped more than once.
func TestContext(t *testing.T) {
	in, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	was := os.Stdin
	os.Stdin = in
	defer func() { os.Stdin = was }()
	for _, end := range []func(){func() { syscall.Kill(os.Getpid(), syscall.SIGTERM) }, func() { out.Close() }} {
		ctx, stop := Context(true)
		if ctx.Err() != nil {
			t.Fatal("over before it began")
		}
		end()
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
			t.Error("it goes on")
		}
		stop()
		stop()
	}
}
