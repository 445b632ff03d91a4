package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
	"weirhaven/internal/tlskeys"
)

type controlPlaneCmd struct {
	Status    controlPlaneStatus    `cmd:"" help:"Show the phase of a controller and why it can't write."`
	Snapshots controlPlaneSnapshots `cmd:"" aliases:"views" help:"Print the snapshot that a controller serves."`
	Gateways  controlPlaneGateways  `cmd:"" aliases:"edges" help:"List the gateways known to a controller, with the snapshot generation that each one holds."`
	Diff      controlPlaneDiff      `cmd:"" help:"Compare the state that a gateway last reported with the controller's snapshot."`
}

type controlPlaneFlags struct {
	Controller string `required:"" aliases:"planner" help:"Address of the controller." placeholder:"ADDR"`
	Cert       string `help:"Certificate of the operator (PEM); without it, the connection is plaintext and limited to loopback." placeholder:"FILE"`
	Key        string `help:"Private key of the certificate (PEM)." placeholder:"FILE"`
	Trusted    string `help:"Certificates of the authorities that may have signed the controller's certificate (PEM)." placeholder:"FILE"`
	Server     string `help:"Expected name in the controller's certificate." default:"weirplan"`
}

func (c *controlPlaneFlags) queryStatus(a *pb.StatusAsk) (*pb.StatusTold, error) {
	creds := insecure.NewCredentials()
	if c.Cert != "" {
		k, err := tlskeys.Load(&pb.Keys{Certificate: c.Cert, Key: c.Key, Trusted: c.Trusted}, slog.Default())
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(k.Client(c.Server))
	} else if !tlskeys.Loopback(c.Controller) {
		return nil, errors.New("a controller that is not on loopback requires --cert, --key and --trusted")
	}
	conn, err := grpc.NewClient("passthrough:///"+c.Controller, grpc.WithTransportCredentials(creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(256<<20)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	return pb.NewPlanningClient(conn).Status(ctx, a)
}

type controlPlaneStatus struct{ controlPlaneFlags }

// Run prints a controller's phase and the reason why it can't write, if any.
func (c *controlPlaneStatus) Run() error {
	t, err := c.queryStatus(&pb.StatusAsk{Edges: true})
	if err != nil {
		return err
	}
	connected := 0
	for _, e := range t.Edge {
		if e.Connected {
			connected++
		}
	}
	fmt.Printf("controller %s, term %d, generation %d\n%s", t.Tenure.GetPlanner(), t.Tenure.GetTerm(), t.Generation, t.Phase)
	if t.Why != "" {
		fmt.Printf(": %s", t.Why)
	}
	fmt.Printf("\n%d of %d gateways connected\n", connected, len(t.Edge))
	return nil
}

type controlPlaneSnapshots struct{ controlPlaneFlags }

// Run prints each entry of the snapshot that a controller serves.
func (c *controlPlaneSnapshots) Run() error {
	t, err := c.queryStatus(&pb.StatusAsk{View: true})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tNAME\tGENERATION\tTERM\tVALUE")
	for _, x := range t.Item {
		value := ""
		switch b := x.GetBrick(); {
		case x.Gone:
			value = "gone"
			if b.GetDrained() != 0 {
				value += ", drained"
			}
		case b != nil:
			value = fmt.Sprintf("%s zone %s shard %d serving %v", b.Address, b.Zone, b.Cell, b.Serving)
			if snapshot.Drained(b) {
				value += ", drained"
			}
		case x.Volume != nil:
			value = fmt.Sprintf("plan %s through %d gateways, shards %v", x.Volume.Plan, x.Volume.Hosts, x.Volume.Cell)
		case x.Place != nil:
			value = fmt.Sprintf("shard %d, given to %s", x.Place.Cell, x.Place.Edge)
		case x.Kind == pb.Item_HOSTS:
			value = fmt.Sprint(x.Hosts)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", x.Kind, x.Name, x.Generation, x.Term, value)
	}
	return w.Flush()
}

type controlPlaneGateways struct{ controlPlaneFlags }

// Run prints the gateways known to a controller, with their connection and snapshot generation.
func (c *controlPlaneGateways) Run() error {
	t, err := c.queryStatus(&pb.StatusAsk{Edges: true})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GATEWAY\tADDRESS\tCONNECTED\tHOLDS\tFOLLOWS TERM\tLAST MESSAGE")
	for _, e := range t.Edge {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d of %d\t%d\t%v ago\n", e.Name, e.Address, e.Connected, e.Generation, t.Generation, e.Term, time.Duration(e.Heard).Round(time.Millisecond))
	}
	return w.Flush()
}

type controlPlaneDiff struct {
	controlPlaneFlags
	Gateway string `arg:"" help:"Name of a gateway."`
}

// Run prints the differences between a gateway's last report and the controller's snapshot.
func (c *controlPlaneDiff) Run() error {
	t, err := c.queryStatus(&pb.StatusAsk{Diff: c.Gateway})
	if err != nil {
		return err
	}
	for _, d := range t.Difference {
		fmt.Println(d)
	}
	if len(t.Difference) == 0 {
		fmt.Println("no difference")
	}
	return nil
}

type keysMake struct {
	Dir   string        `required:"" help:"Folder for the keys and certificates. Its trusted.pem and trusted.key sign them and are generated if absent." placeholder:"DIR"`
	Valid time.Duration `default:"8760h" help:"Validity period of the certificates."`
	Names []string      `arg:"" help:"Names that get a key and a certificate each: the controller (weirplan unless the gateways' settings say otherwise), each gateway, operators."`
}

// Run generates a key and a certificate for each name.
func (c *keysMake) Run() error { return tlskeys.Make(c.Dir, c.Names, c.Valid) }
