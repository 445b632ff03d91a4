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

func untilStopped() context.Context {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx
}

type fakeStorageNode struct {
	Name     string        `default:"brick-1" help:"Its name."`
	Listen   string        `default:"127.0.0.1:0" help:"Address; port 0: the kernel chooses."`
	Shard    int           `aliases:"cell" help:"The shard that it holds."`
	Zone     string        `default:"hall"`
	UnitWork time.Duration `default:"4ms" help:"Work of one unit."`
	Vary     float64       `default:"0.5" help:"Coefficient of variation of the work."`
	Queue    uint32        `default:"100" help:"Requests that may wait."`
	Speed    float64       `default:"1"`
	Cold     time.Duration `help:"Start cold, warm after this long."`
	Slow     float64       `help:"Run this many times slower."`
	Errors   float64       `help:"Fail this fraction of the requests at once."`
	Lost     float64       `help:"Lose this fraction of the responses."`
	Seed     int64         `default:"1"`
}

// Run serves until a signal ends it.
func (c *fakeStorageNode) Run() error {
	ctx := untilStopped()
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
	Listen   string   `default:"127.0.0.1:0" help:"Address; port 0: the kernel chooses."`
	PollOnly bool     `aliases:"asked" help:"Answer polls only; push no changes."`
	Endpoint []string `aliases:"brick" help:"An endpoint: name,address,zone,shard. Later lines on standard input, with a state behind, change the list." sep:"none"`
}

// Run serves until a signal ends it.
func (c *fakeDiscovery) Run() error {
	ctx := untilStopped()
	s, err := discovery.Start(discovery.Config{Address: c.Listen, PollOnly: c.PollOnly, Seed: 1})
	if err != nil {
		return err
	}
	defer s.Stop()
	for _, b := range c.Endpoint {
		if err := listLine(s, b+",serving"); err != nil {
			return err
		}
	}
	fmt.Printf("READY %s\n", s.Address())
	go func() { // ends with the process
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			if err := listLine(s, in.Text()); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}()
	<-ctx.Done()
	return nil
}

func listLine(s *discovery.Service, line string) error {
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
	Volume           string        `default:"volume-1"`
	Class            string        `default:"read" aliases:"queue-type" help:"Request class."`
	Rate             float64       `default:"100" help:"Units a second."`
	Shards           int           `default:"1" aliases:"cells" help:"Shards that hold the volume's data, from 0."`
	Length           time.Duration `default:"10s"`
	LatencyObjective time.Duration `default:"200ms" aliases:"target" help:"Latency objective."`
	Timeout          time.Duration `default:"1s" help:"Request timeout."`
	Seed             int64         `default:"1"`
}

// Run sends load for the length asked for, and prints what came of it.
func (c *fakeClient) Run() error {
	ctx := untilStopped()
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
	table(os.Stdout, []string{"client"}, []*audit.Verdict{audit.Judge(h, rec.All())})
	return nil
}
