// Command simulator-adapter connects the scheduler (package policy) to the simulator: it speaks the simulator's protocol on standard
// input and output.
package main

import (
	"fmt"
	"os"

	"weirhaven/internal/simulatorwire"
)

func main() {
	if err := simulatorwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}
