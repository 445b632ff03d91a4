// Command weirhaven-gateway is the data plane: it receives requests from clients and forwards them to the storage endpoints that
// the scheduler (package policy) chooses. Without a subcommand it speaks the line protocol and the object API; the
// platform subcommand serves HTTP/1.1 with the configuration of a platform.
package main

import (
	"github.com/alecthomas/kong"

	"weirhaven/internal/gateway"
	"weirhaven/internal/httpgateway"
)

func main() {
	var arguments struct {
		Host     gateway.Command     `cmd:"" default:"withargs" help:"Serve the line protocol and the object API, configured by a settings file (the default)."`
		Platform httpgateway.Command `cmd:"" help:"Serve HTTP/1.1, configured by a platform."`
	}
	parsed := kong.Parse(&arguments, kong.Name("weirhaven-gateway"), kong.Description("Data plane of the storage gateway."))
	if parsed.Command() == "platform" {
		parsed.FatalIfErrorf(arguments.Platform.Execute(gateway.NewScheduler))
		return
	}
	parsed.FatalIfErrorf(arguments.Host.Execute(gateway.NewScheduler))
}
