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

// Process identifies one run of a target: another one may have its address later.
type Process struct {
	Address  string
	Instance string
	Start    int64
}

// Process returns the identity of the target's current run.
func (t *Target) Process() Process {
	return Process{Address: t.Address, Instance: t.Instance, Start: t.Start}
}

// Standing is what one run of a target has said of itself, as far as it still holds.
type Standing struct {
	Process Process
	// Limit is the number of requests a second that the target takes from all hosts together; 0 for no limit.
	Limit float64
	// Leaving is set for good once the target has said that it is about to stop.
	Leaving bool
	// confirmed is when the target last named a limit.
	confirmed core.Time
}

// Bounds of a limit, in requests a second. A target that names less than the lowest one still gets a request now and then,
// since only its answers show when the limit has ended.
const (
	minLimit = 0.1
	maxLimit = 1e6
)

// StandingChange is a change of what holds of a target.
type StandingChange struct {
	Address string
	// Limit is the new limit and WasLimit the one before, in requests a second; 0 for none.
	Limit, WasLimit float64
	// NowLeaving is set if the target has just said that it is about to stop.
	NowLeaving bool
}

// ApplyNotice records what the target said in the answer to one of this host's dispatches. It returns the change and
// whether there is one.
//
// An answer without a limit ends an earlier limit only if its dispatch began after the limit was last named: answers of
// different connections may overtake each other.
func (t *Target) ApplyNotice(now core.Time, d Dispatch, notice *Notice) (StandingChange, bool) {
	s := &t.standing
	change := StandingChange{Address: t.Address, Limit: s.Limit, WasLimit: s.Limit}
	switch {
	case notice.Limited:
		change.Limit = min(max(notice.Limit, minLimit), maxLimit)
		s.confirmed = now
	case len(notice.Faults) == 0 && t.beganAfter(d, s.confirmed):
		change.Limit = 0
	}
	s.Limit = change.Limit
	change.NowLeaving = notice.Leaving && !s.Leaving
	s.Leaving = s.Leaving || notice.Leaving
	return change, change.NowLeaving || change.Limit != change.WasLimit
}

// beganAfter reports whether a dispatch that has not ended began after an instant.
func (t *Target) beganAfter(d Dispatch, at core.Time) bool {
	p := t.inFlight[d]
	return p != nil && p.began > at
}
