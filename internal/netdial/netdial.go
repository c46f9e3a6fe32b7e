// Package netdial makes the outgoing connections of a host. They leave from the host's own IP address, so that the
// other side and the network between can tell hosts apart on a machine that has several addresses.
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

// Dialer connects from one IP address.
type Dialer struct {
	source  netip.Addr
	secure  func() *tls.Config
	traffic *Traffic
}

// From returns a dialer for the IP address of a listening address; one that is not valid, or that stands for all
// addresses, leaves the choice to the system.
func From(listen string) Dialer {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Addr().IsUnspecified() {
		return Dialer{}
	}
	return Dialer{source: address.Addr()}
}

// WithTLS returns a dialer whose connections are secured by the configuration that config returns at each dial. The
// other side is verified by the IP address that is dialed. Above it, connections look like plain ones.
func (d Dialer) WithTLS(config func() *tls.Config) Dialer {
	d.secure = config
	return d
}

// WithTraffic returns a dialer that counts the bytes of its connections, as they are on the wire.
func (d Dialer) WithTraffic(traffic *Traffic) Dialer {
	d.traffic = traffic
	return d
}

// A connection may go silent without being closed. These bounds make it fail within a few seconds.
var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

const (
	// probeIdle is the time without traffic after which a connection is probed, every probeInterval until probeCount
	// probes had no answer.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is how long what was sent may stay without acknowledgement.
	userTimeout = 1500 * time.Millisecond
)

// setUserTimeout bounds the time without acknowledgement.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(failed)
}

// WithTimeout returns a dial function for transports; the timeout covers the TLS handshake too.
func (d Dialer) WithTimeout(timeout time.Duration) dialFunc {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: probes, Control: setUserTimeout}
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
			return countedConn{Conn: conn, traffic: d.traffic}, nil
		}
	}
	if d.secure == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dialTLS(ctx, dial, d.secure(), network, address)
	}
}

// dialFunc connects.
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
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	return secured, nil
}
