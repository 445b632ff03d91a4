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

type planCmd struct {
	Status planStatus `cmd:"" help:"What a planner is doing, and what keeps it from writing."`
	Views  planViews  `cmd:"" help:"What it gives out."`
	Edges  planEdges  `cmd:"" help:"The edges it knows, and where they stand."`
	Diff   planDiff   `cmd:"" help:"What an edge last reported, against the planner."`
}

type planFlags struct {
	Planner string `required:"" help:"Address of the planner." placeholder:"ADDR"`
	Cert    string `help:"Certificate of the operator (PEM); none: plain, on loopback." placeholder:"FILE"`
	Key     string `help:"Its key." placeholder:"FILE"`
	Trusted string `help:"Certificates by which the planner is judged." placeholder:"FILE"`
	Server  string `help:"Name in the planner's certificate." default:"weirplan"`
}

func (c *planFlags) ask(a *pb.StatusAsk) (*pb.StatusTold, error) {
	creds := insecure.NewCredentials()
	if c.Cert != "" {
		k, err := tlskeys.Load(&pb.Keys{Certificate: c.Cert, Key: c.Key, Trusted: c.Trusted}, slog.Default())
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(k.Client(c.Server))
	} else if !tlskeys.Loopback(c.Planner) {
		return nil, errors.New("without --cert, --key and --trusted only a planner on loopback is asked")
	}
	conn, err := grpc.NewClient("passthrough:///"+c.Planner, grpc.WithTransportCredentials(creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(256<<20)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	return pb.NewPlanningClient(conn).Status(ctx, a)
}

type planStatus struct{ planFlags }

func (c *planStatus) Run() error {
	t, err := c.ask(&pb.StatusAsk{Edges: true})
	if err != nil {
		return err
	}
	up := 0
	for _, e := range t.Edge {
		if e.Connected {
			up++
		}
	}
	fmt.Printf("planner %s, term %d, generation %d\n%s", t.Tenure.GetPlanner(), t.Tenure.GetTerm(), t.Generation, t.Phase)
	if t.Why != "" {
		fmt.Printf(": %s", t.Why)
	}
	fmt.Printf("\n%d of %d edges connected\n", up, len(t.Edge))
	return nil
}

type planViews struct{ planFlags }

func (c *planViews) Run() error {
	t, err := c.ask(&pb.StatusAsk{View: true})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tNAME\tGENERATION\tTERM\tWHAT")
	for _, x := range t.Item {
		what := ""
		switch b := x.GetBrick(); {
		case x.Gone:
			what = "gone"
			if b.GetDrained() != 0 {
				what += ", drained"
			}
		case b != nil:
			what = fmt.Sprintf("%s zone %s cell %d serving %v", b.Address, b.Zone, b.Cell, b.Serving)
			if snapshot.Drained(b) {
				what += ", drained"
			}
		case x.Volume != nil:
			what = fmt.Sprintf("plan %s through %d edges, cells %v", x.Volume.Plan, x.Volume.Hosts, x.Volume.Cell)
		case x.Place != nil:
			what = fmt.Sprintf("cell %d, given to %s", x.Place.Cell, x.Place.Edge)
		case x.Kind == pb.Item_HOSTS:
			what = fmt.Sprint(x.Hosts)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", x.Kind, x.Name, x.Generation, x.Term, what)
	}
	return w.Flush()
}

type planEdges struct{ planFlags }

func (c *planEdges) Run() error {
	t, err := c.ask(&pb.StatusAsk{Edges: true})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "EDGE\tADDRESS\tCONNECTED\tHOLDS\tFOLLOWS TERM\tHEARD")
	for _, e := range t.Edge {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d of %d\t%d\t%v ago\n", e.Name, e.Address, e.Connected, e.Generation, t.Generation, e.Term, time.Duration(e.Heard).Round(time.Millisecond))
	}
	return w.Flush()
}

type planDiff struct {
	planFlags
	Edge string `arg:"" help:"Name of an edge."`
}

func (c *planDiff) Run() error {
	t, err := c.ask(&pb.StatusAsk{Diff: c.Edge})
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
	Dir   string        `required:"" help:"Folder to write to; trusted.pem and trusted.key there sign, and are made if absent." placeholder:"DIR"`
	Valid time.Duration `default:"8760h" help:"How long the certificates hold."`
	Names []string      `arg:"" help:"A key and certificate for each: weirplan, each edge by its name, operators."`
}

func (c *keysMake) Run() error { return tlskeys.Make(c.Dir, c.Names, c.Valid) }
