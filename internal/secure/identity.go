// Package secure holds the keys and certificates of a process: who it is, whom it believes, and how both are
// reloaded from their files without a restart. It also bounds the connections of a listener.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"sync/atomic"

	"github.com/juju/errors"
)

// Files name a certificate with its private key, and the authority by which the other side is verified, all in PEM.
type Files struct {
	Certificate string
	PrivateKey  string
	// Authority is empty where the other side shows no certificate.
	Authority string
}

// AuthorityError reports an authority file without a certificate.
type AuthorityError struct{ Path string }

// Error implements error.
func (e *AuthorityError) Error() string { return fmt.Sprintf("%s: holds no certificate", e.Path) }

// Identity is a process's own certificate and the authority that it believes. It is safe for concurrent use.
type Identity struct {
	files   Files
	current atomic.Pointer[material]
	state   fileState
}

// material is what the files held at one reading.
type material struct {
	certificates []tls.Certificate
	authority    *x509.CertPool
}

// LoadIdentity reads the files.
func LoadIdentity(files Files) (*Identity, error) {
	i := &Identity{files: files}
	_, err := i.Reload()
	return i, errors.Trace(err)
}

// Reload reads the files again when one has changed. After an error, as when only one of the pair was replaced so
// far, the former certificate stays.
func (i *Identity) Reload() (bool, error) {
	state, err := readFiles(i.paths()...)
	if err != nil {
		return false, errors.Trace(err)
	}
	if i.state.same(state) {
		return false, nil
	}
	m, err := i.parse(state)
	if err != nil {
		return false, errors.Trace(err)
	}
	i.current.Store(m)
	i.state = state
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

func (i *Identity) parse(state fileState) (*material, error) {
	m := &material{}
	if i.files.Certificate != "" {
		pair, err := tls.X509KeyPair(state[0], state[1])
		if err != nil {
			return nil, errors.Annotate(err, i.files.Certificate)
		}
		m.certificates = []tls.Certificate{pair}
	}
	if i.files.Authority != "" {
		m.authority = x509.NewCertPool()
		if !m.authority.AppendCertsFromPEM(state[len(state)-1]) {
			return nil, &AuthorityError{Path: i.files.Authority}
		}
	}
	return m, nil
}

// Server returns the configuration of a listener. Each new connection gets the certificate of the last reading;
// where there is an authority, the other side must show a certificate of it.
func (i *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := i.current.Load()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: m.certificates, NextProtos: nextProtos}
			if m.authority != nil {
				config.ClientCAs = m.authority
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// nextProtos leaves HTTP/2 out: the decision before the body rests on HTTP/1.1's 100 Continue.
var nextProtos = []string{"http/1.1"}

// Client returns the configuration of a new outgoing connection, from the last reading. Without an authority the
// system's are believed.
func (i *Identity) Client() *tls.Config {
	m := i.current.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: m.certificates, RootCAs: m.authority}
}
