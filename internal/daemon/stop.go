package daemon

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/httpconn"

	"github.com/juju/errors"
)

const (
	// shutdownTimeout is how long open connections may take to close after the last request has ended.
	shutdownTimeout = 5 * time.Second
	// exitTime is the time before the process is killed in which open connections are cut and the process ends.
	exitTime = 200 * time.Millisecond
	// minCloseTime is the least time for open connections to close: the kill may be later than estimated, and last answers need a
	// moment to be written.
	minCloseTime = 100 * time.Millisecond
	// cutTimeout is how long the handlers whose connections were cut may take to return.
	cutTimeout = 100 * time.Millisecond
	cutPoll    = 5 * time.Millisecond
)

// drain starts the planned stop of a process that was told to stop, and may be killed after its grace time.
func (d *Daemon) drain() {
	notBefore := d.loop.Snapshot().SignalNotBefore
	d.loop.Post(node.Terminate{NotBefore: notBefore, Noticed: d.loop.Now(), Grace: time.Duration(d.stopGrace.Load())})
}

// closeTime returns how long open connections may take to close: less than shutdownTimeout if the process is killed before.
func (d *Daemon) closeTime() time.Duration {
	killAt := d.loop.Snapshot().KillAt
	if killAt == 0 {
		return shutdownTimeout
	}
	return min(shutdownTimeout, max(killAt-exitTime-d.loop.Now(), minCloseTime))
}

// serveHTTP serves until ctx is done, then waits up to closeTime for open answers to end, unless the daemon is halted. It cuts
// those that have not ended by then.
func (d *Daemon) serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	open := &openRequests{next: server.Handler, callers: make(map[*http.Request]string)}
	server.Handler = open
	shutdownDone := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		shutdownCtx, cancel := context.WithTimeout(d.halted, d.closeTime())
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			d.log.Info("open answers cut", "address", listener.Addr().String(), "callers", open.served(), "why", err.Error())
			_ = server.Close()
			open.awaitEnd()
		}
	})
	httpconn.Prepare(server)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	<-shutdownDone
	return nil
}

// openRequests is a handler that knows which callers it serves. A server that is closed does not wait for its handlers, which
// write a log line on an answer that was cut.
type openRequests struct {
	next http.Handler

	mu sync.Mutex
	// callers holds the addresses of the callers.
	callers map[*http.Request]string
}

// ServeHTTP implements http.Handler.
func (o *openRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.begin(r)
	defer o.end(r)
	o.next.ServeHTTP(w, r)
}

func (o *openRequests) begin(r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.callers[r] = r.RemoteAddr
}

func (o *openRequests) end(r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.callers, r)
}

// maxLoggedCallers is the number of callers that a log line names at most.
const maxLoggedCallers = 32

// served returns the sorted addresses of the callers that are being served, of maxLoggedCallers at most.
func (o *openRequests) served() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := slices.Sorted(maps.Values(o.callers))
	return out[:min(len(out), maxLoggedCallers)]
}

// awaitEnd waits until all handlers have returned, or for cutTimeout.
func (o *openRequests) awaitEnd() {
	for end := time.Now().Add(cutTimeout); len(o.served()) > 0 && time.Now().Before(end); {
		time.Sleep(cutPoll)
	}
}
