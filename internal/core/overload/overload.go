// Package overload decides when a host whose control goroutine lags admits no new requests.
package overload

import (
	"time"

	"carobshunt/internal/core"
)

const (
	// CloseLag is the lag from which no new requests are admitted. Callers expect that a request is not sent on half a second after
	// they have left, and that one without an answer ends half a second after its timeout; what was admitted still has to be
	// processed within the rest of that.
	CloseLag = 200 * time.Millisecond
	// CloseAfter is how long the lag must stay at CloseLag or more: after a single stall, of the process or of the machine, the inputs
	// that have waited are processed within a few milliseconds.
	CloseAfter = 25 * time.Millisecond
	// OpenLag is the lag down to which admission stays closed: that of a step that has kept up with the ticks.
	OpenLag = 50 * time.Millisecond
)

// Gate closes admission while the control goroutine lags. The zero Gate is open. It is not safe for concurrent use.
type Gate struct {
	closed bool
	// lagging is set while the lag is at CloseLag or more, since the time since. worst is the largest lag since then.
	lagging bool
	since   core.Time
	worst   time.Duration
}

// Observe records the lag of a step: the age of the oldest input that it processes. It reports whether the gate has closed or opened.
func (g *Gate) Observe(now core.Time, lag time.Duration) (changed bool) {
	was := g.closed
	if lag >= CloseLag && !g.lagging {
		g.since = now
		if !g.closed {
			g.worst = 0
		}
	}
	g.lagging = lag >= CloseLag
	g.worst = max(g.worst, lag)
	switch {
	case g.lagging && now >= g.since+CloseAfter:
		g.closed = true
	case lag <= OpenLag:
		g.closed = false
	}
	return g.closed != was
}

// Closed reports whether new requests are to be refused.
func (g *Gate) Closed() bool { return g.closed }

// Worst returns the largest lag of the last time that the gate was closed or about to close.
func (g *Gate) Worst() time.Duration { return g.worst }
