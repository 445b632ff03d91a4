// Package cli implements the commands of weirhavenctl. Each command is a type: its fields are the flags and arguments, and kong
// calls its Run method.
package cli

import (
	"weirhaven/internal/controlplane/server"
	"weirhaven/internal/fake/direct"
	"weirhaven/internal/gateway"
)

// CLI is the command line. Former names of commands and flags remain as aliases, so that operators' scripts keep working.
type CLI struct {
	Scenario struct {
		List   scenarioList   `cmd:"" help:"List the scenarios that come with the program."`
		Run    scenarioRun    `cmd:"" help:"Run a scenario on loopback and audit it; exit 0 only if no rule was broken."`
		Import scenarioImport `cmd:"" help:"Turn a simulator's day file into a scenario, scaled down to this machine."`
	} `cmd:"" aliases:"drill" help:"Scripted scenarios with fakes and injected faults."`
	Audit  auditRecord `cmd:"" help:"Audit the record of an earlier scenario run."`
	Config struct {
		Check configCheck `cmd:"" help:"Check a settings file."`
	} `cmd:"" help:"Settings files."`
	Fleet struct {
		Show   fleetShow   `cmd:"" help:"Show the state that a gateway holds for each endpoint, with its age, source and reason."`
		Dump   fleetDump   `cmd:"" help:"Show the same table from a gateway's store on disk."`
		Export fleetExport `cmd:"" help:"Print a gateway's view of the fleet, as input for weirhavenctl capacity."`
		Forget fleetForget `cmd:"" help:"Remove an endpoint and its drain, or another gateway and its share, from a gateway's state."`
	} `cmd:"" help:"State that gateways hold about the fleet."`
	Capacity     capacityCmd     `cmd:"" help:"Capacity forecasts: the first limit as the load grows, endpoints needed for a goal, effect of losses."`
	Capture      captureCmd      `cmd:"" help:"Captures of the load of gateways."`
	Object       objectCmd       `cmd:"" help:"Store, read, list and remove objects over a gateway's object API."`
	ControlPlane controlPlaneCmd `cmd:"" aliases:"plan" help:"State of a controller and of the gateways connected to it."`
	Soak         soakCmd         `cmd:"" help:"Run gateway processes under load and overlapping faults; exit 1 if an invariant was violated."`
	Keys         struct {
		Make keysMake `cmd:"" help:"Generate keys and certificates, for tests and first installations."`
	} `cmd:"" help:"TLS keys and certificates of the programs."`
	Fake struct {
		StorageNode fakeStorageNode `cmd:"" aliases:"brick" help:"Run a fake storage endpoint."`
		Discovery   fakeDiscovery   `cmd:"" aliases:"lister" help:"Run a fake discovery service."`
		Client      fakeClient      `cmd:"" help:"Run a client that generates load."`
	} `cmd:"" aliases:"standin" help:"Run a single fake."`
	Gateway    gatewayRun    `cmd:"" hidden:"" aliases:"edge" help:"Run a gateway like weirhaven-gateway; scenarios start their gateways with this command."`
	Controller controllerRun `cmd:"" hidden:"" aliases:"planner" help:"Run a controller like weirhaven-controller; scenarios start their controllers with this command."`
}

type gatewayRun struct {
	gateway.Command
	Baseline string `help:"Choose endpoints with this baseline algorithm instead of the scheduler." enum:",direct" default:""`
}

// Run runs a gateway in this process until a signal stops it.
func (c *gatewayRun) Run() error {
	if c.Baseline == "direct" {
		return c.Execute(direct.Start)
	}
	return c.Execute(gateway.NewScheduler)
}

type controllerRun struct{ server.Command }

// Run runs a controller in this process until a signal stops it.
func (c *controllerRun) Run() error { return c.Execute(gateway.Logger) }
