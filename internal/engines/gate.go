package engines

import (
	"context"
	"net"
	"net/http"

	"carobshunt/internal/core"

	"github.com/juju/errors"
)

// errTooLate fails an order that would be written after its deadline, as a process that was suspended might do.
const errTooLate = errors.ConstError("the deadline passed before the order was written")

// gatedConn checks a deadline right before each write.
type gatedConn struct {
	net.Conn
	now      func() core.Time
	deadline core.Time
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.now() >= c.deadline {
		return 0, errTooLate
	}
	return c.Conn.Write(p)
}

// gated returns a client for a single call that writes nothing after the deadline. Its connection is never reused: the
// transport retries requests on reused connections only, so it sends the order at most once.
func (c *Client) gated(deadline core.Time) *http.Client {
	dial := c.dialer.WithTimeout(dialTimeout)
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &gatedConn{Conn: conn, now: c.control.Now, deadline: deadline}, nil
			},
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}
