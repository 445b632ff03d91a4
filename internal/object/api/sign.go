package api

import (
	"bufio"
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"encoding/base64"
	"encoding/binary"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"

	"weirhaven/internal/object/decide"
)

// Access is what an access key may do.
type Access struct {
	secret  string
	volumes []string
}

// May tells whether the key reaches a volume.
func (a *Access) May(volume string) bool {
	return a == nil || slices.Contains(a.volumes, "*") || slices.Contains(a.volumes, volume)
}

// Keys are access keys by name.
type Keys map[string]*Access

// ReadKeys reads a file: access-key secret-key volume,volume,... a line; # begins a comment.
func ReadKeys(file string) (Keys, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("access keys: %w", err)
	}
	keys := Keys{}
	for no, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if len(f) != 3 || keys[f[0]] != nil || len(f[1]) < 8 {
			return nil, fmt.Errorf("access keys: %s:%d: wanted: access-key secret-key (8 bytes or more) volume,volume,... and each key once", file, no+1)
		}
		keys[f[0]] = &Access{f[1], strings.Split(f[2], ",")}
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("access keys: %s names none", file)
	}
	return keys, nil
}

const (
	algorithm  = "AWS4-HMAC-SHA256"
	timeFormat = "20060102T150405Z"
	unsigned   = "UNSIGNED-PAYLOAD"
	streamed   = "STREAMING-UNSIGNED-PAYLOAD-TRAILER"
)

// check judges a request's signature (AWS Signature Version 4, in the Authorization header): it is signed again with the secret of the key
// that it names, over the headers that it names, and compared in constant time. payload is what the body must hash to: hex, or one of
// the words above.
func (k Keys) check(r *http.Request, now time.Time, skew time.Duration) (a *Access, payload string, f *decide.Fault) {
	if k == nil {
		return nil, unsigned, nil
	}
	auth := r.Header.Get("Authorization")
	rest, ok := strings.CutPrefix(auth, algorithm+" ")
	if !ok {
		return nil, "", decide.AccessDenied.With("The request is not signed (%s).", algorithm)
	}
	fields := map[string]string{}
	for _, p := range strings.Split(rest, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		fields[name] = value
	}
	scope := strings.Split(fields["Credential"], "/")
	if len(scope) < 5 || fields["SignedHeaders"] == "" || len(fields["Signature"]) != 64 {
		return nil, "", decide.AccessDenied.With("The Authorization header can't be read.")
	}
	n := len(scope)
	name, region, service := strings.Join(scope[:n-4], "/"), scope[n-3], scope[n-2]
	at, err := time.Parse(timeFormat, r.Header.Get("X-Amz-Date"))
	if err != nil || at.Format("20060102") != scope[n-4] {
		return nil, "", decide.AccessDenied.With("X-Amz-Date is missing, or of another day than the signature.")
	}
	if d := now.Sub(at); d > skew || d < -skew {
		return nil, "", decide.RequestTimeTooSkewed.With("It is %s here, the request says %s.", now.UTC().Format(timeFormat), at.Format(timeFormat))
	}
	payload = r.Header.Get("X-Amz-Content-Sha256")
	if payload == "" {
		return nil, "", decide.AccessDenied.With("X-Amz-Content-Sha256 is missing.")
	}
	signed := strings.Split(fields["SignedHeaders"], ";")
	for _, must := range []string{"host", "x-amz-date", "x-amz-content-sha256"} {
		if !slices.Contains(signed, must) {
			return nil, "", decide.AccessDenied.With("The header %s is not signed.", must)
		}
	}
	key := k[name]
	if key == nil {
		key = &Access{secret: "no such key, and as long to find out"}
	}
	again := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: http.Header{}}
	again = again.WithContext(context.Background())
	for _, h := range signed {
		switch canonical := http.CanonicalHeaderKey(h); canonical {
		case "Host":
		case "Content-Length":
			again.ContentLength = r.ContentLength
		default:
			again.Header[canonical] = r.Header[canonical]
		}
	}
	signer := v4.NewSigner(func(o *v4.SignerOptions) { o.DisableURIPathEscaping = true })
	err = signer.SignHTTP(again.Context(), aws.Credentials{AccessKeyID: name, SecretAccessKey: key.secret}, again, payload, service, region, at)
	_, want, _ := strings.Cut(again.Header.Get("Authorization"), "Signature=")
	same := subtle.ConstantTimeCompare([]byte(want), []byte(fields["Signature"])) == 1
	switch {
	case k[name] == nil:
		f := decide.InvalidAccessKeyID
		return nil, "", &f
	case err != nil || !same:
		f := decide.SignatureDoesNotMatch
		return nil, "", &f
	}
	return key, payload, nil
}

// chunked reads the aws-chunked form of a body with a trailer: length in hex, bytes, line ends, until a length of 0; then trailing
// fields, of which the CRC-32 of the bytes is checked.
type chunked struct {
	in   *bufio.Reader
	left int64
	sum  uint32
	err  error
	size int64
}

func (c *chunked) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	for c.left == 0 {
		line, err := c.line()
		if err == nil && line == "" && c.size > 0 { // behind a chunk's bytes
			line, err = c.line()
		}
		size, _, _ := strings.Cut(line, ";")
		n, perr := strconv.ParseInt(size, 16, 64)
		switch {
		case err != nil:
			c.err = err
		case perr != nil || n < 0:
			c.err = decide.IncompleteBody.With("The chunk length %.20q can't be read.", size)
		case n == 0:
			c.err = c.trailer()
		}
		if c.err != nil {
			return 0, c.err
		}
		c.left = n
	}
	n, err := c.in.Read(b[:min(int64(len(b)), c.left)])
	c.sum = crc32.Update(c.sum, crc32.IEEETable, b[:n])
	c.left -= int64(n)
	c.size += int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

func (c *chunked) line() (string, error) {
	b, err := c.in.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	return strings.TrimRight(string(b), "\r\n"), nil
}

func (c *chunked) trailer() error {
	for {
		line, err := c.line()
		if err != nil || line == "" {
			return io.EOF
		}
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(name, "x-amz-checksum-crc32") {
			want, err := base64.StdEncoding.DecodeString(strings.TrimSpace(value))
			if err != nil || len(want) != 4 || binary.BigEndian.Uint32(want) != c.sum {
				return decide.BadDigest.With("(x-amz-checksum-crc32)")
			}
		}
	}
}
