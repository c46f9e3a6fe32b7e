package order

import (
	"time"

	"carobshunt/internal/core"
)

// Timings of the right to order.
const (
	// Wait is how long a host must have been an engine's first without a break before it orders an engine that does
	// not check fencing numbers: longer than a former commander may order before it knows that it is none.
	Wait = 5 * time.Second
	// SendWithin is how long after its decision an order may still be written.
	SendWithin = time.Second
	// sleepGap is the time between two steps above which the process has slept.
	sleepGap = time.Second
)

// Tenure is one host's right to order one engine. It is not safe for concurrent use.
type Tenure struct {
	held    bool
	since   core.Time
	stepped core.Time
}

// Step notes whether this host is the engine's first now. A break, or a gap in this host's own clock, ends the right.
func (t *Tenure) Step(now core.Time, first bool) {
	slept := now-t.stepped > sleepGap
	t.stepped = now
	if !first {
		t.held = false
		return
	}
	if !t.held || slept {
		t.held = true
		t.since = now
	}
}

// May tells whether the host may order the engine now.
func (t *Tenure) May(now core.Time, checksFencing bool) bool {
	if !t.held || now-t.stepped > sleepGap {
		return false
	}
	return checksFencing || now-t.since >= Wait
}
