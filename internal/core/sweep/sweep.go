// Package sweep judges what holds an engine's memory. Everything that does is named after its home, incarnation and
// budget, so that any host can tell what has outlived its budget and what nobody waits for any more.
//
// Invariants:
//   - Nothing is swept within its budget unless its process is proved gone: another incarnation was heard at its
//     address, again and again, for all of a grace time in which the sweeper did not sleep, and nobody read from it.
//   - Silence alone proves nothing: a home that is cut off from the sweeper may be serving its callers.
//   - Names are never used twice, so a verdict that comes late or twice hits nothing else.
package sweep

import (
	"time"

	"carobshunt/internal/core"
)

// Kind is a kind of holding.
type Kind string

// The kinds of what holds engine memory.
const (
	KindStream      Kind = "stream"
	KindReservation Kind = "reservation"
	KindExport      Kind = "export"
)

// Holding is a line of an engine's list of what holds its memory.
type Holding struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Tokens is the memory held, in tokens.
	Tokens int64 `json:"tokens"`
	// AgeMs is the time since the engine made it, in milliseconds of the engine's clock; 0 where an engine does not
	// tell.
	AgeMs int64 `json:"age_ms"`
	// Attached tells whether somebody reads from it or renews it now.
	Attached bool `json:"attached,omitempty"`
}

// Presence is what a host knows of a process of an entry host.
type Presence int

// The presences.
const (
	// Unheard: nothing can be said.
	Unheard Presence = iota
	// Alive: the process was heard lately.
	Alive
	// Replaced: another process is heard at its address.
	Replaced
	// Forgotten: it is this process, and it does not hold the stream any more.
	Forgotten
)

// Reason is why a holding is swept.
type Reason string

// The reasons.
const (
	// ReasonOverdue: it outlived its budget.
	ReasonOverdue Reason = "overdue"
	// ReasonOrphaned: its process is gone and nobody resumed it.
	ReasonOrphaned Reason = "orphaned"
	// ReasonForgotten: its process is well and does not want it any more.
	ReasonForgotten Reason = "forgotten"
)

// Verdict says that a holding is to be canceled.
type Verdict struct {
	Holding Holding
	Reason  Reason
}

// Timings of the sweep. A holding that is overdue on an engine that can be reached is canceled within
// Slack + (Ranks-1)·RankPatience + 2·Interval = 24 s, whichever one host can reach it.
const (
	// Interval is the time between two readings of one engine's list by one host.
	Interval = 2 * time.Second
	// Slack is added to the budget: it covers the way of a request from its admission to the engine.
	Slack = 5 * time.Second
	// Grace is how long a holding whose process is gone waits for somebody to resume it.
	Grace = 8 * time.Second
	// Ranks is the number of hosts that read one engine's list.
	Ranks = 4
	// RankPatience is how much longer each further rank waits than the one before it.
	RankPatience = 5 * time.Second
	// sleepGap is the time between two steps above which the process has slept.
	sleepGap = time.Second
)

// Sweeper holds what one host knows of the holdings at the engines that it watches. It is not safe for concurrent
// use.
type Sweeper struct {
	engines map[string]map[id]*track
	stepped core.Time
}

type id struct {
	kind Kind
	name string
}

type track struct {
	firstSeen core.Time
	// doubted is the begin of the unbroken evidence that nobody wants the holding; notDoubted without.
	doubted core.Time
	reason  Reason
}

const notDoubted = core.Time(-1)

// New returns a sweeper that has seen nothing.
func New() *Sweeper { return &Sweeper{engines: make(map[string]map[id]*track)} }

// Step notes that time passes. After a gap nothing that was heard before counts as evidence any more.
func (s *Sweeper) Step(now core.Time) {
	if now-s.stepped > sleepGap {
		for _, tracks := range s.engines {
			for _, t := range tracks {
				t.doubted = notDoubted
			}
		}
	}
	s.stepped = now
}

// Forget drops what is known of an engine that this host does not watch any more.
func (s *Sweeper) Forget(engine string) { delete(s.engines, engine) }

// Judge takes an engine's list and returns what is to be canceled now, in the list's order. Rank is this host's
// place among the sweepers of the engine, from 0.
func (s *Sweeper) Judge(now core.Time, engine string, rank int, list []Holding, presence func(core.Stream) Presence) []Verdict {
	s.Step(now)
	old := s.engines[engine]
	tracks := make(map[id]*track, len(list))
	var out []Verdict
	for _, h := range list {
		owner, err := core.ParseOwner(h.Name)
		if err != nil {
			continue // not made by this system
		}
		t := old[id{h.Kind, h.Name}]
		if t == nil {
			t = &track{firstSeen: now, doubted: notDoubted}
		}
		tracks[id{h.Kind, h.Name}] = t
		t.weigh(now, h, presence(owner))
		if reason := t.verdict(now, rank, h, owner); reason != "" {
			out = append(out, Verdict{Holding: h, Reason: reason})
		}
	}
	s.engines[engine] = tracks
	return out
}

// weigh brings the doubt up to date: a single sign of life ends it.
func (t *track) weigh(now core.Time, h Holding, p Presence) {
	reason := ReasonOrphaned
	if p == Forgotten {
		reason = ReasonForgotten
	}
	if h.Attached || p == Unheard || p == Alive {
		t.doubted = notDoubted
		return
	}
	if t.doubted == notDoubted || t.reason != reason {
		t.doubted = now
		t.reason = reason
	}
}

func (t *track) verdict(now core.Time, rank int, h Holding, owner core.Stream) Reason {
	patience := time.Duration(rank) * RankPatience
	age := max(now-t.firstSeen, time.Duration(h.AgeMs)*time.Millisecond)
	if age >= owner.Budget+Slack+patience {
		return ReasonOverdue
	}
	if t.doubted != notDoubted && now-t.doubted >= Grace+patience {
		return t.reason
	}
	return ""
}
