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

// light is an edge's control part without a disk: what it takes is what a planner's side costs.
type light struct {
	v    *snapshot.Snapshot
	at   atomic.Uint64
	when func(generation uint64)
}

func (l *light) run(ctx context.Context, name, address string, ready *sync.WaitGroup) {
	for ctx.Err() == nil {
		l.stream(ctx, name, address)
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (l *light) stream(ctx context.Context, name, address string) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(protocol.MaxMessageBytes)))
	if err != nil {
		return
	}
	defer conn.Close()
	s, err := pb.NewPlanningClient(conn).Follow(ctx)
	if err != nil {
		return
	}
	s.Send(&pb.EdgeSays{What: &pb.EdgeSays_Hello{Hello: &pb.EdgeHello{Version: protocol.Version, Name: name, Tenure: l.v.Term(), Generation: l.v.Generation(), Digest: l.v.Digest()}}})
	beat := uint64(0)
	for {
		m, err := s.Recv()
		if err != nil {
			return
		}
		if _, err := l.v.ObserveTerm(m.Tenure); err != nil {
			return
		}
		switch x := m.What.(type) {
		case *pb.PlannerSays_Report:
			items := l.v.Records()
			for pieces := range slices.Chunk(items, 512) {
				s.Send(&pb.EdgeSays{What: &pb.EdgeSays_Report{Report: &pb.EdgeReport{Item: pieces}}})
			}
			s.Send(&pb.EdgeSays{What: &pb.EdgeSays_Report{Report: &pb.EdgeReport{Last: true}}})
			continue
		case *pb.PlannerSays_Alive:
			beat = x.Alive.Beat
		case *pb.PlannerSays_Part:
			t, err := l.v.ApplyChunk(m.Tenure, x.Part)
			if err != nil || t.NeedsFull {
				return
			}
			if t.Complete {
				l.at.Store(l.v.Generation())
				l.when(l.v.Generation())
			}
		default:
			continue
		}
		s.Send(&pb.EdgeSays{What: &pb.EdgeSays_Ack{Ack: &pb.EdgeAck{Tenure: l.v.Term(), Generation: l.v.Generation(), Beat: beat}}})
	}
}

func cpu() time.Duration {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// A change's way to all edges, and all edges back in step after the planner's restart, as edges grow; 1,000 bricks. Planner and edges run
// in this process, so CPU and memory are of both sides.
func BenchmarkEdges(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				edges(b, n)
			}
		})
	}
}

func edges(b *testing.B, n int) {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := conf(b, "a", "127.0.0.1:0", n, "")
	c.Lease = "2s"
	p, address, stop := start(b, c, Options{})
	c.Listen = address
	c.Store = filepath.Join(filepath.Dir(c.Store), "a.db")
	lines := make([]engine.EndpointEntry, 1000)
	for i := range lines {
		lines[i] = brick(i, true)
	}
	list(p, 1, true, lines...)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	all := make([]*light, n)
	times := make([]atomic.Int64, n)
	var want atomic.Uint64
	for i := range all {
		l := &light{v: snapshot.New(nil, 0, nil, protocol.MaxRecords)}
		l.when = func(g uint64) {
			if g >= want.Load() {
				times[i].CompareAndSwap(0, time.Now().UnixNano())
			}
		}
		all[i] = l
		wg.Add(1)
		go func() { defer wg.Done(); l.run(ctx, fmt.Sprintf("e%03d", i), address, nil) }()
	}
	defer wg.Wait()
	defer cancel()
	reached := func(g uint64) bool {
		for _, l := range all {
			if l.at.Load() < g {
				return false
			}
		}
		return true
	}
	begin := time.Now()
	until(b, "all in step", func() bool { return reached(1) })
	b.ReportMetric(time.Since(begin).Seconds(), "first-s")
	time.Sleep(300 * time.Millisecond)
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse-before.HeapInuse)/float64(n)/1024, "KiB/edge")
	const changes = 20
	var half, most, last time.Duration
	used := cpu()
	for k := range changes {
		p.mu.Lock()
		g := p.state.Generation() + 1
		p.mu.Unlock()
		want.Store(g)
		for i := range times {
			times[i].Store(0)
		}
		at := time.Now()
		list(p, int64(2+k), false, brick(1500+k, true))
		until(b, "the change", func() bool { return reached(g) })
		var took []time.Duration
		for i := range times {
			took = append(took, time.Duration(times[i].Load()-at.UnixNano()))
		}
		slices.Sort(took)
		half, most, last = half+took[n/2]/changes, most+took[n*99/100]/changes, last+took[n-1]/changes
	}
	b.ReportMetric(float64((cpu()-used).Microseconds())/changes/1000, "cpu-ms/change")
	p.mu.Lock()
	one, _ := p.state.SnapshotFor("e000", statemachine.Position{Term: p.state.Term(), Generation: p.state.Generation() - 1})
	whole, _ := p.state.SnapshotFor("e000", statemachine.Position{Term: p.state.Term(), NeedsFull: true})
	p.mu.Unlock()
	b.ReportMetric(float64(proto.Size(one)), "bytes/change")
	b.ReportMetric(float64(proto.Size(whole)), "bytes/whole")
	b.ReportMetric(float64(half.Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(most.Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(last.Microseconds())/1000, "all-ms")
	stop()
	p, _, stop = start(b, c, Options{})
	begin = time.Now()
	lists := make([]engine.EndpointEntry, 1000)
	for i := range lists {
		lists[i] = brick(i, true)
	}
	for k := range changes {
		lists = append(lists, brick(1500+k, true))
	}
	lists = append(lists, brick(2000, true))
	list(p, 1, true, lists...)
	until(b, "in step after the restart", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.state.Phase().String() != "holding the lease" || p.state.Record(snapshot.Key{Kind: pb.Item_BRICK, Name: "b2000"}) == nil {
			return false
		}
		return reached(p.state.Generation())
	})
	b.ReportMetric(time.Since(begin).Seconds(), "restart-s")
	cancel()
	wg.Wait()
	stop()
}
