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
	initialBackoff      = 100 * time.Millisecond // backoff before the first retry; doubled for each further retry
	maxBackoffDoublings = 8
	jitterDivisor       = 4 // up to 1/jitterDivisor of the backoff is added as jitter, so that clients don't retry at the same time

	unsignedPayload = "UNSIGNED-PAYLOAD"
)

// request is a request that can be sent several times.
type request struct {
	method, volume, name string
	query                url.Values
	header               http.Header
	body                 func() io.Reader // returns a new reader of the body for each attempt; nil: no body
	size                 int64            // size of the body in bytes
	digest               string           // SHA-256 of the body in hex; empty: the signature does not cover the body
	nonIdempotent        bool             // whether the request must not be retried if it may have run
}

// do sends a request and retries it until it succeeds, must not be retried, or has been retried Repeats times. The caller must close the
// body of the response.
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
		case !fromGateway && r.nonIdempotent: // the connection failed: the request may have run
			return nil, fmt.Errorf("%w (the request may have taken effect)", err)
		}
		select {
		case <-time.After(c.backoff(attempt, e)):
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

// backoff returns the delay before the retry that follows a failed attempt; attempts are numbered from 0. It is the gateway's
// Retry-After, if there is one, otherwise an exponential backoff. e is nil if the gateway did not respond.
func (c *Client) backoff(attempt int, e *Error) time.Duration {
	delay := min(initialBackoff<<min(attempt, maxBackoffDoublings), c.config.Wait)
	if e != nil && e.After > 0 {
		delay = min(e.After, c.config.Wait)
	}
	return delay + time.Duration(rand.Int64N(int64(delay)/jitterDivisor+1))
}

// send sends a request once. An unsuccessful response is returned as an *Error.
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

// newHTTPRequest returns the HTTP request for one attempt, signed if an access key is configured.
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
	u.RawQuery = strings.ReplaceAll(r.query.Encode(), "+", "%20") // signatures require %20 for a space
	return u.String()
}
