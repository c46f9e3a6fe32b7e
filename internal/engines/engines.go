// Package engines is the HTTP client of the model engines' memory and order interface: it lists, reserves, releases and
// cancels engine memory and reads and sends orders. Every call has a timeout. Results are posted to the control loop,
// except those of Release and CancelHolding.
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
	"carobshunt/internal/httpstrict"
	"carobshunt/internal/jsonhttp"
	"carobshunt/internal/netdial"
)

// Paths of the engines' HTTP interface.
const (
	PathMemory       = "/v1/memory"
	PathReservations = "/v1/reservations"
	PathExports      = "/v1/exports"
	PathStreams      = "/v1/streams"
	PathOrders       = "/v1/orders"
)

// Reservation is the body of a PUT to PathReservations/NAME.
type Reservation struct {
	// Tokens is the memory to reserve, in tokens.
	Tokens int64 `json:"tokens"`
	// ExpiryMs is how long the reservation lasts without renewal, in milliseconds.
	ExpiryMs int64 `json:"expiry_ms"`
	// Renewal marks the renewal of an existing reservation; an engine that does not know it answers 404.
	Renewal bool `json:"renewal,omitempty"`
}

// Timeouts and sizes.
const (
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// maxListBytes bounds an answer of an engine.
	maxListBytes = 8 << 20
)

// Control is the part of the control loop that Client uses.
type Control interface {
	Post(node.Input)
	Now() core.Time
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	control Control
	dialer  netdial.Dialer
	http    *http.Client
}

// New returns a client that connects through the dialer and posts results to control.
func New(control Control, dialer netdial.Dialer) *Client {
	transport := &http.Transport{
		DialContext:         dialer.WithTimeout(dialTimeout),
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,
	}
	client := &http.Client{Timeout: callTimeout, Transport: httpstrict.NewTransport(transport)}
	return &Client{control: control, dialer: dialer, http: client}
}

// Reserve creates or renews a reservation and posts a node.ReservationAnswered.
func (c *Client) Reserve(ctx context.Context, a node.Reserve) {
	body := Reservation{Tokens: a.Tokens, ExpiryMs: a.Expiry.Milliseconds(), Renewal: a.Renewal}
	status, err := c.call(ctx, http.MethodPut, resourceURL(a.Target, PathReservations, a.Reservation.Name()), body, nil)
	c.control.Post(ReservationOutcome(&a, status, err))
}

// ReservationOutcome returns the outcome of a reservation from the HTTP status of its answer, or from the error of the
// call.
func ReservationOutcome(a *node.Reserve, status int, err error) node.ReservationAnswered {
	answer := group.Refused
	switch {
	case err != nil:
		answer = group.Unreachable
	case status == http.StatusOK:
		answer = group.Held
	case status == http.StatusAccepted:
		answer = group.Waiting
	}
	return node.ReservationAnswered{
		Key: a.Key, Target: a.Target, Instance: a.Instance, Reservation: a.Reservation, SentAt: a.SentAt, Answer: answer,
	}
}

// Release deletes a reservation. Errors are ignored: a reservation that stays expires.
func (c *Client) Release(ctx context.Context, a node.Release) {
	_, _ = c.call(ctx, http.MethodDelete, resourceURL(a.Target, PathReservations, a.Reservation.Name()), nil, nil)
}

// ListMemory posts the holdings that the engine lists as a node.MemoryListed; it posts nothing if the call fails.
func (c *Client) ListMemory(ctx context.Context, a node.ListMemory) {
	var list []sweep.Holding
	status, err := c.call(ctx, http.MethodGet, "http://"+a.Target+PathMemory, nil, &list)
	if err == nil && status == http.StatusOK {
		c.control.Post(node.MemoryListed{Target: a.Target, Holdings: list})
	}
}

// CancelHolding deletes a holding. Errors are ignored: a holding that stays is on the engine's next list.
func (c *Client) CancelHolding(ctx context.Context, a node.CancelHolding) {
	_, _ = c.call(ctx, http.MethodDelete, resourceURL(a.Target, holdingPath(a.Kind), a.Name), nil, nil)
}

func holdingPath(kind sweep.Kind) string {
	switch kind {
	case sweep.KindReservation:
		return PathReservations
	case sweep.KindExport:
		return PathExports
	}
	return PathStreams
}

func resourceURL(target, base, name string) string {
	return "http://" + target + base + "/" + url.PathEscape(name)
}

// call makes a call that has no write deadline, over the shared client.
func (c *Client) call(ctx context.Context, method, address string, in, out any) (int, error) {
	return jsonhttp.Caller{Client: c.http, MaxBytes: maxListBytes}.Call(ctx, method, address, in, out)
}
