package securer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// CA is a certificate authority for tests. It is exported for package securer_test.
type CA struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

// NewCA returns a CA with the given common name.
func NewCA(t *testing.T, name string) CA {
	t.Helper()
	key := newKey(t)
	template := newTemplate(name)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der := must(x509.CreateCertificate(rand.Reader, template, template, key.Public(), key))(t)
	ca := CA{key: key, cert: must(x509.ParseCertificate(der))(t)}
	ca.file = writePEM(t, name+"-ca.pem", "CERTIFICATE", der)
	return ca
}

// Issue returns the files of a new certificate for the loopback address, with trustedCA as the CA trusted for the
// other side.
func (ca CA) Issue(t *testing.T, name string, trustedCA CA) Config {
	t.Helper()
	key := newKey(t)
	template := newTemplate(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der := must(x509.CreateCertificate(rand.Reader, template, ca.cert, key.Public(), ca.key))(t)
	keyDER := must(x509.MarshalECPrivateKey(key))(t)
	return Config{
		CertFile: writePEM(t, name+".pem", "CERTIFICATE", der),
		KeyFile:  writePEM(t, name+"-key.pem", "EC PRIVATE KEY", keyDER),
		CAFile:   trustedCA.file,
	}
}

func newTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	return must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))(t)
}

func writePEM(t *testing.T, name, blockType string, der []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func must[T any](value T, err error) func(*testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}
