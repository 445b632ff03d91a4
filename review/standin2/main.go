// Command standin2 plays the cases of the second review, one a run: it starts the gateway as the operators do and stands in for
// its clients, its bricks, the network to them and the discovery agent. Everything is on loopback addresses and the real clock.
package main

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0 // the rule was kept
	broken   = 1 // the rule was broken
	couldNot = 2 // the case could not run
)

// longest is the time after which a case that has not ended is stopped.
const longest = 110 * time.Second

// scene is what a case works with.
type scene struct {
	root    string // root of the repository
	folder  string // temporary folder for settings and logs
	record  *record
	trouble bool // whether the disruption happens
}

// cases plays each case by its name and returns a line for each breach of its rule.
var cases = map[string]func(*scene) (breaches []string, err error){
	"foreign":  foreign,
	"hidden":   hidden,
	"memory":   memory,
	"pipeline": pipeline,
	"surge":    surge,
	"shutdown": shutdown,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD; cases:", slices.Sorted(maps.Keys(cases)))
		os.Exit(couldNot)
	}
	code, err := play(os.Args[1], os.Args[2], os.Args[3])
	stopHosts()
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = couldNot
	}
	os.Exit(code)
}

// play plays a case, or ends it at a signal or after longest.
func play(name, root, recordFile string) (code int, err error) {
	s := &scene{trouble: os.Getenv("TROUBLE") != "0"}
	if s.root, err = filepath.Abs(root); err != nil {
		return couldNot, err
	}
	if s.folder, err = os.MkdirTemp("", "standin2-"); err != nil {
		return couldNot, err
	}
	defer func() { _ = os.RemoveAll(s.folder) }()
	if s.record, err = newRecord(recordFile); err != nil {
		return couldNot, err
	}
	s.record.line("case %s, disruption %v", name, s.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan result, 1)
	go func() {
		breaches, err := cases[name](s)
		ended <- result{breaches, err}
	}()
	var r result
	select {
	case r = <-ended:
	case received := <-signals:
		r.err = fmt.Errorf("stopped by %v", received)
	case <-time.After(longest):
		r.err = fmt.Errorf("not over after %v", longest)
	}
	stopHosts() // before anything is printed: a reader of the output that has left ends this program
	code = r.code(s.record)
	keepLogs(s.folder)
	return code, s.record.close()
}

// keepLogs copies settings and logs to the folder that KEEP names, if it does.
func keepLogs(folder string) {
	if keep := os.Getenv("KEEP"); keep != "" {
		if err := os.CopyFS(keep, os.DirFS(folder)); err != nil {
			fmt.Println("logs not kept:", err)
		}
	}
}

// result is how a case ended.
type result struct {
	breaches []string
	err      error
}

func (r result) code(record *record) int {
	if r.err != nil {
		record.line("the case could not run: %v", r.err)
		fmt.Println("the case could not run:", r.err)
		return couldNot
	}
	for _, b := range r.breaches {
		record.line("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(r.breaches) > 0 {
		return broken
	}
	record.line("the rule was kept")
	fmt.Println("kept")
	return held
}
