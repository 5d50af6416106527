package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certValidity is how long the certificates are valid.
const certValidity = 24 * time.Hour

// Authority stands in for the authority that signs the operators' certificates. It
// writes PEM files to a directory. Use NewAuthority to create one.
type Authority struct {
	dir    string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
}

// NewAuthority returns a new authority and writes its certificate to ca.pem in
// dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, key: key}
	template := a.template("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return a, a.write("ca.pem", "CERTIFICATE", der)
}

// CA returns the path of the authority's certificate.
func (a *Authority) CA() string { return filepath.Join(a.dir, "ca.pem") }

// Issue writes a certificate and its private key for an instance with the given IP
// address, and returns the paths of both. Another call with the same name replaces
// them.
func (a *Authority) Issue(name, ip string) (cert, key string, err error) {
	certKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template := a.template(name)
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &certKey.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(certKey)
	if err != nil {
		return "", "", err
	}
	if err := a.write(name+".pem", "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	if err := a.write(name+"-key.pem", "PRIVATE KEY", keyDER); err != nil {
		return "", "", err
	}
	return filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+"-key.pem"), nil
}

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certValidity),
	}
}

func (a *Authority) write(name, blockType string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return nil
}
