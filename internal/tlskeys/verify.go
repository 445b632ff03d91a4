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

// DefaultServerName is the name that a controller's certificate must hold if a gateway's settings give none. It is the program's former
// name: certificates that were made under it stay valid.
const DefaultServerName = "weirplan"

var (
	// ErrOutOfDate is returned for a certificate whose time has not begun or is over.
	ErrOutOfDate = errors.New("out of date")
	// ErrNotTrusted is returned for a certificate of the other side that no trusted signer signed.
	ErrNotTrusted = errors.New("not trusted")
	// ErrWrongName is returned for a certificate of the other side that doesn't hold the name that is called.
	ErrWrongName = errors.New("wrong name")
	// ErrNotAllowed is returned for a certificate of the other side whose names the settings don't allow.
	ErrNotAllowed = errors.New("not among those allowed")
)

// Server is the configuration of the side that listens.
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

// Client is the configuration of the side that calls; serverName is the name that the other side's certificate must hold.
func (f *Files) Client(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		ServerName: serverName,
		// The standard verification would use the signers as they were when the configuration was made. VerifyPeerCertificate
		// verifies chain, dates and name by the files as they are now.
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

// verify checks the other side's certificates: dates, signer, the name that was called ("": none was), and the names that the settings
// allow.
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
		return fmt.Errorf("keys: %w: the certificate holds %v, wanted %q", ErrWrongName, names, serverName)
	}
	if !f.allows(names) {
		return fmt.Errorf("keys: %q is %w (%v)", name, ErrNotAllowed, f.conf.Peer)
	}
	return nil
}

func parseChain(chain [][]byte) (leaf *x509.Certificate, intermediates *x509.CertPool, err error) {
	if len(chain) == 0 {
		return nil, nil, errors.New("keys: the other side showed no certificate")
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

// allows tells whether one of the names matches one of the settings' patterns (path.Match); without patterns every name does.
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

// Loopback tells whether an address, host:port, is on this machine. Only such a one may be used without keys. A host name other than
// localhost is not looked up.
func Loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
