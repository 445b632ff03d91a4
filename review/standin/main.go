// Command standin runs one case of the review: it plays the clients, the servers and the platform around gateway processes, which it
// starts with their own command lines, records what was sent, answered and run, and judges one rule from that record.
//
// Exit status: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	cannot     = 2
	troubleOff = "0"
)

// environment is what every case is given.
type environment struct {
	root    string // the repository's root, where the gateway's command is started
	folder  string // temporary folder of the run
	trouble bool   // false: the same without the disruption
	record  *record
}

// cases maps the name of a case to its function, which returns an exit code.
var cases = map[string]func(*environment) (int, error){}

func main() {
	root := flag.String("root", ".", "root of the repository")
	folder := flag.String("folder", "", "temporary folder of the run")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *root, *folder, *file))
}

func run(name, root, folder, file string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return cannot
	}
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer rec.close()
	absolute, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	e := &environment{root: absolute, folder: folder, trouble: os.Getenv("TROUBLE") != troubleOff, record: rec}
	code, err := play(e)
	if err != nil {
		rec.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	verdict := "the rule held"
	if code == broken {
		verdict = "THE RULE WAS BROKEN"
	}
	rec.add("case", "%s", verdict)
	fmt.Println(verdict)
	return code
}
