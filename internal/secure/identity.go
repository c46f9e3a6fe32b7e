// Package secure holds the certificates and bearer keys of a process: its own certificate, the authority that it trusts
// and the keys that it accepts. They are reloaded from their files without a restart. The package also limits the
// connections of a listener.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"sync/atomic"

	"github.com/juju/errors"
)

// Files are the paths of a certificate, its private key and the authority that verifies the other side, all in PEM. Each
// is optional, but a certificate needs its private key.
type Files struct {
	Certificate string
	PrivateKey  string
	// Authority may be empty: a server then requests no client certificate, and a client uses the system's roots.
	Authority string
}

// AuthorityError reports an authority file without a certificate.
type AuthorityError struct{ Path string }

// Error implements error.
func (e *AuthorityError) Error() string { return fmt.Sprintf("%s: holds no certificate", e.Path) }

// Identity is a process's own certificate and the authority that it trusts. ServerConfig and ClientConfig are safe for
// concurrent use, also during a Reload; Reload must not be called concurrently.
type Identity struct {
	files    Files
	current  atomic.Pointer[credentials]
	contents fileContents
}

// credentials is the parsed content of the files.
type credentials struct {
	certificates []tls.Certificate
	authority    *x509.CertPool
}

// LoadIdentity loads the files.
func LoadIdentity(files Files) (*Identity, error) {
	i := &Identity{files: files}
	_, err := i.Reload()
	return i, errors.Trace(err)
}

// Reload implements Reloader. It also fails while only one of certificate and private key has been replaced; the previous
// pair stays in use until they match.
func (i *Identity) Reload() (bool, error) {
	contents, err := readFiles(i.paths()...)
	if err != nil {
		return false, errors.Trace(err)
	}
	if i.contents.equal(contents) {
		return false, nil
	}
	creds, err := i.parse(contents)
	if err != nil {
		return false, errors.Trace(err)
	}
	i.current.Store(creds)
	i.contents = contents
	return true, nil
}

func (i *Identity) paths() []string {
	var paths []string
	if i.files.Certificate != "" {
		paths = append(paths, i.files.Certificate, i.files.PrivateKey)
	}
	if i.files.Authority != "" {
		paths = append(paths, i.files.Authority)
	}
	return paths
}

func (i *Identity) parse(contents fileContents) (*credentials, error) {
	creds := &credentials{}
	if i.files.Certificate != "" {
		pair, err := tls.X509KeyPair(contents[0], contents[1])
		if err != nil {
			return nil, errors.Annotate(err, i.files.Certificate)
		}
		creds.certificates = []tls.Certificate{pair}
	}
	if i.files.Authority != "" {
		creds.authority = x509.NewCertPool()
		if !creds.authority.AppendCertsFromPEM(contents[len(contents)-1]) {
			return nil, &AuthorityError{Path: i.files.Authority}
		}
	}
	return creds, nil
}

// ServerConfig returns the TLS configuration of a listener. Each new connection uses the certificate that was loaded last.
// With an authority, clients must present a certificate that it signed.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := i.current.Load()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: creds.certificates, NextProtos: nextProtos}
			if creds.authority != nil {
				config.ClientCAs = creds.authority
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// nextProtos excludes HTTP/2, because admission before the body is sent relies on 100 Continue of HTTP/1.1.
var nextProtos = []string{"http/1.1"}

// ClientConfig returns the TLS configuration of a new outgoing connection, with the certificate that was loaded last.
// Without an authority the system's root certificates are trusted.
func (i *Identity) ClientConfig() *tls.Config {
	creds := i.current.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: creds.certificates, RootCAs: creds.authority}
}
