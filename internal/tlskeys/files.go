package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"weirhaven/internal/pb"
)

// Files are the key files named in the settings. Use Load to create it. Its methods are safe for concurrent use.
type Files struct {
	conf *pb.Keys
	log  *slog.Logger
	now  func() time.Time

	mu          sync.Mutex // guards the fields below
	versions    fileVersions
	certificate *tls.Certificate
	trusted     *x509.CertPool
	logged      string // last read error that was logged
}

// fileVersions identifies the contents of the certificate, key and trusted certificates files by modification time and size. The
// version of a missing file is "".
type fileVersions [3]string

// Load reads the files. It fails if a file cannot be read, the key does not match the certificate, or the certificate is expired or
// not yet valid.
func Load(conf *pb.Keys, log *slog.Logger) (*Files, error) {
	f := &Files{conf: conf, log: log, now: time.Now}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f, f.read()
}

func (f *Files) currentVersions() (versions fileVersions) {
	for i, name := range []string{f.conf.Certificate, f.conf.Key, f.conf.Trusted} {
		if info, err := os.Stat(name); err == nil {
			versions[i] = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
		}
	}
	return versions
}

// read replaces the certificate and the trusted certificates by the files' contents, or neither of them after an error. It
// determines the versions before it reads the files, so that a file that changes in the meantime is read again. The caller holds
// f.mu.
func (f *Files) read() error {
	versions := f.currentVersions()
	certificate, err := f.readCertificate()
	if err != nil {
		return err
	}
	trusted, err := f.readTrusted()
	if err != nil {
		return err
	}
	f.certificate, f.trusted, f.versions = certificate, trusted, versions
	return nil
}

func (f *Files) readCertificate() (*tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(f.conf.Certificate, f.conf.Key)
	if err != nil {
		return nil, fmt.Errorf("keys: certificate %s with key %s: %w", f.conf.Certificate, f.conf.Key, err)
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("keys: certificate %s: %w", f.conf.Certificate, err)
	}
	if err := checkDates(leaf, f.now()); err != nil {
		return nil, fmt.Errorf("keys: certificate %s: %w; create or obtain a new one", f.conf.Certificate, err)
	}
	return &certificate, nil
}

func (f *Files) readTrusted() (*x509.CertPool, error) {
	text, err := os.ReadFile(f.conf.Trusted)
	if err != nil {
		return nil, fmt.Errorf("keys: trusted certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("keys: %s contains no PEM certificate", f.conf.Trusted)
	}
	return pool, nil
}

// current returns the certificate and the trusted signers from the current files or, if these cannot be read, from the last
// successful read. A repeated error is logged only once.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentVersions() != f.versions {
		switch err := f.read(); {
		case err == nil:
			f.logged = ""
			f.log.Info("keys reloaded")
		case err.Error() != f.logged:
			f.logged = err.Error()
			f.log.Warn("changed keys unusable, the previous ones stay in use", "err", err)
		}
	}
	return f.certificate, f.trusted
}
