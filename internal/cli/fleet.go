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

// ask sends one operator's message to a host and returns its answer's body.
func ask(address, verb, field, name string) ([]byte, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("reach the host: %w", err)
	}
	defer func() { _ = nc.Close() }()
	r := lineproto.NewConnReader(nc, 64<<20, 5*time.Second, 5*time.Second)
	if _, err := lineproto.Greet(nc, r, "client", "weirctl", 2*time.Second, nil); err != nil {
		return nil, err
	}
	var o lineproto.Out
	if _, err := nc.Write(o.Start(verb, 1).Text(field, name).End(nil).B); err != nil {
		return nil, err
	}
	m, err := r.Read()
	if err != nil {
		return nil, err
	}
	if m.Verb != lineproto.Done {
		return nil, fmt.Errorf("the host refused: %s", m.Get("Reason"))
	}
	return m.Body, nil
}

type fleetShow struct {
	Edge string `required:"" help:"Address where clients reach the host." placeholder:"ADDR"`
}

func (c *fleetShow) Run() error {
	b, err := ask(c.Edge, lineproto.Fleet, "Brick", "")
	if err == nil {
		fmt.Print(string(b))
	}
	return err
}

type fleetExport struct {
	Edge string `required:"" help:"Address where clients reach the host." placeholder:"ADDR"`
}

func (c *fleetExport) Run() error {
	b, err := ask(c.Edge, lineproto.Fleet, "Form", "txtpb")
	if err == nil {
		fmt.Print(string(b))
	}
	return err
}

type fleetForget struct {
	Name string `arg:"" help:"Name of a brick, or with --host of a host that sends nothing any more."`
	Host bool   `help:"It is a host: others may use its part from now on. Only if it is surely gone."`
	Edge string `required:"" help:"Address where clients reach the host." placeholder:"ADDR"`
}

func (c *fleetForget) Run() error {
	field := "Brick"
	if c.Host {
		field = "Host"
	}
	_, err := ask(c.Edge, lineproto.Forget, field, c.Name)
	return err
}

type fleetDump struct {
	File string `arg:"" type:"existingfile" help:"A host's store; the host must not be running."`
	Host string `required:"" help:"The host's name."`
}

func (c *fleetDump) Run() error {
	all, hosts, last, err := store.Dump(c.File, c.Host)
	if err != nil {
		return err
	}
	rules, err := settings.Beliefs(&pb.Edge{}) // as a host with the usual figures would take it now
	if err != nil {
		return err
	}
	now := time.Duration(time.Now().UnixNano())
	f := endpointstate.New(rules, nobody{}, func(string) {})
	f.Restore(all, last, now)
	fmt.Print(gateway.Table(f.Beliefs(), hosts, last, now))
	return nil
}

// nobody is told of beliefs that are only shown.
type nobody struct{}

func (nobody) EndpointChanged(string, string, string, int, bool, bool, time.Duration) {}
