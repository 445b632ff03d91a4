package api

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
)

// Guards against accepting a request that is unsigned, is signed with a wrong secret or an unknown key, is for a bucket that the key may
// not access, or was changed after it was signed: its path, body, digest, time or query.
func TestSignatures(t *testing.T) {
	server := startServer(t)
	server.put(t, "a", []byte("x"))
	get := func(c *s3.Client, bucket string) string {
		_, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(bucket), Key: aws.String("a")})
		return errorCode(err)
	}
	if c := get(server.client("yardkey", "another secret"), "yard"); c != "SignatureDoesNotMatch" {
		t.Error(c)
	}
	if c := get(server.client("nobody", secret), "yard"); c != "InvalidAccessKeyId" {
		t.Error(c)
	}
	if c := get(server.s3, "other"); c != "AccessDenied" {
		t.Error(c)
	}
	if r, err := http.Get(server.url + "/yard/a"); err != nil || r.StatusCode != 403 {
		t.Error(err, r)
	}
	// put sends a PUT request that f changes after it was signed, and returns the error code.
	put := func(f func(r *http.Request)) string {
		c := s3.New(server.s3.Options(), func(o *s3.Options) { o.HTTPClient = tamperingClient{f} })
		_, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("yard"), Key: aws.String("b"), Body: strings.NewReader("hello")})
		return errorCode(err)
	}
	for tampered, c := range map[string]struct {
		want string
		f    func(r *http.Request)
	}{
		"nothing":  {"<nil>", func(*http.Request) {}},
		"the path": {"SignatureDoesNotMatch", func(r *http.Request) { r.URL.Path += "c" }},
		"the body": {"BadDigest", func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader("jello")) }},
		"the hash": {"SignatureDoesNotMatch", func(r *http.Request) { r.Header.Set("X-Amz-Content-Sha256", unsignedPayload) }},
		"the time": {"RequestTimeTooSkewed", func(r *http.Request) {
			r.Header.Set("X-Amz-Date", time.Now().Add(-2*time.Minute).UTC().Format(timeFormat))
		}},
		"the query": {"SignatureDoesNotMatch", func(r *http.Request) { r.URL.RawQuery = "uploadId=1&partNumber=1" }},
	} {
		if got := put(c.f); got != c.want {
			t.Errorf("%s changed: %s, want %s", tampered, got, c.want)
		}
	}
	if server.engine.storedExtents() != 2 { // the extents of a and b; the extent of the request with the changed body is abandoned
		if n, _, err := server.gate.Sweep(ctx); err != nil || n != 1 || server.engine.storedExtents() != 2 {
			t.Error(n, err, server.engine.storedExtents())
		}
	}
}

type tamperingClient struct{ tamper func(r *http.Request) }

func (c tamperingClient) Do(r *http.Request) (*http.Response, error) {
	c.tamper(r)
	return http.DefaultClient.Do(r)
}

// Guards against accepting a request whose Authorization header has no valid signature.
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
		r.Header.Set("X-Amz-Content-Sha256", unsignedPayload)
		if a, _, fault := keys.authenticate(r, time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), time.Minute); a != nil || fault == nil {
			t.Fatalf("request accepted with Authorization %q", auth)
		}
	})
}
