package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
)

const (
	firstWait        = 100 * time.Millisecond // before the first retry; doubled for each further one
	maxWaitDoublings = 8
	jitterShare      = 4 // up to 1/jitterShare of a wait is added to it, so that clients don't retry in step

	unsignedPayload = "UNSIGNED-PAYLOAD"
)

// request is one that may be sent several times.
type request struct {
	method, volume, name string
	query                url.Values
	header               http.Header
	body                 func() io.Reader // a new reader for each attempt; nil: no body
	size                 int64            // of the body, in bytes
	digest               string           // of the body, SHA-256 in hex; empty: not signed
	nonIdempotent        bool             // one that may have run must not be sent again
}

// do sends a request until it succeeds or must not be retried. The caller closes the response's body.
func (c *Client) do(ctx context.Context, r *request) (*http.Response, error) {
	for attempt := 0; ; attempt++ {
		response, err := c.send(ctx, r)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil || attempt >= c.config.Repeats {
			return nil, err
		}
		var e *Error
		fromGateway := errors.As(err, &e)
		switch {
		case fromGateway && (e.Status < http.StatusInternalServerError || e.MayHaveRun && r.nonIdempotent):
			return nil, err
		case !fromGateway && r.nonIdempotent: // the connection ended: the request may have run
			return nil, fmt.Errorf("%w (it may have happened)", err)
		}
		select {
		case <-time.After(c.backoff(attempt, e)):
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

// backoff returns how long to wait after a failed attempt, numbered from 0: as the gateway advises, else exponentially longer. e is nil
// if the gateway did not respond.
func (c *Client) backoff(attempt int, e *Error) time.Duration {
	wait := min(firstWait<<min(attempt, maxWaitDoublings), c.config.Wait)
	if e != nil && e.After > 0 {
		wait = min(e.After, c.config.Wait)
	}
	return wait + time.Duration(rand.Int64N(int64(wait)/jitterShare+1))
}

// send sends a request once. A response that is none of success becomes an *Error.
func (c *Client) send(ctx context.Context, r *request) (*http.Response, error) {
	httpRequest, err := c.newHTTPRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	response, err := c.config.HTTP.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, readError(response)
	}
	return response, nil
}

// newHTTPRequest makes one attempt of a request, signed if there is a key.
func (c *Client) newHTTPRequest(ctx context.Context, r *request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil && r.size > 0 {
		body = r.body()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, c.url(r), body)
	if err != nil {
		return nil, err
	}
	httpRequest.ContentLength = r.size
	for key, values := range r.header {
		httpRequest.Header[key] = values
	}
	if c.config.Key == "" {
		return httpRequest, nil
	}
	digest := r.digest
	if digest == "" {
		digest = unsignedPayload
	}
	httpRequest.Header.Set("X-Amz-Content-Sha256", digest)
	credentials := aws.Credentials{AccessKeyID: c.config.Key, SecretAccessKey: c.config.Secret}
	if err := c.signer.SignHTTP(ctx, credentials, httpRequest, digest, "s3", c.config.Region, time.Now()); err != nil {
		return nil, err
	}
	return httpRequest, nil
}

func (c *Client) url(r *request) string {
	u := *c.base
	u.Path = "/" + r.volume
	if r.name != "" {
		u.Path += "/" + r.name
	}
	u.RawPath = strings.ReplaceAll(url.PathEscape(u.Path), "%2F", "/")
	u.RawQuery = strings.ReplaceAll(r.query.Encode(), "+", "%20") // as signatures need it
	return u.String()
}
