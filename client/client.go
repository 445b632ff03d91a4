// Package client reaches the object API of weirhaven hosts (and others of its form): objects, ranges, lists, multipart uploads with
// parts in parallel, repeats that heed what the host says.
//
// Repeats. A busy reply (503) never ran: it is asked again after the host's Retry-After. What may have run (500) is asked again only
// where a second time changes nothing: reads, lists, parts, deletes, and puts without a condition. The end of an upload is not; there
// the error says that it may have happened.
package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"iter"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
	"golang.org/x/sync/errgroup"
)

// Config is a client's.
type Config struct {
	Endpoint    string // such as http://127.0.0.1:8600
	Key, Secret string // empty: nothing is signed
	Region      string // in signatures; empty: "weirhaven"
	HTTP        *http.Client
	// Repeats of one request at most, and the longest wait between two; 0: 5, and 30 s.
	Repeats int
	Wait    time.Duration
}

// Client is safe for concurrent use.
type Client struct {
	c      Config
	base   *url.URL
	signer *v4.Signer
}

// New makes one.
func New(c Config) (*Client, error) {
	u, err := url.Parse(c.Endpoint)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("endpoint %q: wanted something like http://127.0.0.1:8600", c.Endpoint)
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	if c.Region == "" {
		c.Region = "weirhaven"
	}
	if c.Repeats == 0 {
		c.Repeats = 5
	}
	if c.Wait == 0 {
		c.Wait = 30 * time.Second
	}
	return &Client{c, u, v4.NewSigner(func(o *v4.SignerOptions) { o.DisableURIPathEscaping = true })}, nil
}

// Error is what a host answered.
type Error struct {
	Status        int
	Code, Message string
	MayHaveRun    bool          // what was asked for may have happened
	After         time.Duration // when to come back; 0: it did not say
}

func (e *Error) Error() string { return fmt.Sprintf("%d %s: %s", e.Status, e.Code, e.Message) }

// NotFound tells whether an error says that there is no such object.
func NotFound(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == http.StatusNotFound
}

// request is one that may be asked again.
type request struct {
	method, volume, name string
	query                url.Values
	header               http.Header
	body                 func() io.Reader // nil: none; anew for each try
	size                 int64
	digest               string // of the body, SHA-256 in hex; empty: not signed
	once                 bool   // what may have run must not run again
}

func escape(p string) string { return strings.ReplaceAll(url.PathEscape(p), "%2F", "/") }

func (c *Client) do(ctx context.Context, q *request) (*http.Response, error) {
	for try := 0; ; try++ {
		a, err := c.try(ctx, q)
		var e *Error
		switch {
		case err == nil:
			return a, nil
		case ctx.Err() != nil || try >= c.c.Repeats:
			return nil, err
		case errors.As(err, &e) && (e.Status < 500 || e.MayHaveRun && q.once):
			return nil, err
		case e == nil && q.once: // the connection ended: nobody knows
			return nil, fmt.Errorf("%w (it may have happened)", err)
		}
		wait := min(100*time.Millisecond<<min(try, 8), c.c.Wait)
		if e != nil && e.After > 0 {
			wait = min(e.After, c.c.Wait)
		}
		wait += time.Duration(rand.Int64N(int64(wait)/4 + 1)) // not all in one breath
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

func (c *Client) try(ctx context.Context, q *request) (*http.Response, error) {
	u := *c.base
	path := "/" + q.volume
	if q.name != "" {
		path += "/" + q.name
	}
	u.Path, u.RawPath, u.RawQuery = path, escape(path), strings.ReplaceAll(q.query.Encode(), "+", "%20")
	var body io.Reader
	if q.body != nil && q.size > 0 {
		body = q.body()
	}
	r, err := http.NewRequestWithContext(ctx, q.method, u.String(), body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = q.size
	for k, v := range q.header {
		r.Header[k] = v
	}
	if c.c.Key != "" {
		digest := q.digest
		if digest == "" {
			digest = "UNSIGNED-PAYLOAD"
		}
		r.Header.Set("X-Amz-Content-Sha256", digest)
		err := c.signer.SignHTTP(ctx, aws.Credentials{AccessKeyID: c.c.Key, SecretAccessKey: c.c.Secret}, r, digest, "s3", c.c.Region, time.Now())
		if err != nil {
			return nil, err
		}
	}
	a, err := c.c.HTTP.Do(r)
	if err != nil {
		return nil, err
	}
	if a.StatusCode < 300 {
		return a, nil
	}
	defer func() { _ = a.Body.Close() }() // only read
	e := &Error{Status: a.StatusCode, Code: http.StatusText(a.StatusCode), MayHaveRun: a.StatusCode >= 500 && a.Header.Get("X-Weirhaven-May-Have-Run") != "no"}
	var told struct{ Code, Message string }
	if b, _ := io.ReadAll(io.LimitReader(a.Body, 64<<10)); xml.Unmarshal(b, &told) == nil && told.Code != "" {
		e.Code, e.Message = told.Code, told.Message
	}
	if n, err := strconv.Atoi(a.Header.Get("Retry-After")); err == nil {
		e.After = time.Duration(n) * time.Second
	}
	return nil, e
}

// Info is what is known of an object.
type Info struct {
	Name, ETag, ContentType string
	Size                    int64
	Modified                time.Time
	Meta                    map[string]string
}

func info(name string, a *http.Response) Info {
	i := Info{Name: name, ETag: strings.Trim(a.Header.Get("ETag"), `"`), ContentType: a.Header.Get("Content-Type"), Size: a.ContentLength, Meta: map[string]string{}}
	i.Modified, _ = http.ParseTime(a.Header.Get("Last-Modified"))
	for k, v := range a.Header {
		if m, ok := strings.CutPrefix(k, "X-Amz-Meta-"); ok {
			i.Meta[strings.ToLower(m)] = v[0]
		}
	}
	return i
}

// Head is an object without its bytes.
func (c *Client) Head(ctx context.Context, volume, name string) (Info, error) {
	a, err := c.do(ctx, &request{method: "HEAD", volume: volume, name: name})
	if err != nil {
		return Info{}, err
	}
	_ = a.Body.Close() // it has no bytes
	return info(name, a), nil
}

// Get is an object's bytes, or of them those from an offset on, so many (0: to the end; an offset below 0: the last so many). The body must
// be closed; it fails where fewer bytes come than were announced.
func (c *Client) Get(ctx context.Context, volume, name string, from, size int64) (Info, io.ReadCloser, error) {
	q := &request{method: "GET", volume: volume, name: name, header: http.Header{}}
	switch {
	case from < 0:
		q.header.Set("Range", fmt.Sprintf("bytes=%d", from))
	case size > 0:
		q.header.Set("Range", fmt.Sprintf("bytes=%d-%d", from, from+size-1))
	case from > 0:
		q.header.Set("Range", fmt.Sprintf("bytes=%d-", from))
	}
	a, err := c.do(ctx, q)
	if err != nil {
		return Info{}, nil, err
	}
	return info(name, a), a.Body, nil
}

// Delete removes an object; one that is not there is no error.
func (c *Client) Delete(ctx context.Context, volume, name string) error {
	a, err := c.do(ctx, &request{method: "DELETE", volume: volume, name: name})
	if err == nil {
		_ = a.Body.Close() // what it says is done
	}
	return err
}

// List are a volume's objects under a prefix, page by page. With a delimiter names that go on beyond it come once, as an Info with the
// prefix for a name and Size -1.
func (c *Client) List(ctx context.Context, volume, prefix, delimiter string) iter.Seq2[Info, error] {
	return func(yield func(Info, error) bool) {
		token := ""
		for {
			v := url.Values{"list-type": {"2"}, "prefix": {prefix}, "delimiter": {delimiter}}
			if token != "" {
				v.Set("continuation-token", token)
			}
			a, err := c.do(ctx, &request{method: "GET", volume: volume, query: v})
			if err != nil {
				yield(Info{}, err)
				return
			}
			var page struct {
				Contents []struct {
					Key, ETag    string
					Size         int64
					LastModified time.Time
				}
				CommonPrefixes        []struct{ Prefix string }
				IsTruncated           bool
				NextContinuationToken string
			}
			err = xml.NewDecoder(a.Body).Decode(&page)
			_ = a.Body.Close()
			if err != nil {
				yield(Info{}, fmt.Errorf("the list can't be read: %w", err))
				return
			}
			for _, p := range page.CommonPrefixes {
				if !yield(Info{Name: p.Prefix, Size: -1}, nil) {
					return
				}
			}
			for _, o := range page.Contents {
				if !yield(Info{Name: o.Key, ETag: strings.Trim(o.ETag, `"`), Size: o.Size, Modified: o.LastModified}, nil) {
					return
				}
			}
			if token = page.NextContinuationToken; !page.IsTruncated || token == "" {
				return
			}
		}
	}
}

// PutOptions say how an object is put; the zero value will do.
type PutOptions struct {
	ContentType string
	Meta        map[string]string
	OnlyNew     bool  // not over one that is there
	Part        int64 // objects that are larger go up in parts of this size; 0: 16 MiB
	Parallel    int   // parts at once; 0: 4
	// Progress is told how many bytes have arrived; it may be called from several goroutines at once.
	Progress func(done int64)
}

// Put stores bytes under a name, and returns the entity tag.
func (c *Client) Put(ctx context.Context, volume, name string, in io.ReaderAt, size int64, o PutOptions) (etag string, err error) {
	if o.Part <= 0 {
		o.Part = 16 << 20
	}
	if o.Parallel <= 0 {
		o.Parallel = 4
	}
	if o.Progress == nil {
		o.Progress = func(int64) {}
	}
	h := http.Header{}
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	for k, v := range o.Meta {
		h.Set("X-Amz-Meta-"+k, v)
	}
	if size > o.Part {
		return c.parts(ctx, volume, name, in, size, o, h)
	}
	if o.OnlyNew {
		h.Set("If-None-Match", "*")
	}
	q, err := c.piece(in, 0, size)
	if err != nil {
		return "", err
	}
	q.method, q.volume, q.name, q.header, q.once = "PUT", volume, name, h, o.OnlyNew
	a, err := c.do(ctx, q)
	if err != nil {
		return "", err
	}
	_ = a.Body.Close()
	o.Progress(size)
	return strings.Trim(a.Header.Get("ETag"), `"`), nil
}

// piece is a request's body: a stretch of the bytes, read twice: for its digest, and when it is sent.
func (c *Client) piece(in io.ReaderAt, from, size int64) (*request, error) {
	q := &request{size: size, body: func() io.Reader { return io.NewSectionReader(in, from, size) }}
	sum := sha256.New()
	if n, err := io.Copy(sum, q.body()); err != nil || n != size {
		return nil, fmt.Errorf("read what is to be put: %d of %d bytes: %w", n, size, errors.Join(err, io.ErrUnexpectedEOF))
	}
	q.digest = hex.EncodeToString(sum.Sum(nil))
	return q, nil
}

func (c *Client) parts(ctx context.Context, volume, name string, in io.ReaderAt, size int64, o PutOptions, h http.Header) (etag string, err error) {
	a, err := c.do(ctx, &request{method: "POST", volume: volume, name: name, query: url.Values{"uploads": {""}}, header: h})
	if err != nil {
		return "", err
	}
	var begun struct {
		UploadID string `xml:"UploadId"`
	}
	err = xml.NewDecoder(a.Body).Decode(&begun)
	_ = a.Body.Close() // only read
	if err != nil || begun.UploadID == "" {
		return "", fmt.Errorf("begin of an upload: the answer can't be read: %w", err)
	}
	defer func() {
		if err != nil { // what arrived is given up; where that fails, the host does it when the upload is old
			aborted, abortErr := c.do(context.WithoutCancel(ctx), &request{method: "DELETE", volume: volume, name: name, query: url.Values{"uploadId": {begun.UploadID}}})
			if abortErr == nil {
				_ = aborted.Body.Close() // 204: it has no bytes
			}
		}
	}()
	type part struct {
		PartNumber int
		ETag       string
	}
	done := make([]part, (size+o.Part-1)/o.Part)
	var mu sync.Mutex
	sent := int64(0)
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(o.Parallel)
	for i := range done {
		from := int64(i) * o.Part
		n := min(o.Part, size-from)
		g.Go(func() error {
			q, err := c.piece(in, from, n)
			if err != nil {
				return err
			}
			q.method, q.volume, q.name = "PUT", volume, name
			q.query = url.Values{"uploadId": {begun.UploadID}, "partNumber": {strconv.Itoa(i + 1)}}
			a, err := c.do(gctx, q)
			if err != nil {
				return fmt.Errorf("part %d: %w", i+1, err)
			}
			_ = a.Body.Close()
			done[i] = part{i + 1, a.Header.Get("ETag")}
			mu.Lock()
			sent += n
			o.Progress(sent)
			mu.Unlock()
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return "", err
	}
	text, err := xml.Marshal(struct {
		XMLName xml.Name `xml:"CompleteMultipartUpload"`
		Part    []part
	}{Part: done})
	if err != nil {
		return "", err
	}
	q, err := c.piece(bytes.NewReader(text), 0, int64(len(text)))
	if err != nil {
		return "", err
	}
	q.method, q.volume, q.name, q.query, q.once, q.header = "POST", volume, name, url.Values{"uploadId": {begun.UploadID}}, true, http.Header{}
	if o.OnlyNew {
		q.header.Set("If-None-Match", "*")
	}
	if a, err = c.do(ctx, q); err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }() // only read
	var ended struct{ ETag string }
	if err := xml.NewDecoder(a.Body).Decode(&ended); err != nil {
		return "", fmt.Errorf("end of an upload: the answer can't be read: %w", err)
	}
	return strings.Trim(ended.ETag, `"`), nil
}
