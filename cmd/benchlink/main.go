// Benchlink runs the decision module on the bench's wire.
package main

import (
	"fmt"
	"os"

	"weirhaven/internal/benchwire"
)

func main() {
	if err := benchwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
