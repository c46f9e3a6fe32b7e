package target

import (
	"fmt"
	"math"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/throttle"
	"carobshunt/internal/hostlist"
)

// Process identifies one run of a target: another one may have its address later.
type Process struct {
	Address  string `json:"a"`
	Instance string `json:"i,omitempty"`
	Start    int64  `json:"s,omitempty"`
}

// String returns the process for logs.
func (p Process) String() string {
	return fmt.Sprintf("%s (instance %q, start %d)", p.Address, p.Instance, p.Start)
}

// Process returns the run of the target that the host list has.
func (t *Target) Process() Process {
	return Process{Address: t.Address, Instance: t.Instance, Start: t.Start}
}

// Identity names a target at an address. A process that starts again may have the identity of the one before.
type Identity struct{ Address, Instance string }

// Identity returns the identity under which the process runs.
func (p Process) Identity() Identity { return Identity{Address: p.Address, Instance: p.Instance} }

// Standing is what a target has said of itself to any host or by its entry, as far as it still holds. It outlives the target's entry in the
// host list, which may be missing for a moment, and its start there, which may be out of date: answers don't tell which start
// they come from.
type Standing struct {
	identity Identity
	// listedStart is the last start of it in the host list.
	listedStart int64
	// entry is the last that the host list said of it.
	entry entry
	// Limit is the number of requests a second that the target takes from all hosts together; 0 for no limit.
	Limit float64
	// coldLimit is the limit, in requests a second, while the target is cold; 0 otherwise.
	coldLimit float64
	// departure is whether the target is about to stop.
	departure departure
	// hold is since the target refused a request of this host and asked for none for a while.
	hold hold
	// bucket bounds the requests of all hosts to the lower of Limit and coldLimit; nil without either.
	bucket *throttle.Bucket
	// heard is when a host learned of what holds, on this host's clock. confirmed is when the target last told this host.
	heard     core.Time
	confirmed core.Time
	// faultsReported is when invalid notices were last reported; never at first.
	faultsReported core.Time
	// unlistedSince is since when no target of the host list has this identity; never while one has.
	unlistedSince core.Time
}

// never is the time of an event that has not happened.
const never = core.Time(-1)

// Bounds of a limit, in requests a second. A target that names less than the lowest one still gets a request now and then,
// since only its answers show when the limit has ended.
const (
	minLimit = 0.1
	maxLimit = 1e6
)

// clampLimit returns a limit within the bounds; 0 for a value that is no limit.
func clampLimit(limit float64) float64 {
	if math.IsNaN(limit) {
		return 0
	}
	return min(max(limit, minLimit), maxLimit)
}

const (
	// standingTTL is how long the standing of a target that is not listed is kept.
	standingTTL = 10 * time.Minute
	// maxStandings bounds the number of standings.
	maxStandings = 16_384
)

// StandingChange is a change of what holds of a target.
type StandingChange struct {
	Process Process
	// Limit is the new limit and WasLimit the one before, in requests a second; 0 for none.
	Limit, WasLimit float64
	// NowLeaving is set if the target is about to stop and was not known to be, or not with that start.
	NowLeaving bool
	// NowServing is set if a process is shown to serve that counted as about to stop, or under whose name another one did.
	NowServing bool
}

// standingChange returns a change that changes nothing.
func standingChange(s *Standing) StandingChange {
	return StandingChange{Limit: s.Limit, WasLimit: s.Limit}
}

// Urgent reports whether other hosts are to be told at once, rather than with the next heartbeat: not if a limit has only
// changed a little.
func (c *StandingChange) Urgent() bool {
	return c.NowLeaving || c.WasLimit == 0 || c.Limit == 0 || max(c.Limit, c.WasLimit) > urgentFactor*min(c.Limit, c.WasLimit)
}

// urgentFactor is the factor between two limits from which the change is urgent.
const urgentFactor = 1.25

// Fleet tells which hosts share the limits of targets.
type Fleet interface {
	// Self is this host's peer address.
	Self() string
	// Senders returns the peer addresses of the hosts that may send to a target with a limit in requests a second.
	Senders(target string, limit float64) []string
	// Settled reports whether the hosts have known each other for long enough to agree on the senders.
	Settled() bool
}

// lone is the fleet of a host that has no others.
type lone struct{}

// Self implements Fleet.
func (lone) Self() string { return "" }

// Senders implements Fleet.
func (lone) Senders(string, float64) []string { return []string{""} }

// Settled implements Fleet.
func (lone) Settled() bool { return true }

// JoinFleet sets the fleet that shares the limits of targets.
func (tb *Table) JoinFleet(fleet Fleet) { tb.fleet = fleet }

// change applies a change that a host learned of at an instant. It returns the change with the process that it is of, and
// reports whether there was one.
func (tb *Table) change(now, heard core.Time, s *Standing, next StandingChange) (StandingChange, bool) {
	next.Process = s.process()
	if next.Limit == s.Limit && !next.NowLeaving {
		return next, false
	}
	s.heard = heard
	if next.Limit != s.Limit {
		s.Limit = next.Limit
		tb.applyLimit(now, s)
	}
	return next, true
}

// effectiveLimit returns the number of requests a second that all hosts together may send, the lower of Limit and coldLimit; 0 for
// no limit.
func (s *Standing) effectiveLimit() float64 {
	if s.Limit == 0 || s.coldLimit == 0 {
		return max(s.Limit, s.coldLimit)
	}
	return min(s.Limit, s.coldLimit)
}

// applyLimit sets the rate of the bucket to the effective limit, and removes the bucket if there is no limit.
func (tb *Table) applyLimit(now core.Time, s *Standing) {
	limit := s.effectiveLimit()
	switch {
	case limit == 0:
		s.bucket = nil
	case s.bucket == nil:
		s.bucket = throttle.New(now, tb.fleet.Self(), limit, tb.fleet.Senders(s.identity.Address, limit), tb.fleet.Settled())
	default:
		s.bucket.SetRate(now, limit)
	}
	tb.indexLimited()
}

// indexLimited rebuilds the list of limited targets.
func (tb *Table) indexLimited() {
	tb.limited = tb.limited[:0]
	for _, t := range tb.ordered {
		if t.Limited() {
			tb.limited = append(tb.limited, t)
		}
	}
}

// newStanding returns the standing of a target that has said nothing.
func newStanding(id Identity) *Standing {
	return &Standing{
		identity: id, departure: newDeparture(), heard: never, confirmed: never, faultsReported: never, unlistedSince: never,
	}
}

// standingOf returns the standing of a target and creates it if there is none. It returns nil if there is no room.
func (tb *Table) standingOf(id Identity) *Standing {
	if s := tb.standings[id]; s != nil {
		return s
	}
	if len(tb.standings) >= maxStandings {
		return nil
	}
	s := newStanding(id)
	tb.standings[id] = s
	return s
}

// standingFor returns the standing of a target, that of the listed one even if there was no room for it. It returns nil if
// there is no room.
func (tb *Table) standingFor(id Identity) *Standing {
	if t := tb.byAddress[id.Address]; t != nil && t.standing.identity == id {
		return t.standing
	}
	return tb.standingOf(id)
}

// listedAs returns the listed target that has a standing; nil if there is none.
func (tb *Table) listedAs(s *Standing) *Target {
	if t := tb.byAddress[s.identity.Address]; t != nil && t.standing == s {
		return t
	}
	return nil
}

// process returns the process that says what holds, with the start that the host list had: at the word of one that leaves.
func (s *Standing) process() Process {
	start := s.listedStart
	if s.departure.leaving {
		start = s.departure.start
	}
	return Process{Address: s.identity.Address, Instance: s.identity.Instance, Start: start}
}

// attach gives a listed target its standing.
func (tb *Table) attach(t *Target) {
	id := t.Process().Identity()
	t.standing = tb.standingOf(id)
	if t.standing == nil {
		t.standing = newStanding(id)
	}
	t.standing.listedStart = t.Start
	t.standing.unlistedSince = never
}

// UpdateSenders updates the hosts that may send to the limited targets.
func (tb *Table) UpdateSenders(now core.Time) {
	for _, t := range tb.limited {
		t.standing.bucket.SetSenders(now, tb.fleet.Senders(t.Address, t.Limit()))
	}
}

// ExpireStandings drops the standings of targets that have not been listed for standingTTL.
func (tb *Table) ExpireStandings(now core.Time) {
	for id, s := range tb.standings {
		switch {
		case tb.listedAs(s) != nil:
		case s.unlistedSince == never:
			s.unlistedSince = now
		case now-s.unlistedSince >= standingTTL:
			delete(tb.standings, id)
		}
	}
}

// Leaves reports whether the target counts as about to stop, by the host list in force or by what is known of it.
func (t *Target) Leaves() bool { return t.State != hostlist.StateLive || t.KnownToLeave() }

// Limited reports whether the target names a limit or is cold.
func (t *Target) Limited() bool { return t.standing.bucket != nil }

// AnyRestricts reports whether any target names a limit, is cold or wants no requests for a while.
func (tb *Table) AnyRestricts(now core.Time) bool { return len(tb.limited) > 0 || now < tb.lastHold }

// MaySend reports whether this host may send the target a request now, within the target's limit.
func (t *Target) MaySend(now core.Time) bool {
	if !t.Limited() {
		return true
	}
	wait, sender := t.standing.bucket.Wait(now)
	return sender && wait == 0
}

// Limit returns the number of requests a second that the target takes from all hosts together; 0 for no limit.
func (t *Target) Limit() float64 { return t.standing.effectiveLimit() }

// KnownToLeave reports whether the target counts as about to stop even where the host list in force has it as live.
func (t *Target) KnownToLeave() bool { return t.standing.departure.binds(t.Start) }

// LimitWait returns how long this host has to wait until it may send to a limited target behind that many other requests,
// if all senders use their equal shares. It reports false if other hosts send there.
func (t *Target) LimitWait(now core.Time, ahead int) (time.Duration, bool) {
	b := t.standing.bucket
	wait, sender := b.Wait(now)
	if !sender {
		return 0, false
	}
	return wait + time.Duration(float64(ahead)/b.EqualShare()*float64(time.Second)), true
}
