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

// The log's reader stalls, such as a full pipe to a collector that hangs. Writing must go on at once, and once the reader reads
// again it must learn how many lines were dropped.
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
	noticed := strings.Contains(text, "lines were dropped")
	if kept := strings.Count(text, "line "); kept < queueLength || kept >= lines || !noticed {
		t.Errorf("%d lines kept of %d; the drop was noticed: %v", kept, lines, noticed)
	}
}

// The log's reader has ended, so that writing to its pipe fails. Nothing else may fail, and the process must not end by
// SIGPIPE.
func TestBrokenReader(t *testing.T) {
	stderr := Stderr() // for its effect on the process
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

// Lines come out in the order in which they were written, all of them before Close returns.
func TestOrder(t *testing.T) {
	var out bytes.Buffer
	log := New(&out)
	fmt.Fprint(log, "a")
	fmt.Fprint(log, "b")
	log.Close()
	if out.String() != "ab" {
		t.Errorf("%q", out.String())
	}
}
