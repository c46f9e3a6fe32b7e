package target

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// departure is what a host knows of whether a target is about to stop, from the target's own words.
//
// Such word holds for good, as far as the same process is concerned. That the host list has another start is no proof that
// another process has taken its place: the list may be older than the process that spoke. Only a check of the target's health
// that began later shows it.
type departure struct {
	leaving bool
	// start is the start that the host list had when the dispatch began whose answer said so, or when a check did.
	start int64
	// heard is when this host last learned of it, disproved when the last check began that showed the contrary; never before.
	heard, disproved core.Time
	// checkedAt is when the last check began; never before.
	checkedAt core.Time
}

func newDeparture() departure { return departure{heard: never, disproved: never, checkedAt: never} }

// said records that a process which the list had with a start says at an instant that it leaves. It reports whether that is
// news for other hosts.
func (d *departure) said(at core.Time, start int64) bool {
	news := !d.leaving || d.start != start
	d.leaving = true
	d.start = start
	d.heard = max(d.heard, at)
	return news
}

// CheckResult is what a check of a target's health has shown.
type CheckResult int

// The results of a check.
const (
	// CheckFailed: no answer, or none that tells whether the target leaves.
	CheckFailed CheckResult = iota
	// CheckLeaves: the target says that it is about to stop.
	CheckLeaves
	// CheckServes: the target takes requests.
	CheckServes
)

// String returns the name of the result for logs.
func (r CheckResult) String() string { return [...]string{"no answer", "it leaves", "it serves"}[r] }

// checkInterval is the time between two checks of a target.
const checkInterval = 500 * time.Millisecond

// CheckDue reports whether the target's health is to be checked now, and records that it is: another process may have taken
// the place of one that said that it leaves.
func (t *Target) CheckDue(now core.Time) bool {
	d := &t.standing.departure
	listed := t.State == hostlist.StateLive && t.goneAt == 0
	if !d.leaving || !listed || t.Start == d.start || d.checkedAt != never && now-d.checkedAt < checkInterval {
		return false
	}
	d.checkedAt = now
	return true
}

// ApplyCheck records the result of a check that began at an instant, of a process that the list then had. It reports whether
// the target is now known to leave, or to take requests, other than before.
func (tb *Table) ApplyCheck(now, began core.Time, p Process, result CheckResult) (StandingChange, bool) {
	s := tb.standings[p.Identity()]
	if s == nil {
		return StandingChange{}, false
	}
	d := &s.departure
	next := standingChange(s)
	switch {
	case result == CheckLeaves:
		next.NowLeaving = d.said(now, p.Start)
	case result == CheckServes && d.leaving && began > d.heard:
		d.leaving = false
		d.disproved = began
		next.NowServing = true
	}
	next, changed := tb.change(now, now, s, next)
	return next, changed || next.NowServing
}
