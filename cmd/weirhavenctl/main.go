// Command weirhavenctl is the operator's command line.
package main

import (
	"github.com/alecthomas/kong"

	"weirhaven/internal/cli"
)

func main() {
	var commands cli.CLI
	parsed := kong.Parse(&commands, kong.Name("weirhavenctl"),
		kong.Description("Operator's command line of the storage gateway: scenarios, audits, settings, fakes, capacity, control plane."),
		kong.ShortUsageOnError())
	parsed.FatalIfErrorf(parsed.Run())
}
