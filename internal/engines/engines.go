// Package engines asks model engines about their memory and has it reserved, released and freed, over HTTP. Each
// call is bounded in time; answers go to the control loop.
package engines

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/sweep"
	"carobshunt/internal/jsonhttp"
	"carobshunt/internal/netdial"
)

// Paths of the engines' protocol.
const (
	PathMemory       = "/v1/memory"
	PathReservations = "/v1/reservations"
	PathExports      = "/v1/exports"
	PathStreams      = "/v1/streams"
	PathOrders       = "/v1/orders"
)

// Reservation is the body of a PUT to PathReservations/NAME.
type Reservation struct {
	Tokens   int64 `json:"tokens"`
	ExpiryMs int64 `json:"expiry_ms"`
	// Renewal is refused with 404 when the engine does not know the reservation.
	Renewal bool `json:"renewal,omitempty"`
}

// Timeouts and sizes.
const (
	callTimeout  = 2 * time.Second
	dialTimeout  = time.Second
	idleTimeout  = 30 * time.Second
	maxListBytes = 8 << 20
)

// Control is the part of the control loop that the client needs.
type Control interface {
	Post(node.Input)
	Now() core.Time
}

// Client talks to engines. It is safe for concurrent use.
type Client struct {
	control Control
	dialer  netdial.Dialer
	http    *http.Client
}

// New returns a client whose connections leave from the dialer's address.
func New(control Control, dialer netdial.Dialer) *Client {
	return &Client{control: control, dialer: dialer, http: &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DialContext:         dialer.WithTimeout(dialTimeout),
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}}
}

// Reserve carries out the action and posts the answer.
func (c *Client) Reserve(ctx context.Context, a node.Reserve) {
	body := Reservation{Tokens: a.Tokens, ExpiryMs: a.Expiry.Milliseconds(), Renewal: a.Renewal}
	status, err := c.call(ctx, http.MethodPut, path(a.Target, PathReservations, a.Reservation.Name()), body, nil)
	c.control.Post(Answered(&a, status, err))
}

// Answered is what became of a reservation by the status of its answer, or the error that came in its place.
func Answered(a *node.Reserve, status int, err error) node.ReservationAnswered {
	answer := group.Refused
	switch {
	case err != nil:
		answer = group.Unreachable
	case status == http.StatusOK:
		answer = group.Held
	case status == http.StatusAccepted:
		answer = group.Waiting
	}
	return node.ReservationAnswered{Key: a.Key, Target: a.Target, Reservation: a.Reservation, Asked: a.Asked, Answer: answer}
}

// Release carries out the action; what it misses expires.
func (c *Client) Release(ctx context.Context, a node.Release) {
	_, _ = c.call(ctx, http.MethodDelete, path(a.Target, PathReservations, a.Reservation.Name()), nil, nil)
}

// ListMemory carries out the action and posts the list, or nothing when the engine does not answer.
func (c *Client) ListMemory(ctx context.Context, a node.ListMemory) {
	var list []sweep.Holding
	status, err := c.call(ctx, http.MethodGet, "http://"+a.Target+PathMemory, nil, &list)
	if err == nil && status == http.StatusOK {
		c.control.Post(node.MemoryListed{Target: a.Target, Holdings: list})
	}
}

// CancelHolding carries out the action; what it misses is on the next list.
func (c *Client) CancelHolding(ctx context.Context, a node.CancelHolding) {
	_, _ = c.call(ctx, http.MethodDelete, path(a.Target, pathOf(a.Kind), a.Name), nil, nil)
}

func pathOf(kind sweep.Kind) string {
	switch kind {
	case sweep.KindReservation:
		return PathReservations
	case sweep.KindExport:
		return PathExports
	}
	return PathStreams
}

func path(target, base, name string) string {
	return "http://" + target + base + "/" + url.PathEscape(name)
}

// call makes one call with the client for all calls that no deadline gates.
func (c *Client) call(ctx context.Context, method, address string, in, out any) (int, error) {
	return jsonhttp.Caller{Client: c.http, MaxBytes: maxListBytes}.Call(ctx, method, address, in, out)
}
