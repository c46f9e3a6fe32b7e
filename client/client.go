// Package client is the library for callers. It caches the lookup of entry hosts, sends a body only after the host has
// asked for it (100 Continue), verifies checksums and resumes interrupted answers. It binds a request that is not
// idempotent to one home, and to another one only as long as no byte of its body may have been sent.
package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"carobshunt/api"
	"carobshunt/internal/httpstrict"
	"carobshunt/internal/netdial"

	"github.com/juju/errors"
)

// Options configure a Client.
type Options struct {
	// Entries are callers' addresses of entry hosts, as IP address and port. The first lookup needs one that answers;
	// later ones also ask the hosts that the last lookup named.
	Entries []string
	// Zone is the caller's availability zone; hosts in it are preferred.
	Zone string
	// Team is the caller's team.
	Team string
	// Key is the team's bearer key; empty where the team has none.
	Key string
	// TLS secures the connections; nil where callers' interfaces speak plain HTTP.
	TLS *tls.Config
	// MaxAttempts is the maximum number of attempts at one request; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// RetryRefused makes Do retry after a refusal that names a time to come back, at that time.
	RetryRefused bool
}

// DefaultMaxAttempts is the default maximum number of attempts at one request.
const DefaultMaxAttempts = 8

// Timeouts of the client.
const (
	dialTimeout   = time.Second
	lookupTimeout = 2 * time.Second
	// continueTimeout is longer than any budget: after it, the transport would send the body to a host that has not
	// asked for it.
	continueTimeout = 24 * time.Hour
	// retryPause is the minimum time between two attempts.
	retryPause = 200 * time.Millisecond
)

// Client submits requests to entry hosts. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	mu     sync.Mutex
	lookup *cachedLookup
	// revision is the highest configuration revision of the lookups that named hosts.
	revision uint64
	// nextEntry rotates the order in which lookups try Options.Entries.
	nextEntry int
}

// cachedLookup is the answer to a lookup and when it arrived.
type cachedLookup struct {
	answer api.Lookup
	at     time.Time
}

// New returns a client.
func New(opts Options) *Client {
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = DefaultMaxAttempts
	}
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:       opts.TLS,
		TLSHandshakeTimeout:   dialTimeout,
		ExpectContinueTimeout: continueTimeout,
	}
	return &Client{opts: opts, http: &http.Client{Transport: httpstrict.NewTransport(transport), CheckRedirect: netdial.ReturnRedirect}}
}

// url returns the URL of a path on a host.
func (c *Client) url(host, path string) string {
	if c.opts.TLS != nil {
		return "https://" + host + path
	}
	return "http://" + host + path
}

// ErrNoHost is the error of a lookup that had no host to ask, or in which every host that was asked answered but none
// named an entry host to use. If asking any of them failed, the error is the last such failure instead.
const ErrNoHost = errors.ConstError("the lookup found no entry host")

// Lookup returns the entry hosts to use, from the cache while it is valid. The clock readings of cached hosts are
// advanced to the present.
func (c *Client) Lookup(ctx context.Context) (api.Lookup, error) {
	if answer, ok := c.cached(); ok {
		return answer, nil
	}
	var lastErr error = ErrNoHost
	candidates := c.candidates()
	for i := 0; i < min(len(candidates), maxLookupHosts); i++ {
		answer, err := c.fetchLookup(ctx, candidates[i])
		switch {
		case err != nil:
			lastErr = err
		case len(answer.Hosts) > 0:
			c.cache(answer)
			return answer, nil
		default: // the hosts that serve the team come next
			candidates = slices.Insert(candidates, i+1, answer.AskInstead...)
		}
	}
	return api.Lookup{}, errors.Trace(lastErr)
}

// maxLookupHosts is the maximum number of hosts that one lookup asks.
const maxLookupHosts = 32

// Forget drops the cached lookup.
func (c *Client) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookup = nil
}

// cached returns the cached lookup with its hosts' clock readings advanced to the present. It reports false if there is
// none or it has expired.
func (c *Client) cached() (api.Lookup, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lookup == nil {
		return api.Lookup{}, false
	}
	age := time.Since(c.lookup.at)
	if age >= time.Duration(c.lookup.answer.KeepMs)*time.Millisecond {
		return api.Lookup{}, false
	}
	answer := c.lookup.answer
	answer.Hosts = append([]api.Host(nil), answer.Hosts...)
	for i := range answer.Hosts {
		answer.Hosts[i].ClockMs += age.Milliseconds()
	}
	return answer, true
}

func (c *Client) cache(answer api.Lookup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookup = &cachedLookup{answer: answer, at: time.Now()}
	c.revision = max(c.revision, answer.Revision)
}

// candidates returns the hosts to ask in a lookup: the configured entries, starting with another one each time, then
// the hosts of the cached lookup, which may have expired. There are none of these after Forget.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for i := range c.opts.Entries {
		out = append(out, c.opts.Entries[(i+c.nextEntry)%len(c.opts.Entries)])
	}
	c.nextEntry++
	if c.lookup != nil {
		for _, h := range c.lookup.answer.Hosts {
			out = append(out, h.Address)
		}
	}
	return out
}

func (c *Client) fetchLookup(ctx context.Context, entry string) (api.Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	address := c.url(entry, api.PathHosts) + "?zone=" + url.QueryEscape(c.opts.Zone) + "&team=" + url.QueryEscape(c.opts.Team)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return api.Lookup{}, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return api.Lookup{}, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return api.Lookup{}, readError(resp)
	}
	var answer api.Lookup
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLookupBytes)).Decode(&answer); err != nil {
		return api.Lookup{}, errors.Trace(err)
	}
	return answer, nil
}

// Bounds of answers that are no streams, in bytes.
const (
	maxLookupBytes = 4 << 20
	maxErrorBytes  = 64 << 10
)

// readError returns the typed error of an answer that is not a stream.
func readError(resp *http.Response) error {
	e := &api.Error{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(e); err != nil || e.Outcome == "" {
		return &ProtocolError{Status: resp.StatusCode}
	}
	return e
}

// seenRevision returns the highest configuration revision of the lookups that named hosts; 0 before the first one.
// Requests carry it, so that a host that is behind it can warn.
func (c *Client) seenRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}
