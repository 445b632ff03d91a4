package lifecycle

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// A process that was started by a scenario must not be left over: it ends at SIGTERM, and when whoever started it is gone,
// which shows as the end of its standard input. Stopping more than once is harmless.
func TestContext(t *testing.T) {
	in, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	original := os.Stdin
	os.Stdin = in
	defer func() { os.Stdin = original }()
	for _, cause := range []struct {
		name string
		end  func() error
	}{
		{"SIGTERM", func() error { return syscall.Kill(os.Getpid(), syscall.SIGTERM) }},
		{"end of standard input", out.Close}, // last: it stays closed
	} {
		ctx, stop := Context(true)
		if ctx.Err() != nil {
			t.Fatalf("%s: done before", cause.name)
		}
		if err := cause.end(); err != nil {
			t.Fatal(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
			t.Errorf("%s: not done", cause.name)
		}
		stop()
		stop()
	}
}
