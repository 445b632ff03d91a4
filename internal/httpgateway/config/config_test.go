package config

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

// wholeText is a configuration with every field that the tests check.
const wholeText = `{"name":"h1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":0.25,"memory_mb":64,"sockets":256},
"known":{"revision":41,"complete":true,"members":[
{"id":"b1","host_port":"127.0.0.1:3","locality":"a","cell":3,"phase":"in_service","up_since_ms":1700000000000},
{"id":"b2","host_port":"127.0.0.1:4","locality":"a","cell":4,"phase":"terminating","up_since_ms":0},
{"id":"b3","phase":"terminated"}]},
"settings":{"balancers":3,"limits":{"max_attempts":4,"conn_idle_us":30000000,"connect_timeout_us":250000,"retry_after":true,"max_retry_after_us":2000000},
"classes":[{"name":"read","aim_us":500000,"give_up_us":3000000,"semantics":"repeatable"}],"plans":[{"name":"plain","never_over":2}]}}`

// Fields of a configuration and of its endpoint list must be converted from the platform's units.
func TestParse(t *testing.T) {
	c, err := Parse([]byte(wholeText))
	if err != nil {
		t.Fatal(err)
	}
	if c.Settings.Gateways != 3 || c.Settings.MaxRetryAfter != 2*time.Second || c.EndpointIdleTimeout != 30*time.Second || c.Limits.Sockets != 256 ||
		uint64(c.Settings.Seed) != 0x8c1f30d27a5be964 {
		t.Errorf("%+v", c)
	}
	l := c.KnownEndpoints
	if l.Revision != 41 || !l.Complete || len(l.Entries) != 3 || l.Entries[0].StartedAt != 1700000000*time.Second || !l.Entries[0].Serving ||
		l.Entries[1].Serving || l.Entries[1].Removed || !l.Entries[2].Removed || l.Entries[1].StartedAt != 0 {
		t.Errorf("%+v", l)
	}
}

// A configuration has one invalid field. The gateway must not start with a default in its place, and the error must name the
// field so that an operator can find it.
func TestInvalidConfiguration(t *testing.T) {
	for _, row := range [][3]string{
		{wholeText, "", "not JSON"},
		{wholeText, "[]", "not an object"},
		{`"127.0.0.1:1"`, `"nowhere"`, `listen: "nowhere"`},
		{`"127.0.0.1:2"`, `""`, `discovery: ""`},
		{`"cores":0.25`, `"cores":0`, "limits.cores"},
		{`"memory_mb":64`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":256`, `"sockets":8`, "limits.sockets"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		{`"in_service"`, `"asleep"`, `known: members[0].phase: unknown phase "asleep"`},
		{`"cell":4`, `"cell":-4`, "known: members[1].cell"},
		{`"127.0.0.1:3"`, `"b.example:3"`, "known: members[0].host_port"},
		{`"repeatable"`, `"perhaps"`, "settings: class"},
		{`"aim_us":500000`, `"aim_us":0`, "settings: classes[0]"},
		{`"never_over":2`, `"never_over":-2`, "settings: plans[0]"},
		{`"max_attempts":4`, `"max_attempts":0`, "settings: limits.max_attempts"},
		{`"connect_timeout_us":250000`, `"connect_timeout_us":0`, "connect_timeout_us"},
	} {
		if _, err := Parse([]byte(strings.Replace(wholeText, row[0], row[1], 1))); err == nil || !strings.Contains(err.Error(), row[2]) {
			t.Errorf("%s: %v, wanted %q", row[1], err, row[2])
		}
	}
}

// Parsing any configuration or list must not panic, and the result must be within the bounds that other packages rely on.
func FuzzParse(f *testing.F) {
	f.Add([]byte(wholeText))
	f.Add([]byte(`{"revision":1,"members":[{"id":"a","host_port":"127.0.0.1:3","cell":1e3,"phase":"in_service"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if c, err := Parse(text); err == nil && (c.Limits.Sockets < MinSockets || len(c.Settings.Plans) == 0) {
			t.Fatalf("%+v", c)
		}
		var parser fastjson.Parser
		if list, err := ParseList(&parser, text); err == nil {
			for _, e := range list.Entries {
				if e.Name == "" || e.StartedAt < 0 || !e.Removed && !e.Unreadable && e.Shard < 0 || e.Unreadable && e.Serving {
					t.Fatalf("%+v", e)
				}
			}
		}
	})
}
