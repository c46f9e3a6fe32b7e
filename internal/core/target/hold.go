package target

import (
	"time"

	"carobshunt/internal/core"
)

// maxHold is the longest time that a target is left alone because it asked for that, so that a false or absurd time does not
// take it away for good.
const maxHold = time.Minute

// hold leaves a target alone that wants no requests for a while. Afterwards one request shows whether it takes work again,
// before others follow.
type hold struct {
	until core.Time
	// returning is set until a request that began after the hold has been answered. trial is the last such request.
	returning bool
	trial     Dispatch
}

// HoldOff records that a target wants no requests from this host for a time, at most maxHold. It returns how much longer the
// target wants none now.
func (tb *Table) HoldOff(now core.Time, id Identity, d time.Duration) time.Duration {
	s := tb.standingFor(id)
	if s == nil {
		return 0
	}
	h := &s.hold
	h.until = max(h.until, now+min(d, maxHold))
	h.returning = true
	h.trial = Dispatch{}
	tb.lastHold = max(tb.lastHold, h.until)
	return h.until - now
}

// HeldFor returns how much longer the target wants no requests from this host.
func (t *Target) HeldFor(now core.Time) time.Duration { return max(t.standing.hold.until-now, 0) }

// held reports whether the target is left alone, or one request is to show first whether it takes work again.
func (t *Target) held(now core.Time) bool {
	h := &t.standing.hold
	return now < h.until || h.returning && t.inFlight[h.trial] != nil
}

// begin records a dispatch. The first one after the hold is the trial.
func (h *hold) begin(d Dispatch) {
	if h.returning {
		h.trial = d
	}
}

// answered records that a dispatch was answered, at least in part. It may have begun before the hold.
func (h *hold) answered(d Dispatch) {
	if h.trial == d {
		h.returning = false
	}
}
