// Package group reserves memory on several engines for one prompt that is larger than any of them.
//
// Engines are asked one after the other in order of their addresses, the same order on every host. Of all claims
// that hold something, the one that holds the engine with the highest address waits for nobody who waits for it, so
// there is no deadlock and always one that goes on. What is held expires by itself unless its holder renews it, so a
// holder that died holds nothing for long.
package group

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"carobshunt/internal/core"
)

// Timings of reservations.
const (
	// Expiry is how long an engine keeps a reservation that is not renewed.
	Expiry = 15 * time.Second
	// RenewInterval is the time between renewals of what is held, and between two asks for what is not.
	RenewInterval = time.Second
	// Patience is how long a claim waits for one engine before it gives back everything.
	Patience = 20 * time.Second
)

// efficiencyPercent is what a group has of its members' memory.
const efficiencyPercent = 80

// Engine is an engine that may become a member.
type Engine struct {
	Address string
	// MemoryTokens is its KV memory, FreeTokens what of it is free as far as is known, in tokens.
	MemoryTokens int64
	FreeTokens   int64
}

// Needed tells whether so many tokens are more than each of the engines can hold. It is false when the size of some
// engine is not known.
func Needed(tokens int64, engines []Engine) bool {
	for _, e := range engines {
		if e.MemoryTokens == 0 || e.MemoryTokens >= tokens {
			return false
		}
	}
	return len(engines) > 0
}

// Plan is the choice of members and the tokens that each of them holds.
type Plan struct {
	// Engines are the members' addresses, sorted; the first leads.
	Engines []string
	// Tokens is what each member holds.
	Tokens int64
}

// Choose picks the fewest engines that hold so many tokens together, those with the most free memory first. It
// reports false when all engines together are too small.
func Choose(tokens int64, engines []Engine) (Plan, bool) {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Engine) int {
		if a.FreeTokens != b.FreeTokens {
			return int(min(max(b.FreeTokens-a.FreeTokens, -1), 1))
		}
		return strings.Compare(a.Address, b.Address)
	})
	smallest := int64(0)
	for i, e := range sorted {
		if i == 0 || e.MemoryTokens < smallest {
			smallest = e.MemoryTokens
		}
		each := share(tokens, int64(i+1))
		if each <= smallest {
			return newPlan(sorted[:i+1], each), true
		}
	}
	return Plan{}, false
}

// Bounds of a spread group.
const (
	// spreadTokens is what a member holds at the most, where there are enough engines: little enough to leave room for
	// others.
	spreadTokens = 40_000
	// maxMembers is how many engines a group has at the most.
	maxMembers = 16
	// spreadPercent is what a spread group uses of what its members hold.
	spreadPercent = 95
)

// Spread picks engines that hold so many tokens together, a little on each. It reports false when too few have the
// memory free.
func Spread(tokens int64, engines []Engine) (Plan, bool) {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.FreeTokens, a.FreeTokens), strings.Compare(a.Address, b.Address))
	})
	best, found := Plan{}, false
	for members := 1; members <= min(len(sorted), maxMembers); members++ {
		each := tokens*100/(int64(members)*spreadPercent) + 1
		if sorted[members-1].FreeTokens < each {
			continue
		}
		best, found = newPlan(sorted[:members], each), true
		if each <= spreadTokens {
			break
		}
	}
	return best, found
}

// share is what each of so many members holds, rounded up.
func share(tokens, members int64) int64 {
	divisor := members * efficiencyPercent
	return (tokens*100 + divisor - 1) / divisor
}

func newPlan(engines []Engine, each int64) Plan {
	plan := Plan{Tokens: each}
	for _, e := range engines {
		plan.Engines = append(plan.Engines, e.Address)
	}
	slices.Sort(plan.Engines)
	return plan
}

// Answer is what an engine says to a reservation, or what is known without its answer.
type Answer int

// The answers.
const (
	// Held: the memory is held.
	Held Answer = iota
	// Waiting: the reservation has its place in the engine's line.
	Waiting
	// Refused: the engine will not hold it, or does not know the one to renew.
	Refused
	// Unreachable: the engine did not answer.
	Unreachable
)

// Claim is one try to reserve a group. It is not safe for concurrent use.
type Claim struct {
	Plan        Plan
	Reservation core.Reservation
	// members are in the plan's order; those before next are held.
	members []member
	next    int
	asked   core.Time
	since   core.Time
	lost    bool
	timing  Timing
}

// Timing is how long reservations last and are waited for.
type Timing struct {
	// Expiry is how long an engine keeps a reservation that is not renewed.
	Expiry time.Duration
	// Patience is how long a claim waits for one engine before it gives back everything.
	Patience time.Duration
	// Renew is the time between renewals of what is held, and between two asks for what is not.
	Renew time.Duration
	// AtOnce is set where an engine that has no room is to refuse rather than to keep a place in its line: an engine
	// that takes in nothing else while a reservation waits is idle for it.
	AtOnce bool
}

// DefaultTiming is for engines that keep what is reserved until they are told or its expiry has passed.
func DefaultTiming() Timing { return Timing{Expiry: Expiry, Patience: Patience, Renew: RenewInterval} }

type member struct {
	renewed core.Time
	asked   core.Time
}

// NewClaim begins a claim; Due tells what to ask.
func NewClaim(now core.Time, plan Plan, reservation core.Reservation, timing Timing) *Claim {
	return &Claim{
		Plan:        plan,
		Reservation: reservation,
		members:     make([]member, len(plan.Engines)),
		asked:       now - timing.Renew,
		since:       now,
		timing:      timing,
	}
}

// Complete tells whether every member is held.
func (c *Claim) Complete() bool { return !c.lost && c.next == len(c.members) }

// Lost tells whether the claim can't be completed or kept; what it holds must be released.
func (c *Claim) Lost() bool { return c.lost }

// Ask is a reservation to send.
type Ask struct {
	Engine string
	// Renewal must not make a reservation that the engine does not know.
	Renewal bool
	// Asked is the instant of the ask, to be handed back to Hear.
	Asked core.Time
}

// Due returns what is to be asked now. It is called at least once in each RenewInterval.
func (c *Claim) Due(now core.Time) []Ask {
	c.expire(now)
	if c.lost {
		return nil
	}
	var out []Ask
	for i := range c.next {
		m := &c.members[i]
		if now-m.asked >= c.timing.Renew {
			m.asked = now
			out = append(out, Ask{Engine: c.Plan.Engines[i], Renewal: true, Asked: now})
		}
	}
	if c.next < len(c.members) && now-c.asked >= c.timing.Renew {
		c.asked = now
		out = append(out, Ask{Engine: c.Plan.Engines[c.next], Asked: now})
	}
	return out
}

// expire gives the claim up when a member can't be sure to be held any more, or was waited for too long.
func (c *Claim) expire(now core.Time) {
	for i := range c.next {
		if now-c.members[i].renewed >= c.timing.Expiry {
			c.lost = true
		}
	}
	if c.next < len(c.members) && now-c.since >= c.timing.Patience {
		c.lost = true
	}
}

// Hear takes an engine's answer to an ask that was sent at the instant asked: the expiry counts from then.
func (c *Claim) Hear(now, asked core.Time, engine string, answer Answer) {
	i := slices.Index(c.Plan.Engines, engine)
	if i < 0 || c.lost || i > c.next {
		return
	}
	switch answer {
	case Held:
		c.held(now, asked, i)
	case Refused:
		c.lost = true
	case Waiting:
		c.lost = c.lost || i < c.next
	case Unreachable:
		c.lost = c.lost || i == c.next
	}
}

func (c *Claim) held(now, asked core.Time, i int) {
	m := &c.members[i]
	m.renewed = max(m.renewed, asked)
	if i < c.next {
		return
	}
	m.asked = asked
	c.next++
	c.since = now
	c.asked = now - c.timing.Renew
}
