// Command weirhaven-controller is the control plane. It holds the state of endpoints, volumes and service plans, and serves
// snapshots of that state to the gateways under leases.
package main

import (
	"github.com/alecthomas/kong"

	"weirhaven/internal/controlplane/server"
	"weirhaven/internal/gateway"
)

func main() {
	var command server.Command
	parsed := kong.Parse(&command, kong.Name("weirhaven-controller"), kong.Description("Control plane of the storage gateway."))
	parsed.FatalIfErrorf(command.Execute(gateway.Logger))
}
