// Command weirhaven-gateway is the data plane: it takes requests from clients and forwards them to the storage endpoints that
// the scheduler (package policy) chooses. Without a subcommand it speaks the line protocol and the object API; with platform it
// speaks HTTP/1.1 under a platform's configuration.
package main

import (
	"github.com/alecthomas/kong"

	"weirhaven/internal/gateway"
	"weirhaven/internal/httpgateway"
)

func main() {
	var arguments struct {
		Host     gateway.Command     `cmd:"" default:"withargs" help:"Gateway over the line protocol and the object API, by settings of its own (the default)."`
		Platform httpgateway.Command `cmd:"" help:"Gateway over HTTP/1.1, by a platform's configuration."`
	}
	parsed := kong.Parse(&arguments, kong.Name("weirhaven-gateway"), kong.Description("Data plane of the storage gateway."))
	if parsed.Command() == "platform" {
		parsed.FatalIfErrorf(arguments.Platform.Execute(gateway.NewScheduler))
		return
	}
	parsed.FatalIfErrorf(arguments.Host.Execute(gateway.NewScheduler))
}
