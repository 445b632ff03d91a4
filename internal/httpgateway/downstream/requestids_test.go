package downstream

import (
	"fmt"
	"testing"
)

// A client that left comes again with its id after very many other ids: the request must not run a second time.
func TestRequestIDRunsOnce(t *testing.T) {
	ids := newRequestIDs()
	if !ids.claim("first") {
		t.Fatal("a new id was refused")
	}
	ids.release("first", true)
	for i := range 200_000 {
		id := fmt.Sprint("other-", i)
		if ids.claim(id) {
			ids.release(id, true)
		}
	}
	if ids.claim("first") {
		t.Error("the id was accepted again")
	}
}
