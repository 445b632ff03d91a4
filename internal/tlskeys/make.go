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
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	signerName        = "trusted" // base name of the signer's files; must not change, since existing installations use it
	signerCommonName  = "weirhaven keys"
	minSignerValidity = 10 * 365 * 24 * time.Hour
	serialBits        = 120
	clockTolerance    = time.Minute // a certificate is valid from this long before its creation, for hosts with slow clocks
)

// Make writes a key and a certificate, NAME.key and NAME.pem, for each name into a folder. The certificates are valid for the given
// duration and signed by the folder's signer, trusted.key and trusted.pem, which is created if it does not exist. Existing files of
// the names are replaced.
func Make(dir string, names []string, valid time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	signer, signerKey, err := loadOrMakeSigner(dir, valid)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := makeCertificate(dir, name, valid, signer, signerKey); err != nil {
			return err
		}
	}
	return nil
}

func makeCertificate(dir, name string, valid time.Duration, signer *x509.Certificate, signerKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(name, valid)
	if err != nil {
		return err
	}
	template.DNSNames = []string{name}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	if err != nil {
		return err
	}
	return writeFiles(dir, name, der, key)
}

func newTemplate(commonName string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: commonName},
		NotBefore:             now.Add(-clockTolerance),
		NotAfter:              now.Add(valid),
		BasicConstraintsValid: true,
	}, nil
}

func loadOrMakeSigner(dir string, valid time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, signerName+".pem"), filepath.Join(dir, signerName+".key"))
	if errors.Is(err, os.ErrNotExist) {
		return makeSigner(dir, valid)
	}
	if err != nil {
		return nil, nil, err
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("%s/%s.key is not an EC key", dir, signerName)
	}
	signer, err := x509.ParseCertificate(pair.Certificate[0])
	return signer, key, err
}

func makeSigner(dir string, valid time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template, err := newTemplate(signerCommonName, max(valid, minSignerValidity))
	if err != nil {
		return nil, nil, err
	}
	template.IsCA, template.KeyUsage = true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, nil, err
	}
	if err := writeFiles(dir, signerName, der, key); err != nil {
		return nil, nil, err
	}
	signer, err := x509.ParseCertificate(der)
	return signer, key, err
}

// writeFiles writes the key, which only its owner can read, and then the certificate.
func writeFiles(dir, name string, certificate []byte, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := replaceFile(dir, name+".key", &pem.Block{Type: "EC PRIVATE KEY", Bytes: der}, 0o600); err != nil {
		return err
	}
	return replaceFile(dir, name+".pem", &pem.Block{Type: "CERTIFICATE", Bytes: certificate}, 0o644)
}

// replaceFile replaces a file atomically: a reader sees either the old or the new content.
func replaceFile(dir, file string, block *pem.Block, mode os.FileMode) error {
	temporary := filepath.Join(dir, "."+file+".new")
	if err := os.WriteFile(temporary, pem.EncodeToMemory(block), mode); err != nil {
		return err
	}
	return os.Rename(temporary, filepath.Join(dir, file))
}
