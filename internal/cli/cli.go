// Package cli holds weirhavenctl's commands: one type a command, whose fields are its flags and whose Run is called by kong.
package cli

import (
	"weirhaven/internal/controlplane/server"
	"weirhaven/internal/fake/direct"
	"weirhaven/internal/gateway"
)

// CLI is the command line. Former command words stay valid as aliases, so that operators' scripts go on working.
type CLI struct {
	Scenario struct {
		List   scenarioList   `cmd:"" help:"List the scenarios that come with the program."`
		Run    scenarioRun    `cmd:"" help:"Play a scripted day on loopback, audit it, exit 0 only if all rules are kept."`
		Import scenarioImport `cmd:"" help:"Turn a simulator's day file into a scenario, scaled down to this machine."`
	} `cmd:"" aliases:"drill" help:"Scripted days with fakes and injected faults."`
	Audit  auditRecord `cmd:"" help:"Judge a record again."`
	Config struct {
		Check configCheck `cmd:"" help:"Check a settings file."`
	} `cmd:"" help:"Settings."`
	Fleet struct {
		Show   fleetShow   `cmd:"" help:"What a gateway believes of each endpoint, how old, from which source, why."`
		Dump   fleetDump   `cmd:"" help:"The same from a store on disk."`
		Export fleetExport `cmd:"" help:"Write the fleet as a gateway believes it, for the capacity planner."`
		Forget fleetForget `cmd:"" help:"Let a gateway forget an endpoint with its drain, or another gateway with its share."`
	} `cmd:"" help:"What gateways believe of the fleet."`
	Capacity     capacityCmd     `cmd:"" help:"What saturates first as the load grows, how many endpoints a goal takes, what a loss does."`
	Capture      captureCmd      `cmd:"" help:"The load that gateways record."`
	Object       objectCmd       `cmd:"" help:"Objects, over a gateway's object API."`
	ControlPlane controlPlaneCmd `cmd:"" aliases:"plan" help:"State of a controller and of the gateways that follow it."`
	Soak         soakCmd         `cmd:"" help:"Gateway processes under load and overlapping faults; exits 1 if an invariant was violated."`
	Keys         struct {
		Make keysMake `cmd:"" help:"Make keys and certificates, for tests and first installations."`
	} `cmd:"" help:"TLS keys of the programs."`
	Fake struct {
		StorageNode fakeStorageNode `cmd:"" aliases:"brick" help:"A fake storage endpoint."`
		Discovery   fakeDiscovery   `cmd:"" aliases:"lister" help:"A fake discovery service."`
		Client      fakeClient      `cmd:"" help:"A client that generates load."`
	} `cmd:"" aliases:"standin" help:"Start one fake by itself."`
	Gateway    gatewayRun    `cmd:"" hidden:"" aliases:"edge" help:"A gateway, as weirhaven-gateway; scenarios start theirs by it."`
	Controller controllerRun `cmd:"" hidden:"" aliases:"planner" help:"A controller, as weirhaven-controller; scenarios start theirs by it."`
}

type gatewayRun struct {
	gateway.Command
	Baseline string `help:"Decide by a baseline instead of the scheduler." enum:",direct" default:""`
}

// Run runs a gateway in this process until a signal ends it.
func (c *gatewayRun) Run() error {
	if c.Baseline == "direct" {
		return c.Execute(direct.Start)
	}
	return c.Execute(gateway.NewScheduler)
}

type controllerRun struct{ server.Command }

// Run runs a controller in this process until a signal ends it.
func (c *controllerRun) Run() error { return c.Execute(gateway.Logger) }
