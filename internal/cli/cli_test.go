package cli

import (
	"fmt"
	"testing"

	"github.com/alecthomas/kong"
)

// TestDeprecatedNames guards against the loss of an alias: operators' scripts and documents still use the former names of commands
// and flags. Each former command line must parse to the same command and values as the current one.
func TestDeprecatedNames(t *testing.T) {
	for _, c := range []struct{ former, command []string }{
		{[]string{"drill", "list"}, []string{"scenario", "list"}},
		{[]string{"drill", "run", "bad-day", "--hosts", "5", "--edge", "cli_test.go", "--calm"},
			[]string{"scenario", "run", "bad-day", "--gateways", "5", "--program", "cli_test.go", "--without-controller-faults"}},
		{[]string{"drill", "import", "cli_test.go", "--hosts", "2", "--bricks", "3"}, []string{"scenario", "import", "cli_test.go", "--gateways", "2", "--endpoints", "3"}},
		{[]string{"standin", "brick", "--cell", "2"}, []string{"fake", "storage-node", "--shard", "2"}},
		{[]string{"standin", "lister", "--asked", "--brick", "a,b,c,1"}, []string{"fake", "discovery", "--poll-only", "--endpoint", "a,b,c,1"}},
		{[]string{"standin", "client", "--host", "h:1", "--queue-type", "write", "--cells", "2", "--target", "1s"},
			[]string{"fake", "client", "--gateway", "h:1", "--class", "write", "--shards", "2", "--latency-objective", "1s"}},
		{[]string{"plan", "status", "--planner", "h:1"}, []string{"control-plane", "status", "--controller", "h:1"}},
		{[]string{"plan", "views", "--planner", "h:1"}, []string{"control-plane", "snapshots", "--controller", "h:1"}},
		{[]string{"plan", "edges", "--planner", "h:1"}, []string{"control-plane", "gateways", "--controller", "h:1"}},
		{[]string{"plan", "diff", "g-1", "--planner", "h:1"}, []string{"control-plane", "diff", "g-1", "--controller", "h:1"}},
		{[]string{"fleet", "show", "--edge", "h:1"}, []string{"fleet", "show", "--gateway", "h:1"}},
		{[]string{"fleet", "export", "--edge", "h:1"}, []string{"fleet", "export", "--gateway", "h:1"}},
		{[]string{"fleet", "forget", "g-1", "--host", "--edge", "h:1"}, []string{"fleet", "forget", "g-1", "--peer", "--gateway", "h:1"}},
		{[]string{"fleet", "dump", "cli_test.go", "--host", "g-1"}, []string{"fleet", "dump", "cli_test.go", "--gateway", "g-1"}},
		{[]string{"capture", "start", "--edge", "h:1"}, []string{"capture", "start", "--gateway", "h:1"}},
		{[]string{"capture", "stop", "--edge", "h:1"}, []string{"capture", "stop", "--gateway", "h:1"}},
		{[]string{"capture", "info", "--edge", "h:1"}, []string{"capture", "info", "--gateway", "h:1"}},
		{[]string{"capacity", "verify", "--drill", "bad-day"}, []string{"capacity", "verify", "--scenario", "bad-day"}},
		{[]string{"soak", "--menu", "drain", "--menu", "kill"}, []string{"soak", "--fault", "drain", "--fault", "kill"}},
		{[]string{"edge", "--config", "cli_test.go"}, []string{"gateway", "--config", "cli_test.go"}},
		{[]string{"planner", "--config", "cli_test.go"}, []string{"controller", "--config", "cli_test.go"}},
	} {
		former, current := parse(t, c.former), parse(t, c.command)
		if former.command != current.command || former.values != current.values {
			t.Errorf("%q parses to %q %s, %q to %q %s", c.former, former.command, former.values, c.command, current.command, current.values)
		}
	}
}

// parsed is the result of parsing a command line: the selected command, and the values of all flags and arguments.
type parsed struct{ command, values string }

func parse(t *testing.T, arguments []string) parsed {
	t.Helper()
	var commands CLI
	parser, err := kong.New(&commands, kong.Name("weirhavenctl"))
	if err != nil {
		t.Fatal(err)
	}
	context, err := parser.Parse(arguments)
	if err != nil {
		t.Fatalf("%q: %v", arguments, err)
	}
	return parsed{context.Command(), fmt.Sprintf("%+v", commands)}
}
