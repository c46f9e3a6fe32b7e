// Package sweep decides which holdings of engine memory are leaked and must be canceled. The name of a holding carries
// its home, incarnation and budget, so any host can tell whether it has exceeded its budget or is no longer wanted.
//
// Invariants:
//   - No holding is canceled within its budget, unless its process no longer needs it: for a whole grace period in which
//     the sweeper was not suspended, each check found that another incarnation is alive at the home's address, or that
//     the home itself has dropped the stream, and that no client was reading from the holding or renewing it.
//   - An unreachable home is no evidence: it may be partitioned from the sweeper and still serve its callers.
//   - Names are never reused, so a late or duplicate cancellation affects no other holding.
package sweep

import (
	"time"

	"carobshunt/internal/core"
)

// Kind is the kind of a holding.
type Kind string

// The kinds of holdings.
const (
	KindStream      Kind = "stream"
	KindReservation Kind = "reservation"
	KindExport      Kind = "export"
)

// Holding is an allocation of an engine's memory, as the engine lists it.
type Holding struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Tokens is the memory held, in tokens.
	Tokens int64 `json:"tokens"`
	// AgeMs is the time since the engine created it, in milliseconds of the engine's clock; 0 if the engine does not
	// report it.
	AgeMs int64 `json:"age_ms"`
	// Attached reports whether a client is reading from it or renewing it.
	Attached bool `json:"attached,omitempty"`
}

// Presence is what a host knows about the process that created a holding.
type Presence int

// The values of Presence.
const (
	// Unknown: this host can't tell whether it is alive.
	Unknown Presence = iota
	// Alive: the process is alive and, if it is this one, still has the stream.
	Alive
	// Replaced: another process is alive at its address.
	Replaced
	// Forgotten: it is this process, which no longer has the stream.
	Forgotten
)

// Reason is why a holding is canceled.
type Reason string

// The reasons.
const (
	// ReasonOverdue: it exceeded its budget.
	ReasonOverdue Reason = "overdue"
	// ReasonOrphaned: its process is gone and no client resumed it.
	ReasonOrphaned Reason = "orphaned"
	// ReasonForgotten: its process is alive and no longer has the stream.
	ReasonForgotten Reason = "forgotten"
)

// Cancellation is a holding to cancel, and why.
type Cancellation struct {
	Holding Holding
	Reason  Reason
}

// Timings of the sweep. An overdue holding is canceled within Slack + (Ranks-1)·RankDelay + 2·Interval = 24 s of the
// end of its budget, if at least one of the sweeping hosts can reach the engine. The budget counts from its creation
// or, if the engine does not report its age, from when the host first listed it.
const (
	// Interval is the time between two checks of one engine's list by one host.
	Interval = 2 * time.Second
	// Slack is added to the budget to cover the time from the admission of a request to its arrival at the engine.
	Slack = 5 * time.Second
	// Grace is how long the evidence against a holding must last: until then, that of a process that is gone can be
	// resumed.
	Grace = 8 * time.Second
	// Ranks is the number of hosts that sweep one engine.
	Ranks = 4
	// RankDelay is the additional delay of each rank over the one before it.
	RankDelay = 5 * time.Second
	// suspensionGap is the time between two steps above which the process counts as having been suspended.
	suspensionGap = time.Second
)

// Sweeper tracks the holdings at the engines that one host watches. It is not safe for concurrent use.
type Sweeper struct {
	engines map[string]map[id]*track
	// stepped is when Step was last called.
	stepped core.Time
}

// id identifies a holding among those of one engine.
type id struct {
	kind Kind
	name string
}

// track is what is known about one holding from the checks so far.
type track struct {
	firstSeen core.Time
	// evidenceSince is the start of the unbroken evidence that the holding is not needed, or noEvidence.
	evidenceSince core.Time
	reason        Reason
}

const noEvidence = core.Time(-1)

// New returns a sweeper without holdings.
func New() *Sweeper { return &Sweeper{engines: make(map[string]map[id]*track)} }

// Step must be called regularly. After a gap of more than suspensionGap all earlier evidence is discarded, since the
// process may have been suspended.
func (s *Sweeper) Step(now core.Time) {
	if now-s.stepped > suspensionGap {
		for _, tracks := range s.engines {
			for _, t := range tracks {
				t.evidenceSince = noEvidence
			}
		}
	}
	s.stepped = now
}

// Forget drops the holdings of an engine that this host no longer watches.
func (s *Sweeper) Forget(engine string) { delete(s.engines, engine) }

// Check evaluates an engine's list of holdings and returns those to cancel now, in the order of the list. The rank is
// this host's place among the sweepers of the engine, from 0.
func (s *Sweeper) Check(now core.Time, engine string, rank int, list []Holding, presence func(core.Stream) Presence) []Cancellation {
	s.Step(now)
	old := s.engines[engine]
	tracks := make(map[id]*track, len(list))
	var out []Cancellation
	for _, h := range list {
		owner, err := core.ParseOwner(h.Name)
		if err != nil {
			continue // not created by carobshunt
		}
		t := old[id{h.Kind, h.Name}]
		if t == nil {
			t = &track{firstSeen: now, evidenceSince: noEvidence}
		}
		tracks[id{h.Kind, h.Name}] = t
		t.updateEvidence(now, h, presence(owner))
		if reason := t.cancelReason(now, rank, h, owner); reason != "" {
			out = append(out, Cancellation{Holding: h, Reason: reason})
		}
	}
	s.engines[engine] = tracks
	return out
}

// updateEvidence updates the evidence against a holding. A single sign that it may be needed discards all of it.
func (t *track) updateEvidence(now core.Time, h Holding, p Presence) {
	reason := ReasonOrphaned
	if p == Forgotten {
		reason = ReasonForgotten
	}
	if h.Attached || p == Unknown || p == Alive {
		t.evidenceSince = noEvidence
		return
	}
	if t.evidenceSince == noEvidence || t.reason != reason {
		t.evidenceSince = now
		t.reason = reason
	}
}

// cancelReason returns why the holding is to be canceled now, or "" if it is to be kept.
func (t *track) cancelReason(now core.Time, rank int, h Holding, owner core.Stream) Reason {
	rankDelay := time.Duration(rank) * RankDelay
	age := max(now-t.firstSeen, time.Duration(h.AgeMs)*time.Millisecond)
	if age >= owner.Budget+Slack+rankDelay {
		return ReasonOverdue
	}
	if t.evidenceSince != noEvidence && now-t.evidenceSince >= Grace+rankDelay {
		return t.reason
	}
	return ""
}
