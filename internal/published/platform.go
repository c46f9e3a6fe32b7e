// Package published reads the configuration service and the host list of a platform that publishes documents, and the
// load reports of engines. It never writes to the platform: it watches both by long polling and posts what it receives
// to the control loop. A host watches them only while its Node's snapshot has ReadsPlatform set.
package published

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/delta"
	"carobshunt/internal/doccheck"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/httpstrict"
	"carobshunt/internal/netdial"
	"carobshunt/internal/wait"

	"github.com/juju/errors"
)

// Paths of the platform's protocol. A GET with "after" and "wait_ms" is answered at once if there is a version above
// "after", otherwise as soon as there is one, or with 304 at the end of the wait.
const (
	PathConfig = "/v1/config"
	PathHosts  = "/v1/hosts"
)

// Timing of the watches.
const (
	watchWait    = 2 * time.Second
	watchTimeout = watchWait + 2*time.Second
	retryPause   = 500 * time.Millisecond
	// maxRetryPause is the longest pause between tries of a host that can't serve yet.
	maxRetryPause = 4 * time.Second
	// verifyInterval is the time between reads of the version that is already in force: the platform may have another
	// value under the same version.
	verifyInterval = time.Minute
	// repeatPause is the pause after an answer with the same text as the one before it: a text that this host refuses,
	// an old one from a service that ignores "after", or the one in force, read after verifyInterval.
	repeatPause = 2 * time.Second
	// standbyInterval is the time between two checks whether this host is to watch the platform.
	standbyInterval = 100 * time.Millisecond
)

// maxValueBytes is the size of the largest value that the service stores, in bytes.
const maxValueBytes = 1 << 20

// Poster posts inputs to the Node and returns a snapshot of its state.
type Poster interface {
	Post(node.Input)
	Snapshot() *node.Snapshot
}

// Reader watches the platform's configuration and host list.
type Reader struct {
	address   string
	poster    Poster
	documents *doccheck.Checker
	client    *http.Client
}

// NewReader returns a reader of the platform at address, an IP address and port. It checks documents by documents.
func NewReader(address string, poster Poster, documents *doccheck.Checker, dialer netdial.Dialer) *Reader {
	return &Reader{address: address, poster: poster, documents: documents, client: newClient(dialer, watchTimeout)}
}

func newClient(dialer netdial.Dialer, timeout time.Duration) *http.Client {
	transport := &http.Transport{DialContext: dialer.WithTimeout(timeout)}
	return &http.Client{Timeout: timeout, Transport: httpstrict.NewTransport(transport)}
}

// StatusError reports an answer of the platform that is neither 200 OK nor 304 Not Modified.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d", e.Status)
}

// WatchConfig posts the platform's documents until the context ends.
func (r *Reader) WatchConfig(ctx context.Context) {
	r.watch(ctx, PathConfig,
		func() uint64 { return r.poster.Snapshot().Heartbeat.Revision },
		func(raw []byte) {
			checked, cost := r.documents.Check(raw)
			r.poster.Post(node.DocumentReceived{Raw: raw, Checked: checked, Cost: cost, Source: conf.SourcePlatform})
		})
}

// WatchHosts posts the platform's host lists until the context ends. It reports invalid ones.
func (r *Reader) WatchHosts(ctx context.Context) {
	lists := hostlist.NewReader()
	r.watch(ctx, PathHosts,
		func() uint64 { return r.poster.Snapshot().Heartbeat.HostsVersion },
		func(raw []byte) {
			list, text, err := lists.Read(raw)
			if err != nil {
				r.poster.Post(node.HostsRefused{Source: conf.SourcePlatform, Why: err.Error()})
				return
			}
			r.poster.Post(node.HostsReceived{List: list, Text: delta.NewText(text).Split(), Source: conf.SourcePlatform})
		})
}

func (r *Reader) watch(ctx context.Context, path string, currentVersion func() uint64, deliver func([]byte)) {
	var previous []byte
	lastVerified := time.Now()
	failures := 0
	for ctx.Err() == nil {
		if !r.poster.Snapshot().ReadsPlatform {
			wait.For(ctx, standbyInterval)
			continue
		}
		after := currentVersion()
		if after > 0 && time.Since(lastVerified) >= verifyInterval {
			after--
			lastVerified = time.Now()
		}
		raw, err := r.get(ctx, path, after)
		if err != nil {
			failures++
			wait.For(ctx, r.retryAfter(failures))
			continue
		}
		failures = 0
		r.poster.Post(node.PlatformAnswered{})
		if raw == nil {
			continue
		}
		if bytes.Equal(raw, previous) {
			wait.For(ctx, repeatPause)
		}
		previous = raw
		deliver(raw)
		wait.For(ctx, node.TickInterval)
	}
}

// retryAfter returns the pause after a number of consecutive failures. Of the hosts that serve, only a few watch the
// platform, so they retry at a constant interval. Hosts that can't serve yet may all watch it, so they back off
// exponentially.
func (r *Reader) retryAfter(failures int) time.Duration {
	if r.poster.Snapshot().Ready {
		return retryPause
	}
	return min(retryPause<<min(failures-1, 8), maxRetryPause)
}

// get returns a value with a version above after, or nil if there was none during the wait.
func (r *Reader) get(ctx context.Context, path string, after uint64) ([]byte, error) {
	address := "http://" + r.address + path +
		"?after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
		raw, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes))
		return raw, errors.Trace(err)
	}
	return nil, &StatusError{Status: resp.StatusCode}
}
