// Package client is a client for the object API of weirhaven gateways and for other servers with the S3 API. It supports objects, range
// reads, listings, and multipart uploads with parallel parts.
//
// Retries: a rejected request (status 503) has not run and is retried after the gateway's Retry-After. A request that may have run (status
// 500, or a broken connection) is retried only if it is idempotent: reads, lists, uploads of parts, deletes, and puts without a condition.
// Completing a multipart upload and a put with PutOptions.OnlyNew are not retried then; Error.MayHaveRun or the error text says that the
// request may have taken effect.
package client

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
)

const (
	defaultRegion     = "weirhaven"
	defaultMaxRetries = 5
	defaultMaxBackoff = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	Endpoint    string        // URL of the gateway, such as http://127.0.0.1:8600
	Key, Secret string        // access key and its secret; an empty Key: requests are not signed
	Region      string        // region in signatures; empty: "weirhaven"
	HTTP        *http.Client  // HTTP client; nil: a client with the defaults of net/http
	Repeats     int           // maximum number of retries of one request; 0: 5
	Wait        time.Duration // maximum backoff between retries, to which jitter adds up to a quarter; 0: 30 s
}

// Client is a client of one gateway. It is safe for concurrent use.
type Client struct {
	config Config
	base   *url.URL
	signer *v4.Signer
}

// New returns a client. It opens no connection. It returns an error if Endpoint is not a URL with a host.
func New(c Config) (*Client, error) {
	base, err := url.Parse(c.Endpoint)
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("endpoint %q: want a URL with a host, such as http://127.0.0.1:8600", c.Endpoint)
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	if c.Region == "" {
		c.Region = defaultRegion
	}
	if c.Repeats == 0 {
		c.Repeats = defaultMaxRetries
	}
	if c.Wait == 0 {
		c.Wait = defaultMaxBackoff
	}
	return &Client{c, base, v4.NewSigner(func(options *v4.SignerOptions) { options.DisableURIPathEscaping = true })}, nil
}
