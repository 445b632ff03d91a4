package cli

import (
	"fmt"
	"net"
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/store"
	"weirhaven/internal/gateway"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// callGateway sends one operator message to a gateway and returns the body of the response.
func callGateway(address, verb, field, name string) ([]byte, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to the gateway: %w", err)
	}
	defer func() { _ = nc.Close() }()
	r := lineproto.NewConnReader(nc, 64<<20, 5*time.Second, 5*time.Second)
	if _, err := lineproto.Greet(nc, r, "client", "weirctl", 2*time.Second, nil); err != nil {
		return nil, err
	}
	var o lineproto.Builder
	if _, err := nc.Write(o.Start(verb, 1).Text(field, name).End(nil).Buffer); err != nil {
		return nil, err
	}
	m, err := r.Read()
	if err != nil {
		return nil, err
	}
	if m.Verb != lineproto.VerbServed {
		return nil, fmt.Errorf("the gateway refused: %s", m.Get("Reason"))
	}
	return m.Body, nil
}

type fleetShow struct {
	Gateway string `required:"" aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR"`
}

// Run prints the state that a gateway holds for each endpoint.
func (c *fleetShow) Run() error {
	b, err := callGateway(c.Gateway, lineproto.VerbShowFleet, "Brick", "")
	if err == nil {
		fmt.Print(string(b))
	}
	return err
}

type fleetExport struct {
	Gateway string `required:"" aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR"`
}

// Run prints a gateway's view of the fleet in the format that the capacity commands read.
func (c *fleetExport) Run() error {
	b, err := callGateway(c.Gateway, lineproto.VerbShowFleet, "Form", "txtpb")
	if err == nil {
		fmt.Print(string(b))
	}
	return err
}

type fleetForget struct {
	Name    string `arg:"" help:"Name of an endpoint or, with --peer, of a gateway that has stopped for good."`
	Peer    bool   `aliases:"host" help:"NAME is a gateway: the other gateways may use its share from now on. Use it only if that gateway is permanently removed."`
	Gateway string `required:"" aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR"`
}

// Run removes an endpoint, or another gateway, from a gateway's state.
func (c *fleetForget) Run() error {
	field := "Brick"
	if c.Peer {
		field = "Host"
	}
	_, err := callGateway(c.Gateway, lineproto.VerbForget, field, c.Name)
	return err
}

type fleetDump struct {
	File    string `arg:"" type:"existingfile" help:"Store of a gateway; the gateway must not be running."`
	Gateway string `required:"" aliases:"host" help:"Name of the gateway that owns the store."`
}

// Run prints the table of fleet show from a store on disk.
func (c *fleetDump) Run() error {
	beliefs, members, last, err := store.Dump(c.File, c.Gateway)
	if err != nil {
		return err
	}
	rules, err := settings.EndpointRules(&pb.Edge{}) // a gateway with the default settings applies these rules to the stored state
	if err != nil {
		return err
	}
	now := time.Duration(time.Now().UnixNano())
	f := endpointstate.New(rules, discardSink{}, func(string) {})
	f.Restore(beliefs, last, now)
	fmt.Print(gateway.FormatFleet(f.Beliefs(), members, last, now))
	return nil
}

// discardSink ignores changes of endpoint state; fleet dump only prints the restored state.
type discardSink struct{}

// EndpointChanged does nothing.
func (discardSink) EndpointChanged(string, string, string, int, bool, bool, time.Duration) {}
