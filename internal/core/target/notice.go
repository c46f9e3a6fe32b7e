package target

import (
	"time"

	"carobshunt/internal/core"
)

// Notice is what a target says of itself in the head of one answer.
type Notice struct {
	// Limit is the number of requests a second that the target takes from all hosts together. It is valid if Limited is
	// set.
	Limit   float64
	Limited bool
	// Leaving is set when the target is about to stop.
	Leaving bool
	// RetryAfter is how long a target that refused a request wants no other from this host; 0 if it does not say.
	RetryAfter time.Duration
	// Faults describe the parts that could not be decoded and are left out. That no limit is named means nothing then.
	Faults []string
}

// ApplyNotice records what the target said in the answer to one of this host's dispatches. It returns the change and
// whether there is one.
//
// An answer without a limit ends an earlier limit only if its dispatch began after the limit was last named: answers of
// different connections may overtake each other.
func (tb *Table) ApplyNotice(now core.Time, t *Target, d Dispatch, notice *Notice) (StandingChange, bool) {
	s := t.standing
	next := standingChange(s)
	switch {
	case notice.Limited:
		next.Limit = clampLimit(notice.Limit)
		s.confirmed = now
	case len(notice.Faults) == 0 && s.Limit > 0 && t.beganAfter(d, s.confirmed):
		next.Limit = 0
		s.confirmed = now
	}
	if notice.Leaving {
		next.NowLeaving = s.departure.said(now, t.Start)
	}
	next.Process = s.process()
	return next, tb.change(now, now, s, next)
}

// beganAfter reports whether a dispatch that has not ended began after an instant.
func (t *Target) beganAfter(d Dispatch, at core.Time) bool {
	p := t.inFlight[d]
	return p != nil && p.began > at
}
