package gateway

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

const benchmarkConf = `name: "h" listen: "127.0.0.1:0" hosts: 1 ordinal: 0
fleet { max_dispatches: 3 resolution: "5ms" usual_units: 1 most_units: 8 cancel: true }
queue_type { name: "read" service_target: "400ms" command_timeout: "2s" importance: 1 }
plan { name: "plain" nominal: 100 weight: 1 }
volume { name: "v" plan: "plain" hosts: 1 }
bounds { commands_a_connection: 100000 loop_queue: 100000 brick_queue: 100000 }
`

func startIdleEndpoints(b *testing.B, n int) (more string, first string) {
	for i := range n {
		x, err := storagenode.Start(storagenode.Config{Name: fmt.Sprint("b", i), Address: "127.0.0.1:0", Shard: i, Speed: 1,
			Kind: &pb.BrickKind{UnitWork: "0s", Queue: 1 << 20}, WriteClasses: map[string]bool{}})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(x.Stop)
		more += fmt.Sprintf("brick { name: %q address: %q cell: %d }\n", x.Name(), x.Address(), i)
		if i == 0 {
			first = x.Address()
		}
	}
	return more, first
}

// sendRequests sends n requests over conns connections and returns the latencies in microseconds. flight is the maximum number of
// requests in flight on a connection; rate is the total number of requests per second (0: as fast as flight allows).
func sendRequests(b *testing.B, address, role string, n, conns, flight, cells int, rate float64) *hdrhistogram.Histogram {
	b.Helper()
	var mu sync.Mutex
	all := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	var wg sync.WaitGroup
	for k := range conns {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		r := lineproto.NewConnReader(nc, 1<<20, 0, 0)
		if _, err := lineproto.Greet(nc, r, role, "bench", time.Second, nil); err != nil {
			b.Fatal(err)
		}
		s := lineproto.NewSender(64<<20, 0)
		s.Start(nc)
		mine := n / conns
		sent := make([]time.Time, mine+1)
		var guard sync.Mutex
		slots := make(chan bool, flight)
		wg.Add(2)
		go func() {
			defer wg.Done()
			begin := time.Now()
			for i := 1; i <= mine; i++ {
				if rate > 0 {
					if wait := time.Until(begin.Add(time.Duration(float64(i) * float64(conns) / rate * 1e9))); wait > 0 {
						time.Sleep(wait)
					}
				}
				slots <- true
				var o lineproto.Builder
				o.Buffer = make([]byte, 0, 128)
				o.Start(lineproto.VerbRequest, uint64(i)).Text("Volume", "v").Text("Queue-Type", "read").Int("Cell", int64((i+k)%cells)).End(nil)
				guard.Lock()
				sent[i] = time.Now()
				guard.Unlock()
				s.Send(o.Buffer)
			}
		}()
		go func() {
			defer wg.Done()
			h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
			for range mine {
				m, err := r.Read()
				if err != nil || m.Verb != lineproto.VerbServed {
					b.Errorf("%v %v", m, err)
					break
				}
				guard.Lock()
				h.RecordValue(max(time.Since(sent[m.ID]).Microseconds(), 1))
				guard.Unlock()
				<-slots
			}
			mu.Lock()
			all.Merge(h)
			mu.Unlock()
			nc.Close()
		}()
	}
	wg.Wait()
	return all
}

// BenchmarkThrough measures requests per second through one gateway to endpoints that do no work, and for comparison the same client
// connected directly to one endpoint. Client, gateway and endpoints share a process.
func BenchmarkThrough(b *testing.B) {
	more, direct := startIdleEndpoints(b, 8)
	address, _ := startGatewayWithSettings(b, benchmarkConf+more)
	capturing, _ := startGatewayWithSettings(b, benchmarkConf+more+fmt.Sprintf("capture { folder: %q on: true }\n", b.TempDir()))
	for _, c := range []struct{ name, address, role string }{{"host", address, "client"}, {"capturing", capturing, "client"}, {"straight", direct, "host"}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			n := max(b.N, 64)
			start := time.Now()
			sendRequests(b, c.address, c.role, n, 4, 128, 8, 0)
			b.ReportMetric(float64(n)/time.Since(start).Seconds(), "commands/s")
		})
	}
}

// BenchmarkAdded measures the latency that the gateway adds at a constant rate, as a difference and as a ratio. The environment
// variable RATE sets the requests per second.
func BenchmarkAdded(b *testing.B) {
	rate := 20000.0
	fmt.Sscan(os.Getenv("RATE"), &rate)
	more, straight := startIdleEndpoints(b, 8)
	address, _ := startGatewayWithSettings(b, benchmarkConf+more)
	for b.Loop() {
		n := int(rate) * 2
		through := sendRequests(b, address, "client", n, 4, 4096, 8, rate)
		direct := sendRequests(b, straight, "host", n, 4, 4096, 8, rate)
		for _, q := range []float64{50, 99} {
			x, y := float64(through.ValueAtQuantile(q)), float64(direct.ValueAtQuantile(q))
			b.ReportMetric(x-y, fmt.Sprintf("added-p%v-us", q))
			b.ReportMetric(x/y, fmt.Sprintf("p%v-ratio", q))
		}
	}
}
