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

// callGateway sends one operator message to a gateway and returns the body of its answer.
func callGateway(address, verb, field, name string) ([]byte, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("reach the gateway: %w", err)
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

// Run prints what a gateway believes of each endpoint.
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

// Run prints a gateway's fleet as the capacity planner reads it.
func (c *fleetExport) Run() error {
	b, err := callGateway(c.Gateway, lineproto.VerbShowFleet, "Form", "txtpb")
	if err == nil {
		fmt.Print(string(b))
	}
	return err
}

type fleetForget struct {
	Name    string `arg:"" help:"Name of an endpoint, or with --peer of a gateway that sends nothing any more."`
	Peer    bool   `aliases:"host" help:"It is a gateway: the others may use its share from now on. Only if it is surely gone."`
	Gateway string `required:"" aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR"`
}

// Run lets a gateway forget an endpoint, or another gateway.
func (c *fleetForget) Run() error {
	field := "Brick"
	if c.Peer {
		field = "Host"
	}
	_, err := callGateway(c.Gateway, lineproto.VerbForget, field, c.Name)
	return err
}

type fleetDump struct {
	File    string `arg:"" type:"existingfile" help:"A gateway's store; the gateway must not be running."`
	Gateway string `required:"" aliases:"host" help:"The gateway's name."`
}

// Run prints the same as fleet show, from a store on disk.
func (c *fleetDump) Run() error {
	all, hosts, last, err := store.Dump(c.File, c.Gateway)
	if err != nil {
		return err
	}
	rules, err := settings.EndpointRules(&pb.Edge{}) // as a gateway with the default settings would weigh it now
	if err != nil {
		return err
	}
	now := time.Duration(time.Now().UnixNano())
	f := endpointstate.New(rules, noSink{}, func(string) {})
	f.Restore(all, last, now)
	fmt.Print(gateway.FormatFleet(f.Beliefs(), hosts, last, now))
	return nil
}

// noSink is the sink of beliefs that are only printed.
type noSink struct{}

// EndpointChanged does nothing.
func (noSink) EndpointChanged(string, string, string, int, bool, bool, time.Duration) {}
