package cli

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"weirhaven/internal/audit"
	"weirhaven/internal/fake/client"
	"weirhaven/internal/fake/discovery"
	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
)

// signalContext returns a context that is canceled by SIGTERM or an interrupt.
func signalContext() context.Context {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx
}

type fakeStorageNode struct {
	Name     string        `default:"brick-1" help:"Name of the endpoint."`
	Listen   string        `default:"127.0.0.1:0" help:"Address to listen on; port 0: the kernel chooses."`
	Shard    int           `aliases:"cell" help:"Shard that the endpoint holds."`
	Zone     string        `default:"hall" help:"Zone of the endpoint."`
	UnitWork time.Duration `default:"4ms" help:"Mean work of one unit, at speed 1."`
	Vary     float64       `default:"0.5" help:"Coefficient of variation of the work."`
	Queue    uint32        `default:"100" help:"Capacity of the queue, in requests."`
	Speed    float64       `default:"1" help:"Speed of the endpoint, as a multiple of the nominal speed."`
	Cold     time.Duration `help:"Duration of the slow start; 0: the endpoint starts warm."`
	Slow     float64       `help:"Slowdown factor; values up to 1 have no effect."`
	Errors   float64       `help:"Fraction of the requests that fail immediately, 0 to 1."`
	Lost     float64       `help:"Fraction of the responses that are dropped, 0 to 1."`
	Seed     int64         `default:"1" help:"Seed of the random number generator."`
}

// Run serves requests until a signal stops it.
func (c *fakeStorageNode) Run() error {
	ctx := signalContext()
	b, err := storagenode.Start(storagenode.Config{Name: c.Name, Address: c.Listen, Shard: c.Shard, Zone: c.Zone, Speed: c.Speed, Seed: c.Seed,
		SlowStart: c.Cold > 0, CollapseMultiple: 2, CollapseAfter: time.Second, WriteClasses: map[string]bool{},
		Kind: &pb.BrickKind{UnitWork: c.UnitWork.String(), Vary: c.Vary, Queue: c.Queue, ColdFrom: 0.2, ColdFor: c.Cold.String()}})
	if err != nil {
		return err
	}
	b.Set(func(k *storagenode.Conditions) { k.Slowdown, k.ErrorShare, k.LostShare = c.Slow, c.Errors, c.Lost })
	fmt.Printf("READY %s\n", b.Address())
	<-ctx.Done()
	b.Stop()
	return nil
}

type fakeDiscovery struct {
	Listen   string   `default:"127.0.0.1:0" help:"Address to listen on; port 0: the kernel chooses."`
	PollOnly bool     `aliases:"asked" help:"Answer polls only; don't push changes."`
	Endpoint []string `aliases:"brick" help:"Endpoint in the initial list: name,address,zone,shard; repeatable. Lines name,address,zone,shard,state on standard input change the list." sep:"none"`
}

// Run serves requests until a signal stops it.
func (c *fakeDiscovery) Run() error {
	ctx := signalContext()
	s, err := discovery.Start(discovery.Config{Address: c.Listen, PollOnly: c.PollOnly, Seed: 1})
	if err != nil {
		return err
	}
	defer s.Stop()
	for _, b := range c.Endpoint {
		if err := applyListLine(s, b+",serving"); err != nil {
			return err
		}
	}
	fmt.Printf("READY %s\n", s.Address())
	go func() { // ends with the process
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			if err := applyListLine(s, in.Text()); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}()
	<-ctx.Done()
	return nil
}

// applyListLine sets one endpoint of the list from a line name,address,zone,shard,state.
func applyListLine(s *discovery.Service, line string) error {
	f := strings.Split(line, ",")
	if len(f) != 5 {
		return fmt.Errorf("endpoint %q: expected name,address,zone,shard,state", line)
	}
	shard, err := strconv.Atoi(f[3])
	if err != nil {
		return fmt.Errorf("endpoint %q: shard: %w", line, err)
	}
	s.Set(discovery.Entry{Name: f[0], Address: f[1], Zone: f[2], Shard: shard, State: f[4]})
	return nil
}

type fakeClient struct {
	Gateway          []string      `required:"" aliases:"host" help:"Address of a gateway."`
	Volume           string        `default:"volume-1" help:"Name of the volume."`
	Class            string        `default:"read" aliases:"queue-type" help:"Name of the request class."`
	Rate             float64       `default:"100" help:"Offered load, in units per second."`
	Shards           int           `default:"1" aliases:"cells" help:"Number of shards that hold the volume's data, numbered from 0."`
	Length           time.Duration `default:"10s" help:"Duration of the load."`
	LatencyObjective time.Duration `default:"200ms" aliases:"target" help:"Latency objective of the request class."`
	Timeout          time.Duration `default:"1s" help:"Timeout of a request."`
	Seed             int64         `default:"1" help:"Seed of the random number generator."`
}

// Run generates load for the given duration and prints the audited totals.
func (c *fakeClient) Run() error {
	ctx := signalContext()
	rec := record.New()
	v := client.Volume{Name: c.Volume, Demand: c.Rate}
	for i := range max(c.Shards, 1) {
		v.Shards = append(v.Shards, i)
	}
	for i := range c.Gateway {
		v.Gateways = append(v.Gateways, i)
	}
	q := &pb.QueueType{Name: c.Class, ServiceTarget: c.LatencyObjective.String(), CommandTimeout: c.Timeout.String(), Importance: 1}
	l := client.Start(client.Config{AddressOf: func(i int) string { return c.Gateway[i] }, Gateways: len(c.Gateway),
		QueueTypes: []*pb.QueueType{q}, Volumes: []client.Volume{v}, Load: &pb.Load{Mix: []float64{1}, Objects: 100},
		MeanUnits: 1, MaxUnits: 1, Seed: c.Seed, Recorder: rec, Incarnation: func(int) uint32 { return 1 }})
	time.Sleep(100 * time.Millisecond)
	l.Run(ctx, c.Length)
	l.Stop()
	h := &pb.Header{Fleet: &pb.Fleet{AnswerSlack: "50ms"}, QueueType: []*pb.QueueType{q}, Plan: []*pb.Plan{{Name: "-", Importance: 1}},
		Blur: int64(50 * time.Millisecond)}
	printVerdicts(os.Stdout, []string{"client"}, []*audit.Verdict{audit.Judge(h, rec.All())})
	return nil
}
