package api

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"

	"weirhaven/internal/object/decide"
)

// Constants of AWS Signature Version 4.
const (
	signatureAlgorithm = "AWS4-HMAC-SHA256"
	timeFormat         = "20060102T150405Z"
	dayFormat          = "20060102"
	signatureDigits    = 64 // length of a signature in hex digits
	scopeFields        = 4  // fields of Credential after the access key: day, region, service, "aws4_request"

	unsignedPayload  = "UNSIGNED-PAYLOAD"
	streamingPayload = "STREAMING-UNSIGNED-PAYLOAD-TRAILER"
)

// requiredSignedHeaders lists the headers that every signature must cover.
var requiredSignedHeaders = []string{"host", "x-amz-date", "x-amz-content-sha256"}

// unknownKeySecret is the secret used to compute the signature for an unknown access key, so that response times don't reveal which keys
// exist.
const unknownKeySecret = "no such key, and as long to find out"

// authenticate verifies a request's signature (AWS Signature Version 4, in the Authorization header): it computes the signature with the
// secret of the request's access key, over the signed headers, and compares it in constant time. payload is the SHA-256 digest in hex
// that the body must have, or unsignedPayload or streamingPayload. If k is nil, every request is accepted.
func (k Keys) authenticate(request *http.Request, now time.Time, maxSkew time.Duration) (access *Access, payload string, fault *decide.Fault) {
	if k == nil {
		return nil, unsignedPayload, nil
	}
	signature, fault := parseSignature(request)
	if fault != nil {
		return nil, "", fault
	}
	if fault := signature.checkDate(now, maxSkew); fault != nil {
		return nil, "", fault
	}
	payload = request.Header.Get("X-Amz-Content-Sha256")
	if payload == "" {
		return nil, "", decide.AccessDenied.With("X-Amz-Content-Sha256 is missing.")
	}
	for _, header := range requiredSignedHeaders {
		if !slices.Contains(signature.headers, header) {
			return nil, "", decide.AccessDenied.With("The header %s is not signed.", header)
		}
	}
	access = k[signature.accessKey]
	known := access != nil
	if !known {
		access = &Access{secret: unknownKeySecret}
	}
	valid := signature.verify(request, access.secret, payload)
	switch {
	case !known:
		fault := decide.InvalidAccessKeyID
		return nil, "", &fault
	case !valid:
		fault := decide.SignatureDoesNotMatch
		return nil, "", &fault
	}
	return access, payload, nil
}

// signature holds the fields of a request's Authorization header and the signed time.
type signature struct {
	accessKey, day, region, service string
	headers                         []string  // names of the signed headers, in lower case
	digest                          string    // the signature itself, in hex
	signedAt                        time.Time // time in X-Amz-Date
}

func parseSignature(request *http.Request) (*signature, *decide.Fault) {
	parameters, ok := strings.CutPrefix(request.Header.Get("Authorization"), signatureAlgorithm+" ")
	if !ok {
		return nil, decide.AccessDenied.With("The request is not signed (%s).", signatureAlgorithm)
	}
	fields := map[string]string{}
	for _, parameter := range strings.Split(parameters, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		fields[name] = value
	}
	credential := strings.Split(fields["Credential"], "/")
	if len(credential) <= scopeFields || fields["SignedHeaders"] == "" || len(fields["Signature"]) != signatureDigits {
		return nil, decide.AccessDenied.With("The Authorization header can't be read.")
	}
	scope := len(credential) - scopeFields // an access key may contain slashes
	s := &signature{accessKey: strings.Join(credential[:scope], "/"), day: credential[scope], region: credential[scope+1], service: credential[scope+2],
		headers: strings.Split(fields["SignedHeaders"], ";"), digest: fields["Signature"]}
	var err error
	s.signedAt, err = time.Parse(timeFormat, request.Header.Get("X-Amz-Date"))
	if err != nil || s.signedAt.Format(dayFormat) != s.day {
		return nil, decide.AccessDenied.With("X-Amz-Date is missing, or of another day than the signature.")
	}
	return s, nil
}

// checkDate rejects a request whose signed time differs from now by more than maxSkew. It limits how long a recorded request can be
// replayed.
func (s *signature) checkDate(now time.Time, maxSkew time.Duration) *decide.Fault {
	if skew := now.Sub(s.signedAt); skew > maxSkew || skew < -maxSkew {
		return decide.RequestTimeTooSkewed.With("It is %s here, the request says %s.", now.UTC().Format(timeFormat), s.signedAt.Format(timeFormat))
	}
	return nil
}

// verify reports whether s is the signature of the request with the given secret and payload.
func (s *signature) verify(request *http.Request, secret, payload string) bool {
	signed := (&http.Request{Method: request.Method, URL: request.URL, Host: request.Host, Header: http.Header{}}).WithContext(context.Background())
	for _, name := range s.headers {
		switch header := http.CanonicalHeaderKey(name); header {
		case "Host": // set above: http.Request has a separate field for it
		case "Content-Length":
			signed.ContentLength = request.ContentLength
		default:
			signed.Header[header] = request.Header[header]
		}
	}
	signer := v4.NewSigner(func(options *v4.SignerOptions) { options.DisableURIPathEscaping = true })
	err := signer.SignHTTP(signed.Context(), aws.Credentials{AccessKeyID: s.accessKey, SecretAccessKey: secret}, signed, payload, s.service, s.region, s.signedAt)
	_, want, _ := strings.Cut(signed.Header.Get("Authorization"), "Signature=")
	same := subtle.ConstantTimeCompare([]byte(want), []byte(s.digest)) == 1
	return err == nil && same
}
