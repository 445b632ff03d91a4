// Package tlskeys is TLS between the programs: both sides show a certificate, names are checked, files are read again when they change, and
// what is refused is refused with its reason. It also makes keys for tests and first installations.
package tlskeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"weirhaven/internal/pb"
)

// Files are keys on disk, read again when one of them changes. What can't be read leaves the ones before in use.
type Files struct {
	conf *pb.Keys
	log  *slog.Logger
	now  func() time.Time

	mu      sync.Mutex
	stamps  [3]string
	own     *tls.Certificate
	trusted *x509.CertPool
	failed  string
}

// Load reads them.
func Load(conf *pb.Keys, log *slog.Logger) (*Files, error) {
	f := &Files{conf: conf, log: log, now: time.Now}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f, f.read()
}

func (f *Files) stampsNow() (s [3]string) {
	for i, name := range []string{f.conf.Certificate, f.conf.Key, f.conf.Trusted} {
		if x, err := os.Stat(name); err == nil {
			s[i] = fmt.Sprint(x.ModTime().UnixNano(), x.Size())
		}
	}
	return s
}

// read is under mu.
func (f *Files) read() error {
	stamps := f.stampsNow()
	own, err := tls.LoadX509KeyPair(f.conf.Certificate, f.conf.Key)
	if err != nil {
		return fmt.Errorf("keys: certificate %s with key %s: %w", f.conf.Certificate, f.conf.Key, err)
	}
	leaf, err := x509.ParseCertificate(own.Certificate[0])
	if err != nil {
		return fmt.Errorf("keys: certificate %s: %w", f.conf.Certificate, err)
	}
	if now := f.now(); now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return fmt.Errorf("keys: certificate %s of %q is out of date: it holds from %s to %s; make or fetch a new one", f.conf.Certificate, leaf.Subject.CommonName,
			leaf.NotBefore.UTC().Format(time.RFC3339), leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	text, err := os.ReadFile(f.conf.Trusted)
	if err != nil {
		return fmt.Errorf("keys: trusted certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("keys: %s holds no certificate (PEM)", f.conf.Trusted)
	}
	f.own, f.trusted, f.stamps = &own, pool, stamps
	return nil
}

// present are the keys as the files are now.
func (f *Files) present() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stampsNow() != f.stamps {
		switch err := f.read(); {
		case err != nil && err.Error() != f.failed: // half written, perhaps; the next use looks again
			f.failed = err.Error()
			f.log.Warn("changed keys can't be used; those before stay", "err", err)
		case err == nil:
			f.failed = ""
			f.log.Info("keys were read again")
		}
	}
	return f.own, f.trusted
}

// check judges the other side's certificates: who signed them, whether they are in date, the name.
func (f *Files) check(raw [][]byte, usage x509.ExtKeyUsage, server string) error {
	if len(raw) == 0 {
		return errors.New("keys: the other side showed no certificate")
	}
	var all []*x509.Certificate
	for _, r := range raw {
		c, err := x509.ParseCertificate(r)
		if err != nil {
			return fmt.Errorf("keys: the other side's certificate: %w", err)
		}
		all = append(all, c)
	}
	_, trusted := f.present()
	between := x509.NewCertPool()
	for _, c := range all[1:] {
		between.AddCert(c)
	}
	leaf, now := all[0], f.now()
	if now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return fmt.Errorf("keys: the certificate of %q is out of date: it holds from %s to %s", leaf.Subject.CommonName, leaf.NotBefore.UTC().Format(time.RFC3339),
			leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: trusted, Intermediates: between, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}); err != nil {
		return fmt.Errorf("keys: the certificate of %q is not trusted (file %s): %w", leaf.Subject.CommonName, f.conf.Trusted, err)
	}
	names := append(slices.Clone(leaf.DNSNames), leaf.Subject.CommonName)
	if server != "" {
		if err := leaf.VerifyHostname(server); err != nil {
			return fmt.Errorf("keys: the certificate names %v, wanted %q", names, server)
		}
	}
	if len(f.conf.Peer) > 0 && !slices.ContainsFunc(f.conf.Peer, func(pattern string) bool {
		return slices.ContainsFunc(names, func(n string) bool { ok, err := path.Match(pattern, n); return ok && err == nil })
	}) {
		return fmt.Errorf("keys: %q is not among those let in (%v)", leaf.Subject.CommonName, f.conf.Peer)
	}
	return nil
}

// Server is the side that listens. Each handshake uses the files as they are then.
func (f *Files) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, NextProtos: []string{"h2"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			own, _ := f.present()
			return own, nil
		},
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error { return f.check(raw, x509.ExtKeyUsageClientAuth, "") }}
}

// Client is the side that calls; server is the name that the other side's certificate must hold.
func (f *Files) Client(server string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: server, NextProtos: []string{"h2"},
		InsecureSkipVerify: true, // check does it, by the files as they are now
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			own, _ := f.present()
			return own, nil
		},
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return f.check(raw, x509.ExtKeyUsageServerAuth, server)
		}}
}

// Loopback tells whether an address is on this machine; what has no keys may be nowhere else.
func Loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Make writes a signing key of its own (made if it is not there) and a key and certificate for each name into a folder.
func Make(dir string, names []string, valid time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, caKey, err := signer(dir, valid)
	if err != nil {
		return err
	}
	for _, name := range names {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return err
		}
		t, err := template(name, valid)
		if err != nil {
			return err
		}
		t.DNSNames = []string{name}
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
		t.KeyUsage = x509.KeyUsageDigitalSignature
		der, err := x509.CreateCertificate(rand.Reader, t, ca, &key.PublicKey, caKey)
		if err != nil {
			return err
		}
		if err := write(dir, name, der, key); err != nil {
			return err
		}
	}
	return nil
}

func template(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Minute), NotAfter: now.Add(valid),
		BasicConstraintsValid: true}, nil
}

func signer(dir string, valid time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	if pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "trusted.pem"), filepath.Join(dir, "trusted.key")); err == nil {
		key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
		if !ok {
			return nil, nil, fmt.Errorf("%s/trusted.key is no EC key", dir)
		}
		ca, err := x509.ParseCertificate(pair.Certificate[0])
		return ca, key, err
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t, err := template("weirhaven keys", max(valid, 10*365*24*time.Hour))
	if err != nil {
		return nil, nil, err
	}
	t.IsCA, t.KeyUsage = true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, nil, err
	}
	if err := write(dir, "trusted", der, key); err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(der)
	return ca, key, err
}

// write replaces both files whole: a reader finds the old or the new one.
func write(dir, name string, der []byte, key *ecdsa.PrivateKey) error {
	k, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	put := func(file string, b *pem.Block, mode os.FileMode) error {
		tmp := filepath.Join(dir, "."+file+".new")
		if err := os.WriteFile(tmp, pem.EncodeToMemory(b), mode); err != nil {
			return err
		}
		return os.Rename(tmp, filepath.Join(dir, file))
	}
	if err := put(name+".key", &pem.Block{Type: "EC PRIVATE KEY", Bytes: k}, 0o600); err != nil {
		return err
	}
	return put(name+".pem", &pem.Block{Type: "CERTIFICATE", Bytes: der}, 0o644)
}

// DefaultServerName is the name that a controller's certificate must hold if a gateway's settings give none. It is the program's former
// name: certificates that were made under it stay valid.
const DefaultServerName = "weirplan"
