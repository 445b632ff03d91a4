package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"path"
	"slices"
	"time"
)

// DefaultServerName is the name that a controller's certificate must contain if a gateway's settings specify none. It is the
// program's former name, so that existing certificates remain valid.
const DefaultServerName = "weirplan"

var (
	// ErrOutOfDate is returned for a certificate that is expired or not yet valid.
	ErrOutOfDate = errors.New("out of date")
	// ErrNotTrusted is returned for a certificate of the other side that is not signed by a trusted signer.
	ErrNotTrusted = errors.New("not trusted")
	// ErrWrongName is returned for a certificate of the server that does not contain the expected server name.
	ErrWrongName = errors.New("wrong name")
	// ErrNotAllowed is returned for a certificate of the other side with no name that the settings allow.
	ErrNotAllowed = errors.New("not among those allowed")
)

// Server returns the TLS configuration of a server.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		ClientAuth: tls.RequireAnyClientCert, // verified by VerifyPeerCertificate
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := f.current()
			return certificate, nil
		},
		VerifyPeerCertificate: func(chain [][]byte, _ [][]*x509.Certificate) error {
			return f.verify(chain, x509.ExtKeyUsageClientAuth, "")
		},
	}
}

// Client returns the TLS configuration of a client. serverName is the name that the server's certificate must contain.
func (f *Files) Client(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		ServerName: serverName,
		// The standard verification would use the trusted signers at the time this configuration was created. VerifyPeerCertificate
		// verifies the chain, the dates and the name with the current files.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := f.current()
			return certificate, nil
		},
		VerifyPeerCertificate: func(chain [][]byte, _ [][]*x509.Certificate) error {
			return f.verify(chain, x509.ExtKeyUsageServerAuth, serverName)
		},
	}
}

// verify checks the dates and the signer of the other side's certificate, the server name ("" to skip the check), and whether the
// settings allow one of its names.
func (f *Files) verify(chain [][]byte, usage x509.ExtKeyUsage, serverName string) error {
	leaf, intermediates, err := parseChain(chain)
	if err != nil {
		return err
	}
	_, trusted := f.current()
	now, name := f.now(), leaf.Subject.CommonName
	if err := checkDates(leaf, now); err != nil {
		return fmt.Errorf("keys: the other side's certificate: %w", err)
	}
	options := x509.VerifyOptions{Roots: trusted, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := leaf.Verify(options); err != nil {
		return fmt.Errorf("keys: the certificate of %q is %w (file %s): %w", name, ErrNotTrusted, f.conf.Trusted, err)
	}
	names := append(slices.Clone(leaf.DNSNames), name)
	if serverName != "" && leaf.VerifyHostname(serverName) != nil {
		return fmt.Errorf("keys: %w: the certificate contains %v, wanted %q", ErrWrongName, names, serverName)
	}
	if !f.allows(names) {
		return fmt.Errorf("keys: %q is %w (%v)", name, ErrNotAllowed, f.conf.Peer)
	}
	return nil
}

func parseChain(chain [][]byte) (leaf *x509.Certificate, intermediates *x509.CertPool, err error) {
	if len(chain) == 0 {
		return nil, nil, errors.New("keys: the other side presented no certificate")
	}
	intermediates = x509.NewCertPool()
	for i, der := range chain {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, nil, fmt.Errorf("keys: the other side's certificate: %w", err)
		}
		if i == 0 {
			leaf = certificate
		} else {
			intermediates.AddCert(certificate)
		}
	}
	return leaf, intermediates, nil
}

func checkDates(leaf *x509.Certificate, now time.Time) error {
	if now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return fmt.Errorf("%q is %w: valid from %s to %s", leaf.Subject.CommonName, ErrOutOfDate,
			leaf.NotBefore.UTC().Format(time.RFC3339), leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return nil
}

// allows reports whether one of the names matches one of the patterns in the settings (path.Match). Without patterns, all names
// match.
func (f *Files) allows(names []string) bool {
	if len(f.conf.Peer) == 0 {
		return true
	}
	return slices.ContainsFunc(f.conf.Peer, func(pattern string) bool {
		return slices.ContainsFunc(names, func(name string) bool {
			ok, err := path.Match(pattern, name)
			return ok && err == nil
		})
	})
}

// Loopback reports whether an address of the form host:port is a loopback address. Only such an address may be used without keys.
// Host names other than localhost are not resolved.
func Loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
