package discovery

import (
	"strings"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/lineproto"
)

// A list with a malformed entry must be rejected as a whole, with the number of the malformed line. Ages are computed on the service's
// clock, so that a wrong clock there does not distort them.
func TestParseList(t *testing.T) {
	parse := func(clock, body string) (endpointstate.Generation, bool, []engine.EndpointEntry, error) {
		var o lineproto.Builder
		m, err := lineproto.NewReader(strings.NewReader(string(o.Start(lineproto.VerbEndpointList, 0).Text("Clock", clock).Text("Whole", "yes").
			End([]byte(body)).Buffer)), 1<<20).Read()
		if err != nil {
			t.Fatal(err)
		}
		return Parse(m)
	}
	_, whole, lines, err := parse("5000000", "a 127.0.0.1:1 north 0 serving 2000000\nb 127.0.0.1:2 south 1 draining 0\nc 127.0.0.1:3 x 2 gone 9000000\n")
	if err != nil || !whole || len(lines) != 3 || lines[0].Age != 3*time.Second || !lines[0].Serving || lines[1].Serving || !lines[2].Removed ||
		lines[2].Age != -4*time.Second {
		t.Errorf("%v %+v", err, lines)
	}
	for _, body := range []string{"a\n", "a 1 n 0 serving 0\n", "a 127.0.0.1:1 n x serving 0\n", "a 127.0.0.1:1 n 0 dancing 0\n",
		"a 127.0.0.1:1 n 0 serving 0\na 127.0.0.1:1 n 0 serving 0\n", "a 127.0.0.1:1 n 0 serving soon\n"} {
		if _, _, _, err := parse("5", body); err == nil || !strings.Contains(err.Error(), "list line") {
			t.Errorf("%q: %v", body, err)
		}
	}
}
