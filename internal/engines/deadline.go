package engines

import (
	"context"
	"net"
	"net/http"

	"carobshunt/internal/core"
	"carobshunt/internal/httpstrict"

	"github.com/juju/errors"
)

// errDeadlinePassed fails an order that would be written after its deadline, as a process that was suspended might do.
const errDeadlinePassed = errors.ConstError("the deadline passed before the order was written")

// deadlineConn checks a deadline right before each write.
type deadlineConn struct {
	net.Conn
	now      func() core.Time
	deadline core.Time
}

// Write implements net.Conn.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if c.now() >= c.deadline {
		return 0, errDeadlinePassed
	}
	return c.Conn.Write(p)
}

// clientUntil returns a client for a single call that writes nothing after the deadline. Its connection is never reused:
// the transport retries requests on reused connections only, so it sends the order at most once.
func (c *Client) clientUntil(deadline core.Time) *http.Client {
	dial := c.dialer.WithTimeout(dialTimeout)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &deadlineConn{Conn: conn, now: c.control.Now, deadline: deadline}, nil
		},
		DisableKeepAlives: true,
	}
	return &http.Client{Timeout: callTimeout, Transport: httpstrict.NewTransport(transport)}
}
