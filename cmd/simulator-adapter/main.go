// Command simulator-adapter runs the scheduler (package policy) on the simulator's wire, over standard input and output.
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
