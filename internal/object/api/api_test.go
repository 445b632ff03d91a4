package api

import (
	"bufio"
	"bytes"
	"context"
	"crypto/md5"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"

	"weirhaven/internal/engine"
	"weirhaven/internal/object/gate"
	"weirhaven/internal/object/index"
)

// bricks answers commands from memory; the test may let them fail.
type fakeEngine struct {
	mu     sync.Mutex
	data   map[string][]byte
	fail   func(t *engine.Request) *engine.Response // nil: not this one
	flight int
	most   int
	gone   int
}

func (b *fakeEngine) Shards(volume string) ([]uint32, bool) {
	return []uint32{0, 1, 2}, volume == "yard" || volume == "other"
}
func (b *fakeEngine) ClientDisconnected(*engine.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone++
}
func (b *fakeEngine) Submit(t *engine.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flight++
	b.most = max(b.most, b.flight)
	go func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.flight--
		if b.fail != nil {
			if a := b.fail(t); a != nil {
				t.Respond(*a)
				return
			}
		}
		k := fmt.Sprint(t.Shard, "/", t.Object)
		if t.Class == "write" {
			b.data[k] = slices.Clone(t.Body)
		}
		t.Respond(engine.Response{Result: engine.Served, Body: b.data[k]})
	}()
	return true
}

func (b *fakeEngine) failing(f func(t *engine.Request) *engine.Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail = f
}

// held is how many extents have bytes.
func (b *fakeEngine) held() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.data {
		if len(x) > 0 {
			n++
		}
	}
	return n
}

type world struct {
	b     *fakeEngine
	g     *gate.Gate
	url   string
	s3    *s3.Client
	clock time.Duration // added to the time
}

var secret = "a secret of some length"

func start(t testing.TB) *world {
	t.Helper()
	w := &world{b: &fakeEngine{data: map[string][]byte{}}}
	x, err := index.Open(filepath.Join(t.TempDir(), "index.db"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.Close() })
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	w.g = gate.New(gate.Config{Engine: w.b, Index: x, ReadClass: "read", WriteClass: "write", ExtentBytes: 1 << 10, UnitBytes: 512, MaxInFlight: 4, UploadIdleTimeout: time.Hour, IntentTimeout: time.Minute, Log: log,
		Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) + w.clock }})
	s := httptest.NewServer(Handler(Config{Gate: w.g, Keys: Keys{"yardkey": {secret, []string{"yard"}}}, Skew: time.Minute, Requests: 64, LeastPart: 2 << 10, Log: log}))
	t.Cleanup(s.Close)
	w.url = s.URL
	w.s3 = w.client("yardkey", secret)
	return w
}

func (w *world) client(key, secret string) *s3.Client {
	return s3.New(s3.Options{BaseEndpoint: aws.String(w.url), UsePathStyle: true, Region: "here", Credentials: credentials.NewStaticCredentialsProvider(key, secret, ""),
		RetryMaxAttempts: 1, RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired, ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired})
}

var ctx = context.Background()

func (w *world) put(t testing.TB, name string, body []byte) string {
	t.Helper()
	o, err := w.s3.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("yard"), Key: aws.String(name), Body: bytes.NewReader(body), ContentType: aws.String("text/plain"),
		Metadata: map[string]string{"colour": "blue"}})
	if err != nil {
		t.Fatal(err)
	}
	return *o.ETag
}

func (w *world) get(name, span string) ([]byte, *s3.GetObjectOutput, error) {
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

func code(err error) string {
	var a smithy.APIError
	if errors.As(err, &a) {
		return a.ErrorCode()
	}
	return fmt.Sprint(err)
}

func random(n int, seed int64) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(seed)).Read(b)
	return b
}

// A real client: objects of all sizes round an extent's, heads, ranges, lists, deletes.
func TestObjects(t *testing.T) {
	w := start(t)
	for _, n := range []int{0, 1, 1023, 1024, 1025, 10000} {
		name, body := fmt.Sprintf("dir/of size %d+ü", n), random(n, int64(n))
		tag := w.put(t, name, body)
		sum := md5.Sum(body)
		if tag != `"`+hex.EncodeToString(sum[:])+`"` {
			t.Error(tag)
		}
		got, o, err := w.get(name, "")
		if err != nil || !bytes.Equal(got, body) || *o.ContentType != "text/plain" || o.Metadata["colour"] != "blue" || *o.ETag != tag {
			t.Errorf("%d: %v, %d bytes", n, err, len(got))
		}
		h, err := w.s3.HeadObject(ctx, &s3.HeadObjectInput{Bucket: aws.String("yard"), Key: aws.String(name)})
		if err != nil || *h.ContentLength != int64(n) {
			t.Error(err, h)
		}
		if n > 2000 {
			if got, o, err := w.get(name, "bytes=1000-2100"); err != nil || !bytes.Equal(got, body[1000:2101]) || *o.ContentRange != "bytes 1000-2100/10000" {
				t.Error(err, len(got))
			}
			if got, _, err := w.get(name, "bytes=-5"); err != nil || !bytes.Equal(got, body[n-5:]) {
				t.Error(err, len(got))
			}
			if _, _, err := w.get(name, "bytes=10000-"); code(err) != "InvalidRange" {
				t.Error(err)
			}
		}
	}
	for i := range 25 {
		w.put(t, fmt.Sprintf("list/%02d/x", i), []byte("x"))
	}
	var names, prefixes []string
	p := s3.NewListObjectsV2Paginator(w.s3, &s3.ListObjectsV2Input{Bucket: aws.String("yard"), MaxKeys: aws.Int32(4), Prefix: aws.String("list/")})
	for p.HasMorePages() {
		page, err := p.NextPage(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range page.Contents {
			names = append(names, *o.Key)
		}
	}
	if len(names) != 25 || !slices.IsSorted(names) {
		t.Error(names)
	}
	p = s3.NewListObjectsV2Paginator(w.s3, &s3.ListObjectsV2Input{Bucket: aws.String("yard"), MaxKeys: aws.Int32(7), Prefix: aws.String("list/"), Delimiter: aws.String("/")})
	for p.HasMorePages() {
		page, err := p.NextPage(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range page.CommonPrefixes {
			prefixes = append(prefixes, *o.Prefix)
		}
	}
	if len(prefixes) != 25 || prefixes[3] != "list/03/" {
		t.Error(prefixes)
	}
	if _, err := w.s3.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: aws.String("yard"), Key: aws.String("list/00/x")}); err != nil {
		t.Error(err)
	}
	if _, _, err := w.get("list/00/x", ""); code(err) != "NoSuchKey" {
		t.Error(err)
	}
	if _, err := w.s3.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: aws.String("yard"), Key: aws.String("never was")}); err != nil {
		t.Error(err)
	}
	if w.b.most > 4*1 {
		t.Errorf("%d extents at once, 4 are the window", w.b.most)
	}
}

// Parts in any order and together; a part put twice; what is not named is given up; ages out; the sweep leaves what is held.
func TestMultipart(t *testing.T) {
	w := start(t)
	name := aws.String("big")
	u, err := w.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: name})
	if err != nil {
		t.Fatal(err)
	}
	var whole []byte
	bodies := map[int32][]byte{}
	for n := range int32(6) {
		bodies[n+1] = random(3000, int64(n))
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	done := map[int32]types.CompletedPart{}
	for n, b := range bodies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 2 { // the second takes the first's place
				o, err := w.s3.UploadPart(ctx, &s3.UploadPartInput{Bucket: aws.String("yard"), Key: name, UploadId: u.UploadId, PartNumber: aws.Int32(n), Body: bytes.NewReader(b)})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				done[n] = types.CompletedPart{PartNumber: aws.Int32(n), ETag: o.ETag}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	l, err := w.s3.ListParts(ctx, &s3.ListPartsInput{Bucket: aws.String("yard"), Key: name, UploadId: u.UploadId, MaxParts: aws.Int32(4)})
	if err != nil || len(l.Parts) != 4 || !*l.IsTruncated {
		t.Error(err, l)
	}
	var named []types.CompletedPart
	for n := int32(1); n <= 5; n++ { // the sixth is left out
		named, whole = append(named, done[n]), append(whole, bodies[n]...)
	}
	finish := func(parts []types.CompletedPart) error {
		_, err := w.s3.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{Bucket: aws.String("yard"), Key: name, UploadId: u.UploadId,
			MultipartUpload: &types.CompletedMultipartUpload{Parts: parts}})
		return err
	}
	if err := finish([]types.CompletedPart{named[1], named[0]}); code(err) != "InvalidPartOrder" {
		t.Error(err)
	}
	if err := finish([]types.CompletedPart{{PartNumber: aws.Int32(1), ETag: aws.String("nonsense")}}); code(err) != "InvalidPart" {
		t.Error(err)
	}
	if _, _, err := w.get("big", ""); code(err) != "NoSuchKey" {
		t.Error("there before it is complete", err)
	}
	if err := finish(named); err != nil {
		t.Fatal(err)
	}
	if err := finish(named); code(err) != "NoSuchUpload" {
		t.Error(err)
	}
	if got, o, err := w.get("big", ""); err != nil || !bytes.Equal(got, whole) || !strings.HasSuffix(*o.ETag, `-5"`) {
		t.Error(err, len(got))
	}
	if got, _, err := w.get("big", "bytes=2990-3010"); err != nil || !bytes.Equal(got, whole[2990:3011]) {
		t.Error(err)
	}
	old, err := w.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String("left")})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.s3.UploadPart(ctx, &s3.UploadPartInput{Bucket: aws.String("yard"), Key: aws.String("left"), UploadId: old.UploadId, PartNumber: aws.Int32(1),
		Body: bytes.NewReader(random(5000, 9))}); err != nil {
		t.Fatal(err)
	}
	sweep := func() (removed, left int) {
		for {
			n, l, err := w.g.Sweep(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if removed += n; n == 0 {
				return removed, l
			}
		}
	}
	if removed, left := sweep(); removed != 6*3+3 || left != 0 { // six parts once more than held, and the sixth's
		t.Error(removed, left)
	}
	w.clock = 2 * time.Hour
	if removed, left := sweep(); removed != 5 || left != 0 { // the upload that was left
		t.Error(removed, left)
	}
	if got, _, err := w.get("big", ""); err != nil || !bytes.Equal(got, whole) || w.b.held() != 15 {
		t.Error(err, len(got), w.b.held())
	}
}

// raw is a request signed by nobody, to a server that asks for no signature.
func raw(t testing.TB, w *world, method, path string, body []byte, fields ...string) (*http.Response, []byte) {
	t.Helper()
	s := httptest.NewServer(Handler(Config{Gate: w.g, Requests: 64, LeastPart: 2 << 10, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	defer s.Close()
	r, err := http.NewRequest(method, s.URL+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range fields {
		k, v, _ := strings.Cut(f, ": ")
		r.Header.Set(k, v)
	}
	a, err := http.DefaultClient.Do(r)
	if errors.Is(err, io.EOF) { // before its head had left
		return &http.Response{}, []byte("BROKEN OFF")
	}
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		b = append(b, "BROKEN OFF"...)
	}
	return a, b
}

// The API's published behaviour, a row each: method, path, fields; status, and what the answer holds.
func TestConformance(t *testing.T) {
	w := start(t)
	body := random(3000, 1)
	tag := w.put(t, "a", body)
	for _, x := range []struct {
		method, path, body, fields string
		status                     int
		want                       string
	}{
		{"GET", "/yard/a", "", "", 200, string(body[:100])},
		{"GET", "/yard/none", "", "", 404, "<Code>NoSuchKey</Code>"},
		{"GET", "/nowhere/a", "", "", 404, "<Code>NoSuchBucket</Code>"},
		{"HEAD", "/yard", "", "", 200, ""},
		{"HEAD", "/nowhere", "", "", 404, ""},
		{"GET", "/yard?location", "", "", 200, "LocationConstraint"},
		{"GET", "/yard?max-keys=x", "", "", 400, "<Code>InvalidArgument</Code>"},
		{"GET", "/yard?list-type=2&continuation-token=%21", "", "", 400, "<Code>InvalidArgument</Code>"},
		{"GET", "/yard?list-type=2", "", "", 200, "<KeyCount>1</KeyCount>"},
		{"GET", "/yard?prefix=zz", "", "", 200, "<IsTruncated>false</IsTruncated>"},
		{"PUT", "/yard", "", "", 405, "<Code>MethodNotAllowed</Code>"},
		{"PATCH", "/yard/a", "", "", 405, "<Code>MethodNotAllowed</Code>"},
		{"GET", "/", "", "", 501, "<Code>NotImplemented</Code>"},
		{"GET", "/yard/a", "", "If-None-Match: " + tag, 304, ""},
		{"GET", "/yard/a", "", `If-Match: "other"`, 412, "<Code>PreconditionFailed</Code>"},
		{"GET", "/yard/a", "", "If-Modified-Since: " + time.Now().Add(time.Hour).UTC().Format(http.TimeFormat), 304, ""},
		{"GET", "/yard/a", "", "If-Unmodified-Since: " + time.Now().Add(-time.Hour).UTC().Format(http.TimeFormat), 412, ""},
		{"GET", "/yard/a", "", "Range: bytes=0-9", 206, string(body[:10])},
		{"GET", "/yard/a", "", "Range: bytes=0-9|If-Range: \"other\"", 200, string(body[:100])},
		{"GET", "/yard/a", "", "Range: bytes=5000-", 416, "<Code>InvalidRange</Code>"},
		{"GET", "/yard/a", "", "Range: bytes=0-3,2000-2003", 206, "Content-Range: bytes 2000-2003/3000"},
		{"GET", "/yard/a", "", "Range: nonsense", 200, string(body[:100])},
		{"HEAD", "/yard/a", "", "Range: bytes=0-9", 206, ""},
		{"PUT", "/yard/a", "x", "If-None-Match: *", 412, "<Code>PreconditionFailed</Code>"},
		{"PUT", "/yard/new", "x", "If-None-Match: *", 200, ""},
		{"PUT", "/yard/new", "y", "If-Match: \"9dd4e461268c8034f5c8564e155c67a6\"", 200, ""}, // the digest of x
		{"PUT", "/yard/new", "y", "If-Match: \"9dd4e461268c8034f5c8564e155c67a6\"", 412, ""},
		{"PUT", "/yard/never", "y", "If-Match: \"9dd4e461268c8034f5c8564e155c67a6\"", 404, "NoSuchKey"},
		{"PUT", "/yard/new", "x", "Content-MD5: AAAAAAAAAAAAAAAAAAAAAA==", 400, "<Code>BadDigest</Code>"},
		{"PUT", "/yard/new", "x", "Content-MD5: short", 400, "<Code>BadDigest</Code>"},
		{"GET", "/yard/new", "", "", 200, "y"},
		{"PUT", "/yard/new", "x", "x-amz-copy-source: /yard/a", 501, "NotImplemented"},
		{"PUT", "/yard/" + strings.Repeat("n", 1025), "x", "", 400, "InvalidArgument"},
		{"DELETE", "/yard/new", "", "If-Match: \"other\"", 412, ""},
		{"DELETE", "/yard/new", "", "", 204, ""},
		{"DELETE", "/yard/new", "", "", 204, ""},
		{"POST", "/yard/m?uploadId=none", "<CompleteMultipartUpload/>", "", 404, "NoSuchUpload"},
		{"POST", "/yard/m?uploadId=none", "<Complete", "", 400, "MalformedXML"},
		{"PUT", "/yard/m?uploadId=none&partNumber=1", "x", "", 404, "NoSuchUpload"},
		{"PUT", "/yard/m?uploadId=none&partNumber=0", "x", "", 400, "InvalidArgument"},
		{"PUT", "/yard/m?uploadId=none&partNumber=10001", "x", "", 400, "InvalidArgument"},
		{"GET", "/yard/m?uploadId=none", "", "", 404, "NoSuchUpload"},
		{"DELETE", "/yard/m?uploadId=none", "", "", 404, "NoSuchUpload"},
		{"GET", "/yard?uploads", "", "", 200, "ListMultipartUploadsResult"},
		{"POST", "/yard/m?uploads", "", "", 200, "<UploadId>"},
		{"GET", "/yard?uploads", "", "", 200, "<Key>m</Key>"},
		{"POST", "/yard/m", "", "", 405, "MethodNotAllowed"},
	} {
		var fields []string
		if x.fields != "" {
			fields = strings.Split(x.fields, "|")
		}
		a, b := raw(t, w, x.method, x.path, []byte(x.body), fields...)
		if a.StatusCode != x.status || !strings.Contains(string(b), x.want) {
			t.Errorf("%s %.60s %s: %d %.200q, want %d with %.60q", x.method, x.path, x.fields, a.StatusCode, b, x.status, x.want)
		}
	}
}

// Signatures: the wrong secret, an unknown key, another's bucket, a clock that is off, a changed request, a body that is not the one signed.
func TestSignatures(t *testing.T) {
	w := start(t)
	w.put(t, "a", []byte("x"))
	get := func(c *s3.Client, bucket string) string {
		_, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(bucket), Key: aws.String("a")})
		return code(err)
	}
	if c := get(w.client("yardkey", "another secret"), "yard"); c != "SignatureDoesNotMatch" {
		t.Error(c)
	}
	if c := get(w.client("nobody", secret), "yard"); c != "InvalidAccessKeyId" {
		t.Error(c)
	}
	if c := get(w.s3, "other"); c != "AccessDenied" {
		t.Error(c)
	}
	if r, err := http.Get(w.url + "/yard/a"); err != nil || r.StatusCode != 403 {
		t.Error(err, r)
	}
	// A request as it was signed, then changed on its way.
	change := func(f func(r *http.Request)) string {
		c := s3.New(w.s3.Options(), func(o *s3.Options) { o.HTTPClient = changer{f} })
		_, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("yard"), Key: aws.String("b"), Body: strings.NewReader("hello")})
		return code(err)
	}
	for what, x := range map[string]struct {
		want string
		f    func(r *http.Request)
	}{
		"nothing":  {"<nil>", func(*http.Request) {}},
		"the path": {"SignatureDoesNotMatch", func(r *http.Request) { r.URL.Path += "c" }},
		"the body": {"BadDigest", func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader("jello")) }},
		"the hash": {"SignatureDoesNotMatch", func(r *http.Request) { r.Header.Set("X-Amz-Content-Sha256", unsigned) }},
		"the time": {"RequestTimeTooSkewed", func(r *http.Request) {
			r.Header.Set("X-Amz-Date", time.Now().Add(-2*time.Minute).UTC().Format(timeFormat))
		}},
		"the query": {"SignatureDoesNotMatch", func(r *http.Request) { r.URL.RawQuery = "uploadId=1&partNumber=1" }},
	} {
		if got := change(x.f); got != x.want {
			t.Errorf("%s changed: %s, want %s", what, got, x.want)
		}
	}
	if w.b.held() != 2 { // a and b; what had another body was given up
		if n, _, err := w.g.Sweep(ctx); err != nil || n != 1 || w.b.held() != 2 {
			t.Error(n, err, w.b.held())
		}
	}
}

type changer struct{ f func(r *http.Request) }

func (c changer) Do(r *http.Request) (*http.Response, error) {
	c.f(r)
	return http.DefaultClient.Do(r)
}

// What the module decides reaches the client: a busy reply is 503 with Retry-After, an abort that may have run is told apart from one
// that can't have; nothing half done is seen; bytes that are not those written are never given out.
func TestFaults(t *testing.T) {
	w := start(t)
	body := random(5000, 2)
	w.put(t, "a", body)
	for _, x := range []struct {
		answer  engine.Response
		status  int
		code    string
		retry   string
		mayHave string
	}{
		{engine.Response{Result: engine.Rejected, RetryAfter: 2500 * time.Millisecond}, 503, "SlowDown", "3", "no"},
		{engine.Response{Result: engine.Rejected}, 503, "SlowDown", "1", "no"},
		{engine.Response{Result: engine.Failed}, 503, "ServiceUnavailable", "1", "no"},
		{engine.Response{Result: engine.Failed, MayHaveRun: true}, 500, "InternalError", "", "yes"},
	} {
		n := 0
		w.b.failing(func(*engine.Request) *engine.Response {
			if n++; n%3 == 0 {
				return &x.answer
			}
			return nil
		})
		a, b := raw(t, w, "PUT", "/yard/a", random(9000, 3))
		if a.StatusCode != x.status || !strings.Contains(string(b), x.code) || a.Header.Get("Retry-After") != x.retry || a.Header.Get("X-Weirhaven-May-Have-Run") != x.mayHave {
			t.Errorf("%+v: %d %s %v", x.answer, a.StatusCode, b, a.Header)
		}
		w.b.failing(nil)
		if got, _, err := w.get("a", ""); err != nil || !bytes.Equal(got, body) {
			t.Error("the object before is not whole any more", err)
		}
	}
	for {
		n, _, err := w.g.Sweep(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			break
		}
	}
	if w.b.held() != 5 {
		t.Errorf("%d extents have bytes, the object has 5", w.b.held())
	}
	// A read that fails before its first byte is an error; later it breaks off.
	o, err := w.g.Index().Get("yard", "a")
	if err != nil {
		t.Fatal(err)
	}
	w.b.failing(func(task *engine.Request) *engine.Response {
		if task.Object != "x/"+o.Extent[0].Id {
			return &engine.Response{Result: engine.Failed}
		}
		return nil
	})
	if _, b := raw(t, w, "GET", "/yard/a", nil); !bytes.HasSuffix(b, []byte("BROKEN OFF")) {
		t.Errorf("%d bytes came as if they were all", len(b))
	}
	w.b.failing(nil)
	w.b.mu.Lock()
	for k, x := range w.b.data { // a brick that turned bits
		if len(x) > 0 {
			w.b.data[k] = append([]byte{x[0] ^ 1}, x[1:]...)
		}
	}
	w.b.mu.Unlock()
	if a, b := raw(t, w, "GET", "/yard/a", nil); a.StatusCode != 500 || bytes.Contains(b, body[10:20]) {
		t.Errorf("%d %.80q", a.StatusCode, b)
	}
}

// A client that goes away in the middle of a write leaves nothing but loose extents, and in the middle of a read frees all.
func TestClientGoes(t *testing.T) {
	w := start(t)
	w.put(t, "a", random(64<<10, 4))
	hold := make(chan bool)
	w.b.failing(nil)
	s := httptest.NewServer(Handler(Config{Gate: w.g, Requests: 4, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	defer s.Close()
	in, out := io.Pipe()
	c, cancel := context.WithCancel(ctx)
	go func() {
		out.Write(random(10<<10, 5))
		<-hold
		cancel()
		out.CloseWithError(errors.New("gone"))
	}()
	close(hold)
	r, _ := http.NewRequestWithContext(c, "PUT", s.URL+"/yard/half", in)
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Error("answered")
	}
	s.Close() // waits for the handler
	if _, _, err := w.get("half", ""); code(err) != "NoSuchKey" {
		t.Error(err)
	}
	w.clock = 2 * time.Minute
	for {
		n, left, err := w.g.Sweep(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			if left != 0 {
				t.Errorf("%d extents are loose for ever", left)
			}
			break
		}
	}
	if w.b.held() != 64 {
		t.Errorf("%d extents have bytes", w.b.held())
	}
}

// A read goes on with what it began with, though the object is replaced and swept meanwhile: old or new whole, never mixed.
func TestReadWhileReplaced(t *testing.T) {
	w := start(t)
	before, after := random(20<<10, 1), random(20<<10, 2)
	w.put(t, "a", before)
	began, goOn := make(chan bool), make(chan bool)
	n := 0
	w.b.failing(func(task *engine.Request) *engine.Response {
		if task.Class == "read" {
			if n++; n == 6 { // in the middle
				close(began)
				w.b.mu.Unlock()
				<-goOn
				w.b.mu.Lock()
			}
		}
		return nil
	})
	got := make(chan []byte, 1)
	go func() {
		b, _, err := w.get("a", "")
		if err != nil {
			t.Error(err)
		}
		got <- b
	}()
	<-began
	w.put(t, "a", after)
	if n, _, err := w.g.Sweep(ctx); err != nil || n != 0 {
		t.Error("what is being read was swept", n, err)
	}
	close(goOn)
	if b := <-got; !bytes.Equal(b, before) {
		t.Errorf("%d bytes, the former object's: %v", len(b), bytes.Equal(b, before))
	}
	if b, _, err := w.get("a", ""); err != nil || !bytes.Equal(b, after) {
		t.Error(err)
	}
	if n, left, err := w.g.Sweep(ctx); err != nil || n != 20 || left != 0 {
		t.Error(n, left, err)
	}
}

// One part number at once with different bytes: each is answered with its own tag, one of them stands, whole.
func TestSamePartAtOnce(t *testing.T) {
	w := start(t)
	u, err := w.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String("a")})
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	tags := make([]string, 8)
	for i := range tags {
		wg.Add(1)
		go func() {
			defer wg.Done()
			o, err := w.s3.UploadPart(ctx, &s3.UploadPartInput{Bucket: aws.String("yard"), Key: aws.String("a"), UploadId: u.UploadId, PartNumber: aws.Int32(1),
				Body: bytes.NewReader(random(5000, int64(i)))})
			if err != nil {
				t.Error(err)
				return
			}
			tags[i] = *o.ETag
		}()
	}
	wg.Wait()
	stood := -1
	for i, tag := range tags {
		_, err := w.s3.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String("a"), UploadId: u.UploadId,
			MultipartUpload: &types.CompletedMultipartUpload{Parts: []types.CompletedPart{{PartNumber: aws.Int32(1), ETag: aws.String(tag)}}}})
		switch {
		case err == nil:
			stood = i
		case code(err) != "InvalidPart" && code(err) != "NoSuchUpload": // replaced, or over
			t.Error(err)
		}
	}
	if stood < 0 {
		t.Fatal("none stands")
	}
	if b, _, err := w.get("a", ""); err != nil || !bytes.Equal(b, random(5000, int64(stood))) {
		t.Error(err)
	}
	for {
		n, _, err := w.g.Sweep(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			break
		}
	}
	if w.b.held() != 5 {
		t.Errorf("%d extents have bytes", w.b.held())
	}
}

// A part whose first try is answered only after its second was: one effect each, the later answered stands, and the bytes are its own. An end
// of the upload while the second is in flight takes the first.
func TestLatePart(t *testing.T) {
	w := start(t)
	begin := func(name string) *string {
		u, err := w.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String(name)})
		if err != nil {
			t.Fatal(err)
		}
		return u.UploadId
	}
	part := func(name string, id *string, body []byte) (string, error) {
		o, err := w.s3.UploadPart(ctx, &s3.UploadPartInput{Bucket: aws.String("yard"), Key: aws.String(name), UploadId: id, PartNumber: aws.Int32(1), Body: bytes.NewReader(body)})
		if err != nil {
			return "", err
		}
		return *o.ETag, nil
	}
	end := func(name string, id *string, tag string) error {
		_, err := w.s3.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String(name), UploadId: id,
			MultipartUpload: &types.CompletedMultipartUpload{Parts: []types.CompletedPart{{PartNumber: aws.Int32(1), ETag: aws.String(tag)}}}})
		return err
	}
	// held lets the first command that is written next wait until it is let go.
	held := func() (reached, letGo chan bool) {
		reached, letGo = make(chan bool), make(chan bool)
		fired := false // under the bricks' lock
		w.b.failing(func(*engine.Request) *engine.Response {
			if !fired {
				fired = true
				close(reached)
				w.b.mu.Unlock()
				<-letGo
				w.b.mu.Lock()
			}
			return nil
		})
		return reached, letGo
	}
	one, two := random(900, 1), random(900, 2)
	id := begin("late")
	reached, letGo := held()
	first := make(chan string, 1)
	go func() {
		tag, err := part("late", id, one)
		if err != nil {
			t.Error(err)
		}
		first <- tag
	}()
	<-reached
	if _, err := part("late", id, two); err != nil {
		t.Fatal(err)
	}
	close(letGo)
	tag := <-first
	if err := end("late", id, tag); err != nil {
		t.Error(err)
	}
	if b, _, err := w.get("late", ""); err != nil || !bytes.Equal(b, one) {
		t.Error("not the bytes of the part answered last", err)
	}
	id = begin("flight")
	w.b.failing(nil)
	tag, err := part("flight", id, one)
	if err != nil {
		t.Fatal(err)
	}
	reached, letGo = held()
	second := make(chan error, 1)
	go func() {
		_, err := part("flight", id, two)
		second <- err
	}()
	<-reached
	if err := end("flight", id, tag); err != nil {
		t.Error(err)
	}
	close(letGo)
	if err := <-second; code(err) != "NoSuchUpload" {
		t.Error(err)
	}
	if b, _, err := w.get("flight", ""); err != nil || !bytes.Equal(b, one) {
		t.Error("a part in flight changed what was ended", err)
	}
	for {
		n, _, err := w.g.Sweep(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			break
		}
	}
	if w.b.held() != 2 {
		t.Errorf("%d extents have bytes", w.b.held())
	}
}

// Names with odd bytes come back as they went.
func TestOddNames(t *testing.T) {
	w := start(t)
	var all []string
	for r := rune(1); r < 0x180; r++ {
		all = append(all, "n"+string(r)+"/"+string(r)+"x")
	}
	all = append(all, "../up", "a//b", "sp ace", "pl+us", "per%cent", "q?x=y", "h#ash", "日本", "🙂")
	for _, name := range all {
		w.put(t, name, []byte(name))
		if b, _, err := w.get(name, ""); err != nil || string(b) != name {
			t.Errorf("%q: %v, %q", name, err, b)
		}
	}
}

// A length that lies: fewer bytes than announced are no object; a length that can't be is refused.
func TestLyingLength(t *testing.T) {
	w := start(t)
	s := httptest.NewServer(Handler(Config{Gate: w.g, Requests: 4, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	for _, head := range []string{"Content-Length: 5000\r\n", "Content-Length: -1\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n", "Transfer-Encoding: chunked\r\n"} {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "PUT /yard/lie HTTP/1.1\r\nHost: x\r\n%s\r\n%s", head, "bytes that are too few")
		c.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(c)
		if bytes.Contains(answer, []byte(" 200 ")) {
			t.Errorf("%q: %s", head, answer)
		}
		c.Close()
	}
	s.Close()
	if _, _, err := w.get("lie", ""); code(err) != "NoSuchKey" {
		t.Error(err)
	}
}

// A client that stands still in mid-body, or takes nothing of an answer, is cut off and frees its place; a slow one is not.
func TestStandingStill(t *testing.T) {
	w := start(t)
	w.put(t, "a", random(8<<20, 1))
	s := httptest.NewServer(Handler(Config{Gate: w.g, Requests: 1, Stall: 300 * time.Millisecond, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	defer s.Close()
	for _, what := range []string{"PUT /yard/b HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nsome", "GET /yard/a HTTP/1.1\r\nHost: x\r\n\r\n"} {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(4096)
		fmt.Fprint(c, what)
		free := false
		for end := time.Now().Add(10 * time.Second); !free && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			a, err := http.Head(s.URL + "/yard")
			free = err == nil && a.StatusCode == 200
		}
		if !free {
			t.Errorf("%.10s: the place is not free again", what)
		}
	}
	slow, out := io.Pipe()
	go func() {
		for range 10 {
			out.Write(make([]byte, 100))
			time.Sleep(50 * time.Millisecond)
		}
		out.Close()
	}()
	r, _ := http.NewRequest("PUT", s.URL+"/yard/slow", slow)
	if a, err := http.DefaultClient.Do(r); err != nil || a.StatusCode != 200 {
		t.Error(err, a)
	}
}

func FuzzSignature(f *testing.F) {
	f.Add("AWS4-HMAC-SHA256 Credential=k/20260301/here/s3/aws4_request, SignedHeaders=host;x-amz-date;x-amz-content-sha256, Signature="+strings.Repeat("0", 64), "20260301T120000Z", "/a")
	keys := Keys{"k": {"secret", []string{"*"}}}
	f.Fuzz(func(t *testing.T, auth, date, path string) {
		r, err := http.NewRequest("GET", "http://h/", nil)
		if err != nil {
			return
		}
		r.URL.Path = "/" + path
		r.Header.Set("Authorization", auth)
		r.Header.Set("X-Amz-Date", date)
		r.Header.Set("X-Amz-Content-Sha256", unsigned)
		if a, _, fault := keys.check(r, time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), time.Minute); a != nil || fault == nil {
			t.Fatalf("%q let in", auth)
		}
	})
}

// Whatever stands in the body of an upload's end, it is answered, and nothing comes to stand.
func FuzzComplete(f *testing.F) {
	f.Add([]byte("<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>x</ETag></Part></CompleteMultipartUpload>"))
	w := start(f)
	u, err := w.s3.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("yard"), Key: aws.String("f")})
	if err != nil {
		f.Fatal(err)
	}
	h := Handler(Config{Gate: w.g, Requests: 1, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	f.Fuzz(func(t *testing.T, body []byte) {
		a := httptest.NewRecorder()
		h.ServeHTTP(a, httptest.NewRequest("POST", "/yard/f?uploadId="+*u.UploadId, bytes.NewReader(body)))
		if a.Code < 400 || a.Code > 499 {
			t.Fatalf("%d for %q", a.Code, body)
		}
	})
}

func FuzzReadKeys(f *testing.F) {
	f.Add([]byte("key a-long-secret yard,other # one\n"))
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, text []byte) {
		file := filepath.Join(dir, "access")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(file)
		if err == nil && len(keys) == 0 {
			t.Fatal("no keys and no error")
		}
		for _, k := range keys {
			if len(k.secret) < 8 {
				t.Fatal("a short secret")
			}
		}
	})
}

func FuzzChunked(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\nx-amz-checksum-crc32:NhCmhg==\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		out, _ := io.ReadAll(&chunked{in: bufio.NewReaderSize(bytes.NewReader(b), 64)})
		if len(out) > len(b) {
			t.Fatal("more came out than went in")
		}
	})
}

func TestChunked(t *testing.T) {
	for in, want := range map[string]string{"5\r\nhello\r\n0\r\nx-amz-checksum-crc32:NhCmhg==\r\n\r\n": "hello <nil>", "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n": "hello <nil>",
		"5\r\nhello\r\n0\r\nx-amz-checksum-crc32:AAAAAA==\r\n\r\n": "hello BadDigest", "5\r\nhel": "hel unexpected EOF", "x\r\nhel": " IncompleteBody"} {
		b, err := io.ReadAll(&chunked{in: bufio.NewReaderSize(strings.NewReader(in), 64)})
		if got := fmt.Sprint(string(b), " ", err); !strings.HasPrefix(got, want) {
			t.Errorf("%q: %s, want %s", in, got, want)
		}
	}
}
