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

// A reader that stalls: writing goes on at once, and when it reads again it learns how many lines it missed.
func TestStalledReader(t *testing.T) {
	reader, writer := io.Pipe()
	l := New(writer)
	const lines = queued + 100
	for i := range lines {
		fmt.Fprintln(l, "line", i)
	}
	got := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		got <- string(all)
	}()
	l.Close()
	writer.Close()
	text := <-got
	if kept := strings.Count(text, "line "); kept < queued || kept >= lines || !strings.Contains(text, "lines were dropped") {
		t.Errorf("%d lines kept of %d; told: %v", kept, lines, strings.Contains(text, "lines were dropped"))
	}
}

// A reader that has ended: nothing fails.
func TestBrokenReader(t *testing.T) {
	l := Stderr()
	defer l.Close()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	reader.Close()
	broken := New(writer)
	fmt.Fprintln(broken, "to nobody")
	broken.Close()
	if _, err := writer.Write([]byte("x")); err == nil || !strings.Contains(err.Error(), syscall.EPIPE.Error()) {
		t.Errorf("%v, wanted a broken pipe", err)
	}
}

func TestOrder(t *testing.T) {
	var out bytes.Buffer
	l := New(&out)
	fmt.Fprint(l, "a")
	fmt.Fprint(l, "b")
	l.Close()
	if out.String() != "ab" {
		t.Errorf("%q", out.String())
	}
}
