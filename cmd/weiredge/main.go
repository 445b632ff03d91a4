// Weiredge is a host: it takes commands from clients and lets the decision module send them to bricks.
package main

import (
	"github.com/alecthomas/kong"

	"weirhaven/internal/edge"
	"weirhaven/internal/platform"
)

func main() {
	var c struct {
		Host     edge.Command     `cmd:"" default:"withargs" help:"A host by settings of its own (the default)."`
		Platform platform.Command `cmd:"" help:"A host of the platform, by its configuration."`
	}
	k := kong.Parse(&c, kong.Name("weiredge"), kong.Description("A host of the storage gateway."))
	if k.Command() == "platform" {
		k.FatalIfErrorf(c.Platform.Execute(edge.Start))
		return
	}
	k.FatalIfErrorf(c.Host.Execute(edge.Start))
}
