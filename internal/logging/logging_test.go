package logging

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
)

// The log's reader stalls, for example a hanging collector behind a full pipe. Writing must not block, and once the reader
// reads again, the log must report that lines were dropped.
func TestStalledReader(t *testing.T) {
	reader, writer := io.Pipe()
	log := New(writer)
	const lines = queueLength + 100
	for i := range lines {
		fmt.Fprintln(log, "line", i)
	}
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		read <- string(all)
	}()
	log.Close()
	writer.Close()
	text := <-read
	dropReported := strings.Contains(text, "lines were dropped")
	if kept := strings.Count(text, "line "); kept < queueLength || kept >= lines || !dropReported {
		t.Errorf("%d lines kept of %d; drop reported: %v", kept, lines, dropReported)
	}
}

// The log's reader has ended, so that writes to its pipe fail. The Writer must hide the failure, and SIGPIPE must not end the
// process.
func TestBrokenPipe(t *testing.T) {
	stderr := Stderr() // makes the process ignore SIGPIPE
	defer stderr.Close()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	reader.Close()
	broken := New(writer)
	fmt.Fprintln(broken, "a line")
	broken.Close()
	if _, err := writer.Write([]byte("x")); err == nil || !strings.Contains(err.Error(), syscall.EPIPE.Error()) {
		t.Errorf("%v, wanted a broken pipe", err)
	}
}

// Lines must be written in order, all of them before Close returns.
func TestOrder(t *testing.T) {
	var out bytes.Buffer
	log := New(&out)
	fmt.Fprint(log, "a")
	fmt.Fprint(log, "b")
	log.Close()
	if out.String() != "ab" {
		t.Errorf("got %q, wanted \"ab\"", out.String())
	}
}
