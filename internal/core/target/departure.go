package target

import (
	"cmp"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// departure is what a host knows of whether a target is about to stop, from whatever source.
//
// A process that has said so never serves again; only another process under its name does. That the host list shows the target as live
// proves none: the list may be older than the word. A later start than that of an entry which said so proves one: see binds. Otherwise
// the answer to a check that began later does, see proves, or an entry that is shown for long enough, see BelieveEntry.
type departure struct {
	// leaving is set by word that does not tell the start of the process that gave it, such as an answer. start is the latest start that
	// a host list had when such word was heard, here or at a peer.
	leaving bool
	start   int64
	// departed is the latest start of which the host list has said that it leaves, and departedSince is since when; 0 for none.
	departed      int64
	departedSince core.Time
	// missing is the latest start whose entry has gone missing in the host list; 0 for none. Such a process may have left unannounced, or
	// may only have lost contact to the platform.
	missing int64
	// distrustUntil is until when the entry of a process is not believed that was missing and is back.
	distrustUntil core.Time
	// heard is when this host last learned of word in answers, disproved when the last check began that showed the contrary; never before.
	heard, disproved core.Time
	// checkedAt is when the last check began; never before.
	checkedAt core.Time
}

func newDeparture() departure { return departure{heard: never, disproved: never, checkedAt: never} }

// said records that a process which the list had with a start says at an instant that it leaves. It reports whether that is
// news for other hosts.
func (d *departure) said(at core.Time, start int64) bool {
	news := !d.leaving || start > d.start
	d.leaving = true
	d.start = max(d.start, start)
	d.heard = max(d.heard, at)
	return news
}

// entryLeaves records that the host list has a start as leaving, entryMissing that its entry is missing. A list without starts is
// believed as it is.
func (d *departure) entryLeaves(now core.Time, start int64) {
	if start > d.departed {
		d.departed, d.departedSince = start, now
	}
}

func (d *departure) entryMissing(start int64) { d.missing = max(d.missing, start) }

// binds reports whether the process that the list has with a start counts as leaving.
func (d *departure) binds(start int64) bool {
	return d.leaving || start != 0 && start <= max(d.departed, d.missing)
}

// latest returns the latest start that is known to have said that it leaves; 0 for none.
func (d *departure) latest() int64 { return max(d.departed, d.start) }

// disprove records that a check that began at an instant has shown a process with a start that serves.
func (d *departure) disprove(began core.Time, start int64) {
	d.leaving, d.start = false, 0
	d.departed, d.missing = min(d.departed, start-1), min(d.missing, start-1)
	d.disproved = began
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

const (
	// checkInterval is the time between two checks of a target.
	checkInterval = 500 * time.Millisecond
	// staleEntryTime is how long an entry is shown at most that is older than what the target has said. By then its writer has
	// replaced or lost it.
	staleEntryTime = 30 * time.Second
)

// mayBeAnother reports whether the process that the list has may be another one than all that are known to leave. One with an earlier
// start than those is one of before, unless the start came from another writer or the target's clock was set back: an engine tells its
// start when it is asked, and for others the entry must outlast any older one.
func (t *Target) mayBeAnother(now core.Time) bool {
	d := &t.standing.departure
	switch {
	case t.State != hostlist.StateLive || t.goneAt != 0 || !d.binds(t.Start) || t.Start == d.latest():
		return false
	case t.Start < d.latest():
		return t.Role == hostlist.RoleEngine || t.outlastsOlder(now)
	}
	return d.leaving || now >= d.distrustUntil
}

// outlastsOlder reports whether the entry has been shown for longer than an older one can be.
func (t *Target) outlastsOlder(now core.Time) bool { return now-t.shownSince >= staleEntryTime }

// CheckDue reports whether the target's health is to be checked now, and records that it is: the process that the list has
// may take requests, although one under its name is known to leave.
func (t *Target) CheckDue(now core.Time) bool {
	d := &t.standing.departure
	if !t.mayBeAnother(now) || d.checkedAt != never && now-d.checkedAt < checkInterval {
		return false
	}
	d.checkedAt = now
	return true
}

// proves reports whether an answer that a process serves proves that it is the one that the list has, and none of those that are known
// to leave. The answer may name the start of the process that gave it; 0 if it does not.
func (t *Target) proves(now core.Time, answeredStart int64) bool {
	switch {
	case !t.mayBeAnother(now):
		return false
	case answeredStart != 0:
		return answeredStart == t.Start
	}
	return t.Start > t.standing.departure.latest() || t.outlastsOlder(now)
}

// Check is the answer to a check of a target's health.
type Check struct {
	// Process is the process that the host list had when the check began.
	Process Process
	Began   core.Time
	Result  CheckResult
	// Start is the start of the process that answered, by its own word; 0 if it does not say.
	Start int64
}

// ApplyCheck records a check. It reports whether the target is now known to leave, or to take requests, other than before.
func (tb *Table) ApplyCheck(now core.Time, c Check) (StandingChange, bool) {
	s := tb.standings[c.Process.Identity()]
	if s == nil {
		return StandingChange{}, false
	}
	next := standingChange(s)
	t := tb.Current(c.Process)
	switch {
	case c.Result == CheckLeaves:
		next.NowLeaving = s.departure.said(now, cmp.Or(c.Start, c.Process.Start))
	case c.Result == CheckServes && c.Began > s.departure.heard && t != nil && t.proves(now, c.Start):
		s.departure.disprove(c.Began, t.Start)
		next.NowServing = true
	}
	next, changed := tb.change(now, now, s, next)
	return next, changed || next.NowServing
}

// distrustTime is how long after the platform was restored from an older copy an entry that was missing and is back is not believed. What
// wrote the entry ends it by then, if it is gone.
const distrustTime = 10 * time.Second

// BelieveEntry believes the entry of a target whose check is due, where no answer is to be waited for: one that was only missing, if the
// target can't be checked or the entry outlasts any older one, since its health may be false; and one of a target that has said that it
// leaves, if it can't be checked and the entry outlasts any older one. It reports whether it did.
func (t *Target) BelieveEntry(now core.Time, checkable bool) bool {
	d := &t.standing.departure
	outlasts := t.outlastsOlder(now)
	believed := outlasts && !checkable
	if onlyMissing := !d.leaving && t.Start > d.latest(); onlyMissing {
		believed = outlasts || !checkable
	}
	if believed {
		d.disprove(now, t.Start)
	}
	return believed
}
