package downstream

import (
	"errors"
	"fmt"
	"testing"
)

// A client that left comes again with its id after very many other ids: the request must not run a second time.
func TestRequestIDRunsOnce(t *testing.T) {
	ids := newRequestIDs(1 << 20)
	if err := ids.claim("first"); err != nil {
		t.Fatal(err)
	}
	ids.release("first", true)
	for i := range 200_000 {
		id := fmt.Sprint("other-", i)
		if ids.claim(id) == nil {
			ids.release(id, true)
		}
	}
	if ids.claim("first") == nil {
		t.Error("the id was accepted again")
	}
}

// At the bound no id is forgotten early, and once the memory has passed there is space again.
func TestRequestIDsAreBounded(t *testing.T) {
	const memory = 1 << 16
	ids := newRequestIDs(memory)
	claimed := 0
	for i := range 10 * memory {
		id := fmt.Sprint(i)
		if err := ids.claim(id); err == nil {
			claimed++
			ids.release(id, true)
		} else if !errors.Is(err, errTooManyIDs) {
			t.Fatal(err)
		}
	}
	if most := memory / idSize; claimed > most || claimed < most-2 {
		t.Errorf("%d ids in %d bytes", claimed, memory)
	}
	ids.rotatedAt = ids.rotatedAt.Add(-idMemory)
	if err := ids.claim("next"); err != nil {
		t.Error(err)
	}
}
