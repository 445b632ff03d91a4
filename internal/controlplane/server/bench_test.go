package server

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// inMemoryGateway is a control plane client without a disk, so that the benchmark measures mostly the controller.
type inMemoryGateway struct {
	snapshot   *snapshot.Snapshot
	generation atomic.Uint64           // generation held
	applied    func(generation uint64) // called after each applied transfer
}

// run keeps a stream to the controller until ctx ends.
func (d *inMemoryGateway) run(ctx context.Context, name, address string) {
	for ctx.Err() == nil {
		d.follow(ctx, name, address)
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// follow serves one stream until it fails.
func (d *inMemoryGateway) follow(ctx context.Context, name, address string) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(protocol.MaxMessageBytes)))
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := pb.NewPlanningClient(conn).Follow(ctx)
	if err != nil {
		return
	}
	hello := &pb.EdgeHello{Version: protocol.Version, Name: name, Tenure: d.snapshot.Term(), Generation: d.snapshot.Generation(), Digest: d.snapshot.Digest()}
	stream.Send(&pb.EdgeSays{What: &pb.EdgeSays_Hello{Hello: hello}})
	heartbeat := uint64(0)
	for {
		message, err := stream.Recv()
		if err != nil {
			return
		}
		if _, err := d.snapshot.ObserveTerm(message.Tenure); err != nil {
			return
		}
		switch content := message.What.(type) {
		case *pb.PlannerSays_Report:
			for records := range slices.Chunk(d.snapshot.Records(), protocol.RecordsPerMessage) {
				stream.Send(&pb.EdgeSays{What: &pb.EdgeSays_Report{Report: &pb.EdgeReport{Item: records}}})
			}
			stream.Send(&pb.EdgeSays{What: &pb.EdgeSays_Report{Report: &pb.EdgeReport{Last: true}}})
			continue
		case *pb.PlannerSays_Alive:
			heartbeat = content.Alive.Beat
		case *pb.PlannerSays_Part:
			applied, err := d.snapshot.ApplyChunk(message.Tenure, content.Part)
			if err != nil || applied.NeedsFull {
				return
			}
			if applied.Complete {
				d.generation.Store(d.snapshot.Generation())
				d.applied(d.snapshot.Generation())
			}
		default:
			continue
		}
		ack := &pb.EdgeAck{Tenure: d.snapshot.Term(), Generation: d.snapshot.Generation(), Beat: heartbeat}
		stream.Send(&pb.EdgeSays{What: &pb.EdgeSays_Ack{Ack: ack}})
	}
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkGateways measures the propagation of a change to all gateways, and the time until all gateways are up to date after a
// restart of the controller, for different numbers of gateways and 1,000 endpoints. The controller and the gateways run in this
// process, so CPU and memory figures include both.
func BenchmarkGateways(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				benchmarkGateways(b, n)
			}
		})
	}
}

func benchmarkGateways(b *testing.B, n int) {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conf := testConf(b, "a", "127.0.0.1:0", n, "")
	conf.Lease = "2s"
	c, address, stop := start(b, conf, Options{})
	conf.Listen = address
	conf.Store = filepath.Join(filepath.Dir(conf.Store), "a.db")
	entries := make([]engine.EndpointEntry, 1000)
	for i := range entries {
		entries[i] = endpoint(i, true)
	}
	changeList(c, 1, true, entries...)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	gateways := make([]*inMemoryGateway, n)
	appliedAt := make([]atomic.Int64, n) // time in ns at which each gateway applied the awaited generation; 0: not yet
	var awaited atomic.Uint64
	for i := range gateways {
		g := &inMemoryGateway{snapshot: snapshot.New(nil, 0, nil, protocol.MaxRecords)}
		g.applied = func(generation uint64) {
			if generation >= awaited.Load() {
				appliedAt[i].CompareAndSwap(0, time.Now().UnixNano())
			}
		}
		gateways[i] = g
		running.Go(func() { g.run(ctx, fmt.Sprintf("e%03d", i), address) })
	}
	defer running.Wait()
	defer cancel()
	reached := func(generation uint64) bool {
		for _, g := range gateways {
			if g.generation.Load() < generation {
				return false
			}
		}
		return true
	}
	begin := time.Now()
	waitFor(b, "all gateways up to date", func() bool { return reached(1) })
	b.ReportMetric(time.Since(begin).Seconds(), "first-s")
	time.Sleep(300 * time.Millisecond)
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse-before.HeapInuse)/float64(n)/1024, "KiB/gateway")

	const changes = 20
	var median, percentile99, slowest time.Duration
	cpuBefore := cpuTime()
	for k := range changes {
		c.mu.Lock()
		generation := c.state.Generation() + 1
		c.mu.Unlock()
		awaited.Store(generation)
		for i := range appliedAt {
			appliedAt[i].Store(0)
		}
		changedAt := time.Now()
		changeList(c, int64(2+k), false, endpoint(1500+k, true))
		waitFor(b, "the change", func() bool { return reached(generation) })
		var delays []time.Duration
		for i := range appliedAt {
			delays = append(delays, time.Duration(appliedAt[i].Load()-changedAt.UnixNano()))
		}
		slices.Sort(delays)
		median, percentile99, slowest = median+delays[n/2]/changes, percentile99+delays[n*99/100]/changes, slowest+delays[n-1]/changes
	}
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/changes/1000, "cpu-ms/change")
	c.mu.Lock()
	change, _ := c.state.SnapshotFor("e000", statemachine.Position{Term: c.state.Term(), Generation: c.state.Generation() - 1})
	full, _ := c.state.SnapshotFor("e000", statemachine.Position{Term: c.state.Term(), NeedsFull: true})
	c.mu.Unlock()
	b.ReportMetric(float64(proto.Size(change)), "bytes/change")
	b.ReportMetric(float64(proto.Size(full)), "bytes/full")
	b.ReportMetric(float64(median.Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(percentile99.Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(slowest.Microseconds())/1000, "all-ms")

	stop()
	c, _, stop = start(b, conf, Options{})
	begin = time.Now()
	for k := range changes {
		entries = append(entries, endpoint(1500+k, true))
	}
	entries = append(entries, endpoint(2000, true))
	changeList(c, 1, true, entries...)
	waitFor(b, "gateways up to date after the restart", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.state.Phase() != statemachine.HoldingLease || byKey(c.state.Records())[snapshot.Key{Kind: pb.Item_BRICK, Name: "b2000"}] == nil {
			return false
		}
		return reached(c.state.Generation())
	})
	b.ReportMetric(time.Since(begin).Seconds(), "restart-s")
	cancel()
	running.Wait()
	stop()
}
