package client_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"weirhaven/client"
	"weirhaven/internal/engine"
	"weirhaven/internal/object/api"
	"weirhaven/internal/object/gate"
	"weirhaven/internal/object/index"
)

// fakeEngine serves engine requests from memory.
type fakeEngine struct{ data sync.Map }

func (e *fakeEngine) Shards(volume string) ([]uint32, bool) { return []uint32{0}, volume == "yard" }
func (e *fakeEngine) ClientDisconnected(*engine.Request)    {}
func (e *fakeEngine) Submit(request *engine.Request) bool {
	if request.Class == "put" {
		e.data.Store(request.Object, bytes.Clone(request.Body))
	}
	stored, _ := e.data.Load(request.Object)
	body, _ := stored.([]byte)
	go request.Respond(engine.Response{Result: engine.Served, Body: body})
	return true
}

// startGateway starts a server of the object API and returns a client for it. intercept is called before each request; if it returns true,
// it has sent the response itself. A nil intercept intercepts nothing.
func startGateway(dir string, intercept func(w http.ResponseWriter, r *http.Request) bool) (c *client.Client, stop func(), err error) {
	idx, err := index.Open(filepath.Join(dir, "index.db"))
	if err != nil {
		return nil, nil, err
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	file := filepath.Join(dir, "access")
	if err := os.WriteFile(file, []byte("key a-long-secret yard\n"), 0o600); err != nil {
		return nil, nil, err
	}
	keys, err := api.ReadKeys(file)
	if err != nil {
		return nil, nil, err
	}
	handler := api.Handler(api.Config{Keys: keys, MaxClockSkew: time.Minute, MaxRequests: 32, MinPartBytes: 1000, Log: log, Gate: gate.New(gate.Config{Engine: &fakeEngine{}, Index: idx, ReadClass: "get",
		WriteClass: "put", ExtentBytes: 4096, UnitBytes: 4096, MaxInFlight: 4, Log: log, Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }})})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if intercept == nil || !intercept(w, r) {
			handler.ServeHTTP(w, r)
		}
	}))
	c, err = client.New(client.Config{Endpoint: server.URL, Key: "key", Secret: "a-long-secret"})
	return c, func() { server.Close(); idx.Close() }, err
}

func Example() {
	dir, _ := os.MkdirTemp("", "weirhaven")
	defer os.RemoveAll(dir)
	c, stop, err := startGateway(dir, nil) // for a running gateway, use client.New(client.Config{Endpoint: ...})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stop()
	ctx := context.Background()
	text := strings.NewReader("all quiet on the weir")
	if _, err := c.Put(ctx, "yard", "log/today", text, text.Size(), client.PutOptions{ContentType: "text/plain"}); err != nil {
		fmt.Println(err)
		return
	}
	_, body, err := c.Get(ctx, "yard", "log/today", -4, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer body.Close()
	last, _ := io.ReadAll(body)
	fmt.Printf("%s\n", last)
	for o, err := range c.List(ctx, "yard", "log/", "/") {
		fmt.Println(o.Name, o.Size, err)
	}
	_, err = c.Head(ctx, "yard", "log/yesterday")
	fmt.Println(client.NotFound(err))
	// Output:
	// weir
	// log/today 21 <nil>
	// true
}

// Guards against retries before Retry-After and against incomplete objects after retries. Parts are uploaded in parallel; one in four
// requests is rejected with a Retry-After, and one in four loses its connection.
func TestPartsAreRetried(t *testing.T) {
	var requests, early atomic.Int64
	var mu sync.Mutex
	retryAt := map[string]time.Time{}
	c, stop, err := startGateway(t.TempDir(), func(w http.ResponseWriter, r *http.Request) bool {
		part := r.URL.Query().Get("partNumber")
		if part == "" {
			return false
		}
		n := requests.Add(1)
		mu.Lock()
		defer mu.Unlock()
		if earliest, ok := retryAt[part]; ok && time.Now().Before(earliest) {
			early.Add(1)
		}
		switch n % 4 {
		case 1:
			retryAt[part] = time.Now().Add(time.Second)
			w.Header().Set("Retry-After", "1")
			w.Header().Set("X-Weirhaven-May-Have-Run", "no")
			w.WriteHeader(503)
			return true
		case 2:
			panic(http.ErrAbortHandler)
		}
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	body := make([]byte, 50000)
	rand.New(rand.NewSource(1)).Read(body)
	progress := int64(0)
	ctx := context.Background()
	etag, err := c.Put(ctx, "yard", "a b/ü", bytes.NewReader(body), int64(len(body)), client.PutOptions{Part: 8000, Parallel: 3, Meta: map[string]string{"from": "crane 4"},
		Progress: func(done int64) { progress = max(progress, done) }})
	if err != nil || !strings.HasSuffix(etag, "-7") || progress != 50000 || early.Load() > 0 {
		t.Fatal(etag, err, progress, early.Load())
	}
	info, in, err := c.Get(ctx, "yard", "a b/ü", 0, 0)
	if err != nil || info.Meta["from"] != "crane 4" || info.Size != 50000 {
		t.Fatal(err, info)
	}
	got, err := io.ReadAll(in)
	in.Close()
	if err != nil || !bytes.Equal(got, body) {
		t.Error(err, len(got))
	}
	if _, in, err = c.Get(ctx, "yard", "a b/ü", 7990, 20); err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(in); !bytes.Equal(got, body[7990:8010]) {
		t.Errorf("%q", got)
	}
	var e *client.Error
	if _, err := c.Put(ctx, "yard", "a b/ü", bytes.NewReader(body), 10, client.PutOptions{OnlyNew: true}); !errors.As(err, &e) || e.Code != "PreconditionFailed" {
		t.Error(err)
	}
	if err := c.Delete(ctx, "yard", "a b/ü"); err != nil {
		t.Error(err)
	}
	if _, _, err := c.Get(ctx, "yard", "a b/ü", 0, 0); !client.NotFound(err) {
		t.Error(err)
	}
}

// Guards against retrying a request that is not idempotent. The gateway responds that the request may have run: completing an upload and a
// put with OnlyNew must not be retried, a put without a condition must be.
func TestNonIdempotentRequestsAreNotRetried(t *testing.T) {
	var completions, firstPuts, puts atomic.Int64
	c, stop, err := startGateway(t.TempDir(), func(w http.ResponseWriter, r *http.Request) bool {
		switch {
		case r.Method == "POST" && r.URL.Query().Has("uploadId"):
			completions.Add(1)
		case r.Method == "PUT" && r.Header.Get("If-None-Match") != "":
			firstPuts.Add(1)
		case r.Method == "PUT" && !r.URL.Query().Has("partNumber"):
			if puts.Add(1) > 1 {
				return false
			}
		default:
			return false
		}
		w.Header().Set("X-Weirhaven-May-Have-Run", "yes")
		w.WriteHeader(500)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	ctx := context.Background()
	body := bytes.NewReader(make([]byte, 5000))
	var e *client.Error
	if _, err := c.Put(ctx, "yard", "a", body, 5000, client.PutOptions{Part: 2000}); !errors.As(err, &e) || !e.MayHaveRun || completions.Load() != 1 {
		t.Error(err, completions.Load())
	}
	if _, err := c.Put(ctx, "yard", "b", body, 5000, client.PutOptions{OnlyNew: true}); !errors.As(err, &e) || !e.MayHaveRun || firstPuts.Load() != 1 {
		t.Error(err, firstPuts.Load())
	}
	if _, err := c.Put(ctx, "yard", "c", body, 5000, client.PutOptions{}); err != nil || puts.Load() != 2 {
		t.Error(err, puts.Load())
	}
	if _, err := client.New(client.Config{Endpoint: "nonsense"}); err == nil {
		t.Error("an invalid endpoint was accepted")
	}
}
