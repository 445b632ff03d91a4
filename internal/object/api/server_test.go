package api

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
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"

	"weirhaven/internal/engine"
	"weirhaven/internal/object/gate"
	"weirhaven/internal/object/index"
)

// fakeEngine serves requests from memory. Tests can make requests fail with setFailure.
type fakeEngine struct {
	mu           sync.Mutex
	data         map[string][]byte
	failure      func(request *engine.Request) *engine.Response // returns the response to a request; nil function or result: served from data
	inFlight     int
	maxInFlight  int
	disconnected int
}

func (b *fakeEngine) Shards(volume string) ([]uint32, bool) {
	return []uint32{0, 1, 2}, volume == "yard" || volume == "other"
}

func (b *fakeEngine) ClientDisconnected(*engine.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disconnected++
}

func (b *fakeEngine) Submit(request *engine.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	b.maxInFlight = max(b.maxInFlight, b.inFlight)
	go func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inFlight--
		if b.failure != nil {
			if a := b.failure(request); a != nil {
				request.Respond(*a)
				return
			}
		}
		k := fmt.Sprint(request.Shard, "/", request.Object)
		if request.Class == "write" {
			b.data[k] = slices.Clone(request.Body)
		}
		request.Respond(engine.Response{Result: engine.Served, Body: b.data[k]})
	}()
	return true
}

// setFailure sets a function that returns the response to a request; if it returns nil, the request is served. A nil function serves all
// requests. failure is called with b.mu locked.
func (b *fakeEngine) setFailure(failure func(request *engine.Request) *engine.Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failure = failure
}

// storedExtents returns the number of extents that are not empty.
func (b *fakeEngine) storedExtents() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.data {
		if len(x) > 0 {
			n++
		}
	}
	return n
}

// testServer is an HTTP server of the object API with a fakeEngine, and a client that signs its requests.
type testServer struct {
	engine      *fakeEngine
	gate        *gate.Gate
	url         string
	s3          *s3.Client
	clockOffset time.Duration // added to the gate's clock
}

var secret = "a secret of some length"

func startServer(t testing.TB) *testServer {
	t.Helper()
	server := &testServer{engine: &fakeEngine{data: map[string][]byte{}}}
	idx, err := index.Open(filepath.Join(t.TempDir(), "index.db"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { idx.Close() })
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	server.gate = gate.New(gate.Config{Engine: server.engine, Index: idx, ReadClass: "read", WriteClass: "write", ExtentBytes: 1 << 10, UnitBytes: 512, MaxInFlight: 4, UploadIdleTimeout: time.Hour, IntentTimeout: time.Minute, Log: log,
		Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) + server.clockOffset }})
	httpServer := httptest.NewServer(Handler(Config{Gate: server.gate, Keys: Keys{"yardkey": {secret, []string{"yard"}}}, MaxClockSkew: time.Minute, MaxRequests: 64, MinPartBytes: 2 << 10, Log: log}))
	t.Cleanup(httpServer.Close)
	server.url = httpServer.URL
	server.s3 = server.client("yardkey", secret)
	return server
}

func (w *testServer) client(key, secret string) *s3.Client {
	return s3.New(s3.Options{BaseEndpoint: aws.String(w.url), UsePathStyle: true, Region: "here", Credentials: credentials.NewStaticCredentialsProvider(key, secret, ""),
		RetryMaxAttempts: 1, RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired, ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired})
}

var ctx = context.Background()

func (w *testServer) put(t testing.TB, name string, body []byte) string {
	t.Helper()
	o, err := w.s3.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("yard"), Key: aws.String(name), Body: bytes.NewReader(body), ContentType: aws.String("text/plain"),
		Metadata: map[string]string{"colour": "blue"}})
	if err != nil {
		t.Fatal(err)
	}
	return *o.ETag
}

func (w *testServer) get(name, span string) ([]byte, *s3.GetObjectOutput, error) {
	in := &s3.GetObjectInput{Bucket: aws.String("yard"), Key: aws.String(name)}
	if span != "" {
		in.Range = aws.String(span)
	}
	o, err := w.s3.GetObject(ctx, in)
	if err != nil {
		return nil, nil, err
	}
	defer o.Body.Close()
	b, err := io.ReadAll(o.Body)
	return b, o, err
}

func errorCode(err error) string {
	var a smithy.APIError
	if errors.As(err, &a) {
		return a.ErrorCode()
	}
	return fmt.Sprint(err)
}

func randomBytes(n int, seed int64) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(seed)).Read(b)
	return b
}

// rawRequest sends an unsigned request to a server that requires no signatures. If the response is cut short, the returned content ends
// with "BROKEN OFF".
func rawRequest(t testing.TB, server *testServer, method, path string, body []byte, fields ...string) (*http.Response, []byte) {
	t.Helper()
	httpServer := httptest.NewServer(Handler(Config{Gate: server.gate, MaxRequests: 64, MinPartBytes: 2 << 10, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	defer httpServer.Close()
	request, err := http.NewRequest(method, httpServer.URL+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range fields {
		k, v, _ := strings.Cut(f, ": ")
		request.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(request)
	if errors.Is(err, io.EOF) { // the connection was closed before the response's header was sent
		return &http.Response{}, []byte("BROKEN OFF")
	}
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		content = append(content, "BROKEN OFF"...)
	}
	return response, content
}
