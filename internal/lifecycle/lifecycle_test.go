package lifecycle

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against processes that outlive the scenario that started them: the context must be done at SIGTERM and at the end of
// standard input, which signals that the parent process has ended. Calling the stop function twice must be harmless.
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
		{"end of standard input", out.Close}, // last, since the pipe can't be reopened
	} {
		ctx, stop := Context(true)
		if ctx.Err() != nil {
			t.Fatalf("%s: context done before the event", cause.name)
		}
		if err := cause.end(); err != nil {
			t.Fatal(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
			t.Errorf("%s: context not done after 5 s", cause.name)
		}
		stop()
		stop()
	}
}
