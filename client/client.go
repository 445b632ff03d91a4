// Package client is a client of the object API of weirhaven gateways (and of others with the S3 API): objects, ranges, lists, and multipart
// uploads with parts in parallel.
//
// Retries. A request that was rejected (503) has not run: it is retried after the gateway's Retry-After. A request that may have run (500,
// or a connection that broke) is retried only where a second run changes nothing: reads, lists, parts, deletes, and puts without a
// condition. The end of an upload is not; its error says that it may have happened.
package client

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
)

const (
	defaultRegion  = "weirhaven"
	defaultRepeats = 5
	defaultWait    = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	Endpoint    string       // of a gateway, such as http://127.0.0.1:8600
	Key, Secret string       // access key; empty: requests are not signed
	Region      string       // in signatures; empty: "weirhaven"
	HTTP        *http.Client // nil: one with the defaults of net/http
	// Repeats is the maximum number of retries of one request, Wait the maximum backoff, to which jitter adds up to a quarter; 0: 5, and 30 s.
	Repeats int
	Wait    time.Duration
}

// Client is a client of one gateway. It is safe for concurrent use.
type Client struct {
	config Config
	base   *url.URL
	signer *v4.Signer
}

// New returns a client. It connects to nothing yet; its error is that of an Endpoint that is no URL with a host.
func New(c Config) (*Client, error) {
	base, err := url.Parse(c.Endpoint)
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("endpoint %q: wanted something like http://127.0.0.1:8600", c.Endpoint)
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	if c.Region == "" {
		c.Region = defaultRegion
	}
	if c.Repeats == 0 {
		c.Repeats = defaultRepeats
	}
	if c.Wait == 0 {
		c.Wait = defaultWait
	}
	return &Client{c, base, v4.NewSigner(func(options *v4.SignerOptions) { options.DisableURIPathEscaping = true })}, nil
}
