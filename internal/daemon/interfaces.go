package daemon

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"time"

	"carobshunt/internal/gateway"
	"carobshunt/internal/headlimit"
	"carobshunt/internal/httplog"
	"carobshunt/internal/metrics"
	"carobshunt/internal/netdial"
	"carobshunt/internal/operator"
	"carobshunt/internal/peer"
	"carobshunt/internal/secure"
	"carobshunt/internal/settings"
	"carobshunt/internal/stream"
	"carobshunt/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
)

// listeners holds the listeners of the interfaces, each with limits on its connections and with TLS if configured. The last two are
// nil without a platform with a store.
type listeners struct{ callers, operators, peers, lookup, ready net.Listener }

// listen opens the listeners and registers their connection metrics. HTTP listeners log the requests that net/http refuses.
func (d *Daemon) listen(creds *credentials, m *metrics.Metrics) (listeners, error) {
	var out listeners
	s := d.settings
	limits := s.ConnectionLimits()
	for _, one := range []struct {
		name     string
		address  string
		limits   secure.Limits
		identity *secure.Identity
		listener *net.Listener
		// heads returns the limits on the heads of requests; nil for an interface without HTTP.
		heads func() headlimit.Limits
	}{
		{"callers", s.Listen.Callers, secure.Limits{MaxConnections: limits.Callers}, creds.callers, &out.callers, d.callerHeads},
		{"operators", s.Listen.Operators, secure.Limits{MaxConnections: limits.Operators}, creds.operators, &out.operators, operator.HeadLimits},
		{"peers", s.Listen.Peers, d.peerLimits(limits.Peers), creds.peers, &out.peers, nil},
		{"lookup", s.Listen.Lookup, secure.Limits{MaxConnections: limits.Lookups}, nil, &out.lookup, d.callerHeads},
		{"ready", s.Listen.Ready, secure.Limits{MaxConnections: limits.Ready}, nil, &out.ready, d.callerHeads},
	} {
		if one.address == "" {
			continue
		}
		inner, err := net.Listen("tcp", one.address)
		if err != nil {
			return out, errors.Annotatef(err, "listen on %s", one.address)
		}
		limited := secure.LimitListener(inner, one.limits)
		m.WatchListener(one.name, limited)
		*one.listener = limited
		if one.identity != nil {
			*one.listener = tls.NewListener(limited, one.identity.ServerConfig())
		}
		if one.heads != nil {
			*one.listener = d.heads.Listener(httplog.Listener(*one.listener, d.log), one.heads)
		}
	}
	return out, nil
}

// callerHeads returns the limits on the heads of callers' requests.
func (d *Daemon) callerHeads() headlimit.Limits {
	if d.settings.Platform.Kind == settings.PlatformStore {
		return platform.HeadLimits(d.loop)
	}
	return headlimit.Limits{Bytes: maxHeaderBytes, Timeout: headerTimeout, Idle: callerIdleTimeout}
}

// peerLimits returns the limits of the peers' interface. Its traffic is counted together with that of outgoing links.
func (d *Daemon) peerLimits(connections int) secure.Limits {
	return secure.Limits{
		MaxConnections: connections,
		WaitsSinceRead: true,
		IdleTimeout:    peerIdleTimeout,
		WriteTimeout:   peerWriteTimeout,
		Traffic:        &d.peerTraffic,
	}
}

// Limits of the callers' and the peers' interface.
const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 5 * time.Second
	// callerIdleTimeout closes a keep-alive connection without requests.
	callerIdleTimeout = 60 * time.Second
	// peerIdleTimeout closes a connection on which the peer sends nothing.
	peerIdleTimeout = 30 * time.Second
	// peerWriteTimeout closes a connection on which a write blocks since the peer reads nothing.
	peerWriteTimeout = 10 * time.Second
	maxHeaderBytes   = 16 << 10 // bytes
)

func (d *Daemon) callersServer(exchanges *stream.Store, dialer netdial.Dialer, m *metrics.Metrics) *http.Server {
	e := echo.New()
	e.HideBanner = true
	gateway.New(d.loop, exchanges, d.self, d.settings.Limits.RequestBytes, dialer, m).Register(e)
	return headlimit.NewServer(e)
}

func (d *Daemon) operatorsServer(creds *credentials, m *metrics.Metrics) *http.Server {
	return operator.NewServer(operator.Options{
		Control: d.loop,
		Self:    d.self,
		Keys:    creds.operatorKeys,
		Metrics: m.Handler(),
	})
}

// connectionLogger returns the logger for net/http's messages about single connections. They are logged at debug level
// since they are not changes of the host's state.
func (d *Daemon) connectionLogger() *log.Logger {
	return d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

// servePeers serves the peers' interface until ctx is done.
func servePeers(ctx context.Context, server *peer.Server, listener net.Listener) error {
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	err := server.Serve(ctx, listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Trace(err)
}

// credentials holds the certificates and keys that settings.Security names; each is nil if none is named.
type credentials struct {
	callers, operators, peers *secure.Identity
	// forwarding is the client identity for forwarding requests to other hosts' callers' interface; nil if the callers'
	// interface of this host has no TLS.
	forwarding   *secure.Identity
	operatorKeys *secure.KeyList
}

// loadCredentials reads the certificate and key files. Its error is a *SettingsError that names the part of the settings
// at fault.
func loadCredentials(s settings.Security) (*credentials, error) {
	creds := &credentials{}
	for _, one := range []struct {
		path     string
		enabled  bool
		files    secure.Files
		identity **secure.Identity
	}{
		{"/security/callers", s.Callers.Enabled(), identityFiles(s.Callers.Certificate, s.Callers.ClientAuthorityFile), &creds.callers},
		{"/security/callers", s.Callers.Enabled(), identityFiles(s.Callers.Certificate, s.AuthorityFile), &creds.forwarding},
		{"/security/operators", s.Operators.Enabled(), identityFiles(s.Operators.Certificate, s.Operators.ClientAuthorityFile), &creds.operators},
		{"/security/peers", s.Peers.Enabled(), identityFiles(s.Peers, s.AuthorityFile), &creds.peers},
	} {
		if !one.enabled {
			continue
		}
		identity, err := secure.LoadIdentity(one.files)
		if err != nil {
			return nil, &SettingsError{Cause: errors.Annotate(err, one.path)}
		}
		*one.identity = identity
	}
	if s.Operators.KeysFile == "" {
		return creds, nil
	}
	var err error
	if creds.operatorKeys, err = secure.LoadKeyList(s.Operators.KeysFile); err != nil {
		return nil, &SettingsError{Cause: errors.Annotate(err, "/security/operators/keys_file")}
	}
	return creds, nil
}

func identityFiles(c settings.Certificate, authority string) secure.Files {
	return secure.Files{Certificate: c.CertificateFile, PrivateKey: c.PrivateKeyFile, Authority: authority}
}

// reloaders returns the keys and certificates to reload, with the names that logs and metrics use.
func (c *credentials) reloaders() []secure.NamedReloader {
	var out []secure.NamedReloader
	for _, one := range []struct {
		name     string
		identity *secure.Identity
	}{{"callers", c.callers}, {"entry hosts", c.forwarding}, {"operators", c.operators}, {"peers", c.peers}} {
		if one.identity != nil {
			out = append(out, secure.NamedReloader{Name: one.name, Reloader: one.identity})
		}
	}
	if c.operatorKeys != nil {
		out = append(out, secure.NamedReloader{Name: "operator keys", Reloader: c.operatorKeys})
	}
	return out
}

// withTLS returns a dialer for TLS connections with the identity, or the dialer unchanged if the identity is nil.
func withTLS(dialer netdial.Dialer, identity *secure.Identity) netdial.Dialer {
	if identity == nil {
		return dialer
	}
	return dialer.WithTLS(identity.ClientConfig)
}

// watchCredentials reloads changed keys and certificates until ctx is done. It logs and counts each reload that took effect
// and, of several consecutive failures of one item, the first.
func (d *Daemon) watchCredentials(ctx context.Context, creds *credentials, m *metrics.Metrics) {
	secure.Watch(ctx, secure.ReloadInterval, creds.reloaders(), func(e secure.ReloadEvent) {
		m.Reloaded(e.Name, e.Err)
		if e.Err != nil {
			d.log.Warn("keys not reloaded", "of", e.Name, "error", e.Err.Error())
			return
		}
		d.log.Info("keys reloaded", "of", e.Name)
	})
}
