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

// Standing is what one run of a target has said of itself to any host, as far as it still holds. It outlives the target's
// entry in the host list, which may be missing for a moment.
type Standing struct {
	process Process
	// Limit is the number of requests a second that the target takes from all hosts together; 0 for no limit.
	Limit float64
	// Leaving is set for good once the target has said that it is about to stop.
	Leaving bool
	// retired is set while the process is listed as leaving, or no longer listed.
	retired bool
	// hold is since the target refused a request of this host and asked for none for a while.
	hold hold
	// bucket bounds the requests of all hosts to Limit; nil without a limit.
	bucket *throttle.Bucket
	// heard is when a host learned of what holds, on this host's clock. confirmed is when the target last told this host.
	heard     core.Time
	confirmed core.Time
	// faultsReported is when invalid notices were last reported; never at first.
	faultsReported core.Time
	// unlistedSince is since when no target of the host list is this process; never while one is.
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
	// standingTTL is how long the standing of a process that is not listed is kept.
	standingTTL = 10 * time.Minute
	// maxStandings bounds the number of standings.
	maxStandings = 16_384
)

// StandingChange is a change of what holds of a target.
type StandingChange struct {
	Process Process
	// Limit is the new limit and WasLimit the one before, in requests a second; 0 for none.
	Limit, WasLimit float64
	// NowLeaving is set if the target is about to stop and was not known to be.
	NowLeaving bool
}

// standingChange returns a change that changes nothing.
func standingChange(s *Standing) StandingChange {
	return StandingChange{Process: s.process, Limit: s.Limit, WasLimit: s.Limit}
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

// change applies a change that a host learned of at an instant, and reports whether there was one.
func (tb *Table) change(now, heard core.Time, s *Standing, next StandingChange) bool {
	if next.Limit == s.Limit && !next.NowLeaving {
		return false
	}
	s.Leaving = s.Leaving || next.NowLeaving
	s.heard = heard
	if next.Limit != s.Limit {
		tb.setLimit(now, s, next.Limit)
	}
	return true
}

func (tb *Table) setLimit(now core.Time, s *Standing, limit float64) {
	s.Limit = limit
	switch {
	case limit == 0:
		s.bucket = nil
	case s.bucket == nil:
		s.bucket = throttle.New(now, tb.fleet.Self(), limit, tb.fleet.Senders(s.process.Address, limit), tb.fleet.Settled())
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

// newStanding returns the standing of a process that has said nothing.
func newStanding(p Process) *Standing {
	return &Standing{process: p, heard: never, confirmed: never, faultsReported: never, unlistedSince: never}
}

// standingOf returns the standing of a process and creates it if there is none. It returns nil if there is no room.
func (tb *Table) standingOf(p Process) *Standing {
	if s := tb.standings[p]; s != nil {
		return s
	}
	if len(tb.standings) >= maxStandings {
		return nil
	}
	s := newStanding(p)
	tb.standings[p] = s
	return s
}

// attach gives a listed target its standing.
func (tb *Table) attach(t *Target) {
	t.standing = tb.standingOf(t.Process())
	if t.standing == nil {
		t.standing = newStanding(t.Process())
	}
	t.standing.unlistedSince = never
}

// UpdateSenders updates the hosts that may send to the limited targets.
func (tb *Table) UpdateSenders(now core.Time) {
	for _, t := range tb.limited {
		t.standing.bucket.SetSenders(now, tb.fleet.Senders(t.Address, t.standing.Limit))
	}
}

// ExpireStandings drops the standings of processes that have not been listed for standingTTL.
func (tb *Table) ExpireStandings(now core.Time) {
	for p, s := range tb.standings {
		t := tb.byAddress[p.Address]
		switch {
		case t != nil && t.standing == s:
		case s.unlistedSince == never:
			s.unlistedSince = now
		case now-s.unlistedSince >= standingTTL:
			delete(tb.standings, p)
		}
	}
}

// Leaves reports whether the target is about to stop, by the host list or by what it has said.
func (t *Target) Leaves() bool { return t.State != hostlist.StateLive || t.standing.Leaving }

// faultReportInterval is the time between two reports of invalid notices of one target.
const faultReportInterval = 10 * time.Second

// ReportsFaults reports whether invalid notices of the target are to be reported now, and records that they are.
func (t *Target) ReportsFaults(now core.Time) bool {
	s := t.standing
	if s.faultsReported != never && now-s.faultsReported < faultReportInterval {
		return false
	}
	s.faultsReported = now
	return true
}

// Limited reports whether the target names a limit.
func (t *Target) Limited() bool { return t.standing.bucket != nil }

// AnyRestricts reports whether any target names a limit or wants no requests for a while.
func (tb *Table) AnyRestricts(now core.Time) bool { return len(tb.limited) > 0 || now < tb.lastHold }

// MaySend reports whether this host may send the target a request now, within the limit that the target names.
func (t *Target) MaySend(now core.Time) bool {
	if !t.Limited() {
		return true
	}
	wait, sender := t.standing.bucket.Wait(now)
	return sender && wait == 0
}

// Limit returns the number of requests a second that the target takes from all hosts together; 0 for no limit.
func (t *Target) Limit() float64 { return t.standing.Limit }

// SaysLeaving reports whether the target has said that it is about to stop.
func (t *Target) SaysLeaving() bool { return t.standing.Leaving }

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
