// Package netdial makes the outgoing connections of a host. They are bound to the host's own IP address, so that the
// remote side and the network can tell hosts apart that share a machine with several addresses.
package netdial

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Dialer opens connections from one source IP address. The zero value leaves the source address to the system.
type Dialer struct {
	source    netip.Addr
	tlsConfig func() *tls.Config
	traffic   *Traffic
}

// From returns a dialer whose source is the IP address of a listen address. If the listen address is invalid or
// unspecified (0.0.0.0 or ::), the system chooses the source.
func From(listen string) Dialer {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Addr().IsUnspecified() {
		return Dialer{}
	}
	return Dialer{source: address.Addr()}
}

// WithTLS returns a dialer that makes TLS connections. It calls config at each dial and sets ServerName on the result, so
// config must return a new value each time. The certificate of the remote side is verified against the dialed IP address.
func (d Dialer) WithTLS(config func() *tls.Config) Dialer {
	d.tlsConfig = config
	return d
}

// WithTraffic returns a dialer that counts the bytes of its connections on the wire, that is, after TLS encryption.
func (d Dialer) WithTraffic(traffic *Traffic) Dialer {
	d.traffic = traffic
	return d
}

// keepAlive makes a connection whose remote side vanished without closing it fail within a few seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

const (
	// A connection without traffic for keepAliveIdle is probed every keepAliveInterval, and fails after keepAliveCount
	// unanswered probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 1500 * time.Millisecond
)

// setUserTimeout sets TCP_USER_TIMEOUT on a socket; it is a net.Dialer.Control function.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(sockoptErr)
}

// WithTimeout returns a dial function for http.Transport. The timeout includes the TLS handshake.
func (d Dialer) WithTimeout(timeout time.Duration) dialFunc {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	if d.source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: d.source.AsSlice()}
	}
	dial := dialer.DialContext
	if d.traffic != nil {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{Conn: conn, traffic: d.traffic}, nil
		}
	}
	if d.tlsConfig == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dialTLS(ctx, dial, d.tlsConfig(), network, address)
	}
}

// dialFunc is the type of http.Transport.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func dialTLS(ctx context.Context, dial dialFunc, config *tls.Config, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config.ServerName = host
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	return tlsConn, nil
}
