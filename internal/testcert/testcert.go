// Package testcert creates certificate authorities and certificates for tests.
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

	"gotest.tools/v3/assert"
)

// Authority is a certificate authority that fails its test on any error. It is not safe for concurrent use.
type Authority struct {
	// File is the path of the authority's certificate in PEM.
	File string

	t           testing.TB
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// lifetime is how long before and after their creation certificates are valid.
const lifetime = time.Hour

// NewAuthority returns an authority whose certificate file is in a temporary directory of the test.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: t.TempDir(), serial: 1}
	a.key = a.newKey()
	template := a.template()
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(raw)
	assert.NilError(t, err)
	a.File = filepath.Join(a.dir, "authority.pem")
	a.write(a.File, "CERTIFICATE", raw)
	return a
}

// Issue writes a certificate for an IP address and its private key to two files, replacing existing ones, and returns the
// certificate's serial number. The certificate serves both servers and clients.
func (a *Authority) Issue(certificateFile, keyFile, ip string) int64 {
	a.t.Helper()
	key := a.newKey()
	template := a.template()
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	a.write(certificateFile, "CERTIFICATE", raw)
	a.write(keyFile, "EC PRIVATE KEY", private)
	return template.SerialNumber.Int64()
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	return key
}

func (a *Authority) template() *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    time.Now().Add(-lifetime),
		NotAfter:     time.Now().Add(lifetime),
	}
}

func (a *Authority) write(path, kind string, raw []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	assert.NilError(a.t, os.WriteFile(path, text, 0o600))
}
