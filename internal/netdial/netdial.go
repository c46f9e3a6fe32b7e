// Package netdial makes the outgoing connections of a host. They leave from the host's own IP address, so that the
// other side and the network between can tell hosts apart on a machine that has several addresses.
package netdial

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Dialer connects from one IP address.
type Dialer struct{ source netip.Addr }

// From returns a dialer for the IP address of a listening address; one that is not valid, or that stands for all
// addresses, leaves the choice to the system.
func From(listen string) Dialer {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Addr().IsUnspecified() {
		return Dialer{}
	}
	return Dialer{source: address.Addr()}
}

// WithTimeout returns a dial function for transports.
func (d Dialer) WithTimeout(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout}
	if d.source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: d.source.AsSlice()}
	}
	return dialer.DialContext
}
