package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

const objectConf = `name: "h" listen: "127.0.0.1:0" hosts: 1
fleet { max_dispatches: 3 resolution: "10ms" usual_units: 4 most_units: 64 cancel: true max_pause: "1s" }
queue_type { name: "get" service_target: "500ms" command_timeout: "5s" importance: 1 }
queue_type { name: "put" service_target: "500ms" command_timeout: "5s" importance: 1 semantics: TAGGED group: CELL tag_window: "10s" writes: true }
plan { name: "plain" nominal: 100000 weight: 1 }
volume { name: "yard" plan: "plain" hosts: 1 }
`

// startEndpoints starts n endpoints that store objects, and returns their settings.
func startEndpoints(t testing.TB, n int) (text string, all []*storagenode.Node) {
	t.Helper()
	for i := range n {
		b, err := storagenode.Start(storagenode.Config{Name: fmt.Sprint("b", i), Zone: "n", Address: "127.0.0.1:0", Shard: i, Speed: 1, Seed: int64(i), IdempotencyWindow: 10 * time.Second,
			Kind: &pb.BrickKind{Name: "k", UnitWork: "20us", Queue: 10000}, WriteClasses: map[string]bool{"put": true}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Stop)
		text += fmt.Sprintf("brick { name: %q address: %q cell: %d }\n", b.Name(), b.Address(), i)
		all = append(all, b)
	}
	return text, all
}

func startObjectGateway(t testing.TB, text string) (url string, stop func()) {
	t.Helper()
	e, err := settings.ParseGateway("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan string, 1), make(chan error, 1)
	go func() {
		done <- Run(ctx, e, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Objects: func(a string) { ready <- a }})
	}()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(stop)
	select {
	case a := <-ready:
		return "http://" + a, stop
	case err := <-done:
		t.Fatal(err)
		return "", nil
	}
}

func s3Client(url, key, secret string) *s3.Client {
	return s3.New(s3.Options{BaseEndpoint: aws.String(url), UsePathStyle: true, Region: "here", Credentials: credentials.NewStaticCredentialsProvider(key, secret, "")})
}

// putObject writes an object. It retries, because a gateway that has just started may not know an endpoint yet.
func putObject(t testing.TB, c *s3.Client, name string, body []byte) {
	t.Helper()
	var err error
	for range 20 {
		if _, err = c.PutObject(context.Background(), &s3.PutObjectInput{Bucket: aws.String("yard"), Key: aws.String(name), Body: bytes.NewReader(body)}); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal(err)
}

// An S3 client writes an object through the gateway to endpoints and reads it before and after a restart of the gateway. Invalid object
// settings prevent the start.
func TestObjectsEndToEnd(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "access"), []byte("# yard programs\nyardkey a-secret-of-some-length yard\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	endpoints, _ := startEndpoints(t, 3)
	text := objectConf + endpoints + fmt.Sprintf("objects { listen: \"127.0.0.1:0\" index: %q access: %q read_type: \"get\" write_type: \"put\" extent: 65536 }\n",
		filepath.Join(dir, "index.db"), filepath.Join(dir, "access"))
	url, stop := startObjectGateway(t, text)
	c := s3Client(url, "yardkey", "a-secret-of-some-length")
	body := make([]byte, 1<<20+12345)
	rand.New(rand.NewSource(1)).Read(body)
	putObject(t, c, "big one", body)
	check := func(c *s3.Client) {
		t.Helper()
		o, err := c.GetObject(context.Background(), &s3.GetObjectInput{Bucket: aws.String("yard"), Key: aws.String("big one")})
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(o.Body)
		o.Body.Close()
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("%v, %d bytes of %d", err, len(got), len(body))
		}
		o, err = c.GetObject(context.Background(), &s3.GetObjectInput{Bucket: aws.String("yard"), Key: aws.String("big one"), Range: aws.String("bytes=65000-200000")})
		if err != nil {
			t.Fatal(err)
		}
		got, err = io.ReadAll(o.Body)
		o.Body.Close()
		if err != nil || !bytes.Equal(got, body[65000:200001]) {
			t.Fatal(err)
		}
	}
	check(c)
	stop()
	url, _ = startObjectGateway(t, text)
	time.Sleep(300 * time.Millisecond)
	check(s3Client(url, "yardkey", "a-secret-of-some-length"))
	for _, bad := range []string{"access: \"none\"", "read_type: \"put\"", "extent: 16000000", "listen: \"0.0.0.0:0\""} {
		e, err := settings.ParseGateway("test", []byte(objectConf+"objects { index: \"x\" "+map[bool]string{true: "", false: `listen: "127.0.0.1:0" `}[bad[0] == 'l']+
			map[bool]string{true: "", false: `read_type: "get" `}[bad[0] == 'r']+`write_type: "put" `+bad+" }"))
		if err == nil {
			e.Objects.Index = filepath.Join(dir, "other.db")
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			err = Run(ctx, e, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			cancel()
		}
		if err == nil {
			t.Errorf("the gateway started with the invalid setting %s", bad)
		}
	}
}

// zeros is a reader of left zero bytes that allocates nothing.
type zeros struct{ left int64 }

func (z *zeros) Read(b []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(b)), z.left)
	clear(b[:n])
	z.left -= n
	return int(n), nil
}

// startDiscardingEndpoint starts an endpoint that stores nothing and responds at once, so that memory growth is the
// gateway's own.
func startDiscardingEndpoint(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				serveDiscarding(nc)
			}()
		}
	}()
	return fmt.Sprintf("brick { name: \"sink\" address: %q cell: 0 }\n", l.Addr())
}

// startStoringEndpoint starts an endpoint that stores objects and does no other work.
func startStoringEndpoint(t testing.TB) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	data := &sync.Map{}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				r := lineproto.NewReader(nc, 1<<20)
				if _, err := lineproto.Greet(nc, r, "brick", "store", 5*time.Second, nil); err != nil {
					return
				}
				for {
					m, err := r.Read()
					if err != nil {
						return
					}
					body := m.Body
					if m.Get("Queue-Type") == "put" {
						data.Store(m.Get("Object"), body)
						body = nil
					} else if x, ok := data.Load(m.Get("Object")); ok {
						body = x.([]byte)
					}
					var o lineproto.Builder
					if _, err := nc.Write(o.Start(lineproto.VerbServed, m.ID).End(body).Buffer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// BenchmarkObjects transfers objects through the gateway over HTTP and, for comparison, the same bytes in the same extents directly to
// the endpoint on one connection, one request at a time.
func BenchmarkObjects(b *testing.B) {
	address := startStoringEndpoint(b)
	url, _ := startObjectGateway(b, objectConf+fmt.Sprintf("brick { name: \"store\" address: %q cell: 0 }\nobjects { listen: \"127.0.0.1:0\" index: %q read_type: \"get\" write_type: \"put\" }\n",
		address, filepath.Join(b.TempDir(), "i.db")))
	time.Sleep(1200 * time.Millisecond)
	nc, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer nc.Close()
	r := lineproto.NewReader(nc, 1<<20)
	if _, err := lineproto.Greet(nc, r, "host", "straight", 5*time.Second, nil); err != nil {
		b.Fatal(err)
	}
	const extent = 256 << 10
	direct := func(put bool, name string, body []byte) {
		for at := 0; at < len(body); at += extent {
			piece, q := body[at:min(at+extent, len(body))], "put"
			if !put {
				piece, q = nil, "get"
			}
			var o lineproto.Builder
			if _, err := nc.Write(o.Start(lineproto.VerbRequest, uint64(at+1)).Text("Volume", "yard").Text("Queue-Type", q).Text("Object", fmt.Sprint(name, at)).End(piece).Buffer); err != nil {
				b.Fatal(err)
			}
			if _, err := r.Read(); err != nil {
				b.Fatal(err)
			}
		}
	}
	through := func(put bool, name string, body []byte) {
		method, in := "GET", io.Reader(nil)
		if put {
			method, in = "PUT", bytes.NewReader(body)
		}
		q, err := http.NewRequest(method, url+"/yard/"+name, in)
		if err != nil {
			b.Fatal(err)
		}
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, a.Body)
		a.Body.Close()
		if err != nil || a.StatusCode != 200 || !put && n != int64(len(body)) {
			b.Fatal(a.Status, n, err)
		}
	}
	for _, size := range []int{4 << 10, 1 << 20, 64 << 20} {
		body := make([]byte, size)
		rand.New(rand.NewSource(1)).Read(body)
		for _, put := range []bool{true, false} {
			for _, way := range []struct {
				name string
				f    func(put bool, name string, body []byte)
			}{{"http", through}, {"straight", direct}} {
				b.Run(fmt.Sprintf("%dKiB/put=%v/%s", size>>10, put, way.name), func(b *testing.B) {
					way.f(true, "o", body)
					h := hdrhistogram.New(1, 60e6, 3)
					b.SetBytes(int64(size))
					b.ReportAllocs()
					for b.Loop() {
						start := time.Now()
						way.f(put, "o", body)
						h.RecordValue(time.Since(start).Microseconds())
					}
					b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
					b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
				})
			}
		}
	}
}

// BenchmarkSlowUploads measures the memory held by stalled uploads of which a little was sent. The environment variable UPLOADS sets
// their number.
func BenchmarkSlowUploads(b *testing.B) {
	n := 1000
	fmt.Sscan(os.Getenv("UPLOADS"), &n)
	url, _ := startObjectGateway(b, objectConf+startDiscardingEndpoint(b)+fmt.Sprintf("objects { listen: \"127.0.0.1:0\" index: %q read_type: \"get\" write_type: \"put\" requests: 5000 }\n",
		filepath.Join(b.TempDir(), "i.db")))
	time.Sleep(1200 * time.Millisecond)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var all []net.Conn
		for i := range n {
			c, err := net.Dial("tcp", url[len("http://"):])
			if err != nil {
				b.Fatal(err)
			}
			fmt.Fprintf(c, "PUT /yard/slow%d HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n%s", i, make([]byte, 4000))
			all = append(all, c)
		}
		time.Sleep(500 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/float64(n)/1024, "KiB/upload")
		for _, c := range all {
			c.Close()
		}
	}
}

// BenchmarkLargePart uploads a body far larger than the window of extents that the gateway holds in memory. The environment variable
// PART sets its size in bytes.
func BenchmarkLargePart(b *testing.B) {
	size := int64(256 << 20)
	fmt.Sscan(os.Getenv("PART"), &size)
	url, _ := startObjectGateway(b, objectConf+startDiscardingEndpoint(b)+fmt.Sprintf("objects { listen: \"127.0.0.1:0\" index: %q read_type: \"get\" write_type: \"put\" }\n", filepath.Join(b.TempDir(), "i.db")))
	time.Sleep(1200 * time.Millisecond)
	for b.Loop() {
		var most, before runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		stop, done := make(chan bool), make(chan bool)
		peak := uint64(0)
		go func() {
			defer close(done)
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					runtime.ReadMemStats(&most)
					peak = max(peak, most.HeapInuse)
				case <-stop:
					return
				}
			}
		}()
		start := time.Now()
		r, err := http.NewRequest("PUT", url+"/yard/large", &zeros{size})
		if err != nil {
			b.Fatal(err)
		}
		r.ContentLength = size
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, a.Body)
		a.Body.Close()
		if a.StatusCode != 200 {
			b.Fatal(a.Status)
		}
		close(stop)
		<-done
		b.ReportMetric(float64(size)/time.Since(start).Seconds()/(1<<20), "MiB/s")
		b.ReportMetric(float64(peak-min(peak, before.HeapInuse))/(1<<20), "peak-MiB")
	}
}

func serveDiscarding(nc net.Conn) {
	r := lineproto.NewReader(nc, 1<<20)
	if _, err := lineproto.Greet(nc, r, "brick", "sink", 5*time.Second, nil); err != nil {
		return
	}
	for {
		m, err := r.Read()
		if err != nil {
			return
		}
		var o lineproto.Builder
		if _, err := nc.Write(o.Start(lineproto.VerbServed, m.ID).End(nil).Buffer); err != nil {
			return
		}
	}
}
