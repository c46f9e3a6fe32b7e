package secure

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"carobshunt/internal/netdial"
	"carobshunt/internal/testcert"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

const localhost = "127.0.0.1"

// endpoint is one end of a TLS connection, with its own certificate files.
type endpoint struct {
	files    Files
	identity *Identity
	serial   int64
}

func newEndpoint(t *testing.T, signer *testcert.Authority, ip string, authorityFile string) *endpoint {
	t.Helper()
	dir := t.TempDir()
	p := &endpoint{files: Files{
		Certificate: filepath.Join(dir, "certificate.pem"), PrivateKey: filepath.Join(dir, "key.pem"), Authority: authorityFile,
	}}
	p.serial = signer.Issue(p.files.Certificate, p.files.PrivateKey, ip)
	var err error
	p.identity, err = LoadIdentity(p.files)
	assert.NilError(t, err)
	return p
}

// echoServer starts a TLS server that echoes every byte, and returns its address.
func echoServer(t *testing.T, identity *Identity) string {
	t.Helper()
	inner, err := net.Listen("tcp", localhost+":0")
	assert.NilError(t, err)
	l := tls.NewListener(inner, identity.ServerConfig())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	return inner.Addr().String()
}

const dialTimeout = 5 * time.Second

// exchange sends one byte through an echo server and waits for its return.
func exchange(conn net.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func dial(t *testing.T, address string, identity *Identity) (net.Conn, error) {
	t.Helper()
	conn, err := netdial.Dialer{}.WithTLS(identity.ClientConfig).WithTimeout(dialTimeout)(context.Background(), "tcp", address)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

func serialOf(conn net.Conn) int64 {
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestReloadedCertificateIsServedToNewConnectionsOnly(t *testing.T) {
	authority := testcert.NewAuthority(t)
	server := newEndpoint(t, authority, localhost, authority.File)
	client := newEndpoint(t, authority, localhost, authority.File)
	address := echoServer(t, server.identity)
	before, err := dial(t, address, client.identity)
	assert.NilError(t, err)
	assert.NilError(t, exchange(before))
	assert.Equal(t, serialOf(before), server.serial)

	renewed := authority.Issue(server.files.Certificate, server.files.PrivateKey, localhost)
	changed, err := server.identity.Reload()
	assert.NilError(t, err)
	assert.Assert(t, changed)

	after, err := dial(t, address, client.identity)
	assert.NilError(t, err)
	assert.NilError(t, exchange(after))
	assert.Equal(t, serialOf(after), renewed)
	assert.NilError(t, exchange(before))
	changed, err = server.identity.Reload()
	assert.NilError(t, err)
	assert.Assert(t, !changed, "unchanged files are not reloaded")
}

func TestMismatchedKeyPairKeepsThePreviousOne(t *testing.T) {
	authority := testcert.NewAuthority(t)
	server := newEndpoint(t, authority, localhost, "")
	client, err := LoadIdentity(Files{Authority: authority.File})
	assert.NilError(t, err)
	address := echoServer(t, server.identity)
	renewed := authority.Issue(server.files.Certificate, filepath.Join(t.TempDir(), "key.pem"), localhost)
	for range 2 {
		_, err = server.identity.Reload()
		assert.Assert(t, err != nil, "an invalid pair is reported on every reload until it is fixed")
	}
	conn, err := dial(t, address, client)
	assert.NilError(t, err)
	assert.Equal(t, serialOf(conn), server.serial)
	assert.Assert(t, renewed != server.serial)
}

func TestOnlyCertificatesOfTheAuthorityAreTrusted(t *testing.T) {
	ours, foreign := testcert.NewAuthority(t), testcert.NewAuthority(t)
	server := newEndpoint(t, ours, localhost, ours.File)
	otherAddress := newEndpoint(t, ours, "127.0.0.2", ours.File)
	anonymous, err := LoadIdentity(Files{Authority: ours.File})
	assert.NilError(t, err)
	cases := []struct {
		name    string
		server  *Identity
		client  *Identity
		refused bool
	}{
		{"both from the trusted authority", server.identity, newEndpoint(t, ours, localhost, ours.File).identity, false},
		{"client without a certificate", server.identity, anonymous, true},
		{"client from another authority", server.identity, newEndpoint(t, foreign, localhost, ours.File).identity, true},
		{"server from another authority", server.identity, newEndpoint(t, ours, localhost, foreign.File).identity, true},
		{"server with a certificate for another address", otherAddress.identity, newEndpoint(t, ours, localhost, ours.File).identity, true},
	}
	for _, c := range cases {
		conn, err := dial(t, echoServer(t, c.server), c.client)
		if err == nil {
			err = exchange(conn)
		}
		assert.Equal(t, err != nil, c.refused, "%s: %v", c.name, err)
	}
}

func TestFilesWithoutCertificatesAreRefused(t *testing.T) {
	authority := testcert.NewAuthority(t)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	assert.NilError(t, os.WriteFile(empty, []byte("nothing"), 0o600))
	_, err := LoadIdentity(Files{Authority: empty})
	var bad *AuthorityError
	assert.Assert(t, errors.As(err, &bad))
	_, err = LoadIdentity(Files{Certificate: empty, PrivateKey: empty, Authority: authority.File})
	assert.Assert(t, err != nil)
	_, err = LoadIdentity(Files{Authority: empty + "-missing"})
	assert.Assert(t, os.IsNotExist(errors.Cause(err)), "%v", err)
}

func digestLine(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]) + "\n"
}

func TestKeyListReloadsItsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	assert.NilError(t, os.WriteFile(path, []byte("# operators\n\n"+digestLine("first-key")), 0o600))
	keys, err := LoadKeyList(path)
	assert.NilError(t, err)
	assert.Assert(t, keys.Allows("first-key"))
	assert.Assert(t, !keys.Allows("second-key"))
	assert.Assert(t, !keys.Allows(""))

	assert.NilError(t, os.WriteFile(path, []byte(digestLine("second-key")+digestLine("")), 0o600))
	changed, err := keys.Reload()
	assert.NilError(t, err)
	assert.Assert(t, changed)
	assert.Assert(t, keys.Allows("second-key"))
	assert.Assert(t, !keys.Allows("first-key"))
	assert.Assert(t, !keys.Allows(""), "an empty key is refused even if its digest is listed")

	assert.NilError(t, os.WriteFile(path, []byte(digestLine("third-key")+"plain-secret\n"), 0o600))
	_, err = keys.Reload()
	var bad *KeyFileError
	assert.Assert(t, errors.As(err, &bad))
	assert.Equal(t, bad.Line, 2)
	assert.Assert(t, !strings.Contains(err.Error(), "plain-secret"), "the error must not quote a key")
	assert.Assert(t, keys.Allows("second-key"), "the previous keys stay in use")
}

func TestBearerKeyNeedsTheBearerScheme(t *testing.T) {
	for value, want := range map[string]string{
		"": "", "Bearer abc": "abc", "Basic abc": "", "bearer abc": "", "Bearer ": "",
	} {
		h := http.Header{}
		h.Set("Authorization", value)
		assert.Equal(t, BearerKey(h), want, value)
	}
	h := http.Header{}
	SetBearerKey(h, "")
	assert.Equal(t, len(h), 0)
	SetBearerKey(h, "abc")
	assert.Equal(t, BearerKey(h), "abc")
}

func TestListenerClosesConnectionsOverItsLimit(t *testing.T) {
	inner, err := net.Listen("tcp", localhost+":0")
	assert.NilError(t, err)
	l := LimitListener(inner, Limits{MaxConnections: 2})
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	connect := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	connect()
	connect()
	first, second := <-accepted, <-accepted
	for _, conn := range []net.Conn{first, second} {
		assert.NilError(t, conn.(*limitedConn).RequestBegan())
	}
	_, err = connect().Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the third connection is closed")
	assert.Equal(t, l.Displaced(), uint64(0))
	assert.Equal(t, l.Refused(), uint64(1))
	assert.Equal(t, l.Open(), int64(2))
	assert.NilError(t, first.Close())
	_ = first.Close()
	connect()
	<-accepted
	assert.Equal(t, l.Open(), int64(2), "closing a connection twice frees one slot")
	_ = second.Close()
}

// TestNewConnectionDisplacesTheOneThatWaitsLongest guards against clients that are shut out by connections that nobody uses, and
// against requests that are run though their connection was closed for another one.
func TestNewConnectionDisplacesTheOneThatWaitsLongest(t *testing.T) {
	inner, err := net.Listen("tcp", localhost+":0")
	assert.NilError(t, err)
	l := LimitListener(inner, Limits{MaxConnections: 3})
	defer func() { _ = l.Close() }()
	connect := func() (client net.Conn, accepted *limitedConn) {
		client, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		conn, err := l.Accept()
		assert.NilError(t, err)
		return client, conn.(*limitedConn)
	}
	_, serving := connect()
	assert.NilError(t, serving.RequestBegan())
	again, waitsAgain := connect()
	oldest, waitsLongest := connect()
	assert.NilError(t, waitsAgain.RequestBegan())
	waitsAgain.RequestEnded()
	connect()
	_, err = oldest.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection that waits longest is closed")
	assert.Equal(t, waitsLongest.RequestBegan(), ErrDisplaced)
	assert.NilError(t, waitsAgain.RequestBegan())
	assert.NilError(t, waitsAgain.SetBodyAwaited(true))
	connect()
	connect()
	_, err = again.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection with half a request is closed, after those that waited longer")
	assert.Equal(t, waitsAgain.SetBodyAwaited(false), ErrDisplaced)
	assert.Equal(t, l.Displaced(), uint64(3))
	assert.Equal(t, l.Open(), int64(3))
	assert.NilError(t, serving.SetBodyAwaited(false))
}

// TestConnectionWhoseAnswerIsWrittenGivesWay guards against new clients that are shut out by connections which only wait to be closed.
func TestConnectionWhoseAnswerIsWrittenGivesWay(t *testing.T) {
	inner, err := net.Listen("tcp", localhost+":0")
	assert.NilError(t, err)
	l := LimitListener(inner, Limits{MaxConnections: 1})
	defer func() { _ = l.Close() }()
	for range 2 {
		client, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		conn, err := l.Accept()
		assert.NilError(t, err)
		assert.NilError(t, conn.(*limitedConn).RequestBegan())
		assert.NilError(t, conn.(*limitedConn).CloseWrite())
	}
	assert.Equal(t, l.Displaced(), uint64(1))
}

func TestReadOfIdleConnectionTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		conn := &limitedConn{Conn: near, listener: &Listener{limits: Limits{IdleTimeout: time.Minute}}}
		go func() {
			time.Sleep(50 * time.Second)
			_, _ = far.Write([]byte("x"))
		}()
		start := time.Now()
		_, err := conn.Read(make([]byte, 1))
		assert.NilError(t, err)
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		assert.Equal(t, time.Since(start), 110*time.Second)
	})
}

func TestBlockedWriteTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		traffic := &netdial.Traffic{}
		conn := &limitedConn{Conn: near, listener: &Listener{limits: Limits{WriteTimeout: time.Minute, Traffic: traffic}}}
		go func() { _, _ = io.ReadFull(far, make([]byte, 3)) }()
		start := time.Now()
		n, err := conn.Write([]byte("12345"))
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		assert.Equal(t, n, 3)
		assert.Equal(t, time.Since(start), time.Minute)
		assert.Equal(t, traffic.Out(), uint64(3))
	})
}

// scriptedReloader is a Reloader with scripted results; the last one repeats.
type scriptedReloader struct {
	errs    []error
	changed []bool
	next    int
}

func (s *scriptedReloader) Reload() (bool, error) {
	i := min(s.next, len(s.errs)-1)
	s.next++
	return s.changed[i], s.errs[i]
}

func TestWatchReportsChangesOnceAndErrorsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := &AuthorityError{Path: "x"}
		s := &scriptedReloader{
			errs:    []error{nil, broken, broken, nil, broken, nil},
			changed: []bool{true, false, false, true, false, false},
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var events []ReloadEvent
		Watch(ctx, time.Second, []NamedReloader{{Name: "peers", Reloader: s}}, func(e ReloadEvent) { events = append(events, e) })
		assert.DeepEqual(t, events, []ReloadEvent{
			{Name: "peers"}, {Name: "peers", Err: broken}, {Name: "peers"}, {Name: "peers", Err: broken},
		})
	})
}
