// Package testcert issues certificates for tests.
package testcert

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

	"github.com/stretchr/testify/require"
)

const lifetime = time.Hour

// Authority is a certificate authority that issues certificates for 127.0.0.1 and
// writes them to a directory.
type Authority struct {
	Cert   *x509.Certificate
	CAFile string

	key    *ecdsa.PrivateKey
	dir    string
	serial int64
}

// New returns an authority whose files are removed when the test ends.
func New(t testing.TB) *Authority {
	a := &Authority{dir: t.TempDir(), serial: 1}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "peers"},
		IsCA: true, BasicConstraintsValid: true, NotAfter: time.Now().Add(lifetime), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.Cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.CAFile = a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *Authority) write(t testing.TB, name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// Issue writes a new host certificate and its key, which replace the previous
// ones, and returns their file names.
func (a *Authority) Issue(t testing.TB) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "host"}, NotAfter: time.Now().Add(lifetime),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.Cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return a.write(t, "cert.pem", "CERTIFICATE", der), a.write(t, "key.pem", "EC PRIVATE KEY", keyDER)
}
