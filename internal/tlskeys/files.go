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

// Files are the key files that the settings name. Load makes one; its methods may be called from any goroutine.
type Files struct {
	conf *pb.Keys
	log  *slog.Logger
	now  func() time.Time

	mu          sync.Mutex // guards all below
	versions    fileVersions
	certificate *tls.Certificate
	trusted     *x509.CertPool
	logged      string // the error of reading that was logged last
}

// fileVersions tells apart the contents of the certificate, key and trusted certificates by time and size; "": not there.
type fileVersions [3]string

// Load reads the files. It fails where one can't be read, the key is not the certificate's, or the certificate is out of date.
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

// read replaces what is in use by the files' contents, all or nothing. The versions are taken before: a file that changes meanwhile is
// read again. f.mu is held.
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
		return nil, fmt.Errorf("keys: certificate %s: %w; make or fetch a new one", f.conf.Certificate, err)
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
		return nil, fmt.Errorf("keys: %s holds no certificate (PEM)", f.conf.Trusted)
	}
	return pool, nil
}

// current is the certificate and the trusted signers by the files as they are now; if those can't be read, by what was read last. An
// error that repeats is logged once.
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
