// Package group reserves memory on several engines for one prompt that does not fit on any single engine.
//
// Every host reserves engines one after the other in order of their addresses. The claim that holds the engine with
// the highest address never waits for a claim that waits for it, so there is no deadlock and at least one claim makes
// progress. Reservations are leases: they expire unless they are renewed, so a failed holder soon loses them.
package group

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// Default timings of reservations.
const (
	// Expiry is how long an engine keeps a reservation that is not renewed.
	Expiry = 15 * time.Second
	// RenewInterval is the time between two renewals of a held reservation, and between two requests for one that is
	// not held yet.
	RenewInterval = time.Second
	// MaxWait is how long a claim waits for one engine before it is given up and everything it holds is released.
	MaxWait = 20 * time.Second
)

// usablePercent is the percentage of its members' reserved memory that a group picked by Choose can use.
const usablePercent = 80

// Engine is an engine that may become a member of a group.
type Engine struct {
	Process target.Process
	// MemoryTokens is its KV memory in tokens, 0 if unknown; FreeTokens is the part that is not known to be in use.
	MemoryTokens int64
	FreeTokens   int64
}

// Needed reports whether the tokens exceed the memory of every engine. It reports false when the memory of any engine
// is unknown, or without engines.
func Needed(tokens int64, engines []Engine) bool {
	for _, e := range engines {
		if e.MemoryTokens == 0 || e.MemoryTokens >= tokens {
			return false
		}
	}
	return len(engines) > 0
}

// Plan lists the members of a group and the memory that each of them reserves.
type Plan struct {
	// Engines are the members in order of their addresses, the order in which they are reserved. A member is a process: what it
	// reserved says nothing of another one that has its address later.
	Engines []target.Process
	// Tokens is the memory that each member reserves, in tokens.
	Tokens int64
}

// Choose picks the fewest engines that can hold the tokens together, those with the most free memory first. It compares
// with their whole memory, so reservations may have to wait. The members' shares are equal, so the member with the
// smallest memory limits them. It reports false when no number of engines is enough.
func Choose(tokens int64, engines []Engine) (Plan, bool) {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Engine) int {
		if a.FreeTokens != b.FreeTokens {
			return int(min(max(b.FreeTokens-a.FreeTokens, -1), 1))
		}
		return strings.Compare(a.Process.Address, b.Process.Address)
	})
	smallest := int64(0)
	for i, e := range sorted {
		if i == 0 || e.MemoryTokens < smallest {
			smallest = e.MemoryTokens
		}
		perMember := tokensPerMember(tokens, int64(i+1))
		if perMember <= smallest {
			return newPlan(sorted[:i+1], perMember), true
		}
	}
	return Plan{}, false
}

// Limits of a spread group.
const (
	// maxSpreadTokens is the most tokens that a member reserves where enough engines have them free, so that room is left
	// for other requests.
	maxSpreadTokens = 40_000
	// maxMembers is the maximum number of engines in a group.
	maxMembers = 16
	// spreadUsablePercent is the percentage of its members' reserved memory that a spread group can use.
	spreadUsablePercent = 95
)

// Spread picks the fewest engines that can hold the tokens together with at most maxSpreadTokens on each, those with the
// most free memory first. Where that is not possible, it picks the largest number, up to maxMembers, that can hold them
// with more on each. It reports false when too few engines have enough free memory.
func Spread(tokens int64, engines []Engine) (Plan, bool) {
	sorted := mostFree(engines, maxMembers)
	best, found := Plan{}, false
	for members := 1; members <= len(sorted); members++ {
		perMember := tokens*100/(int64(members)*spreadUsablePercent) + 1
		if sorted[members-1].FreeTokens < perMember {
			continue
		}
		best, found = newPlan(sorted[:members], perMember), true
		if perMember <= maxSpreadTokens {
			break
		}
	}
	return best, found
}

// mostFree returns the n engines with the most free memory, in this order, those with the same in order of address.
func mostFree(engines []Engine, n int) []Engine {
	out := make([]Engine, 0, n+1)
	for i := range engines {
		at, _ := slices.BinarySearchFunc(out, &engines[i], func(a Engine, b *Engine) int {
			return cmp.Or(cmp.Compare(b.FreeTokens, a.FreeTokens), strings.Compare(a.Process.Address, b.Process.Address))
		})
		if at < n {
			out = slices.Insert(out, at, engines[i])[:min(len(out)+1, n)]
		}
	}
	return out
}

// tokensPerMember returns the tokens that each member of a chosen group reserves, rounded up.
func tokensPerMember(tokens, members int64) int64 {
	divisor := members * usablePercent
	return (tokens*100 + divisor - 1) / divisor
}

func newPlan(engines []Engine, perMember int64) Plan {
	plan := Plan{Tokens: perMember}
	for _, e := range engines {
		plan.Engines = append(plan.Engines, e.Process)
	}
	plan.Sort()
	return plan
}

// Sort sorts the members by address.
func (p *Plan) Sort() {
	slices.SortFunc(p.Engines, func(a, b target.Process) int { return strings.Compare(a.Address, b.Address) })
}

// Answer is the outcome of a reservation request to an engine.
type Answer int

// The answers.
const (
	// Held: the memory is held.
	Held Answer = iota
	// Waiting: the reservation is queued at the engine.
	Waiting
	// Refused: the engine refuses the reservation, or does not know the one to renew.
	Refused
	// Unreachable: the engine did not answer.
	Unreachable
)

// Claim is one attempt to reserve memory on all engines of a plan. It is not safe for concurrent use.
type Claim struct {
	Plan        Plan
	Reservation core.Reservation
	// members are in the order of the plan. Those before next are held; next is being requested unless all are held:
	// since waitingSince, for the last time at lastAsk.
	members      []member
	next         int
	lastAsk      core.Time
	waitingSince core.Time
	lost         bool
	timing       Timing
}

// Timing holds the timings of reservations.
type Timing struct {
	// Expiry is how long an engine keeps a reservation that is not renewed.
	Expiry time.Duration
	// MaxWait is how long a claim waits for one engine before it is given up and everything it holds is released.
	MaxWait time.Duration
	// RenewInterval is the time between two renewals of a held reservation, and between two requests for one that is not
	// held yet.
	RenewInterval time.Duration
	// RefuseWhenFull is set where an engine without room is to refuse at once instead of queueing the reservation: an
	// engine that admits no other work while a reservation waits would be idle meanwhile.
	RefuseWhenFull bool
}

// DefaultTiming returns the timing for engines that keep a reservation until it is released or expires.
func DefaultTiming() Timing {
	return Timing{Expiry: Expiry, MaxWait: MaxWait, RenewInterval: RenewInterval}
}

type member struct {
	// renewedAt is when the last request that the engine answered with Held was sent, lastAsk when the last one was
	// sent.
	renewedAt core.Time
	lastAsk   core.Time
}

// NewClaim starts a claim; Due returns the requests to send.
func NewClaim(now core.Time, plan Plan, reservation core.Reservation, timing Timing) *Claim {
	return &Claim{
		Plan:         plan,
		Reservation:  reservation,
		members:      make([]member, len(plan.Engines)),
		lastAsk:      now - timing.RenewInterval,
		waitingSince: now,
		timing:       timing,
	}
}

// Complete reports whether the memory of all members is held.
func (c *Claim) Complete() bool { return !c.lost && c.next == len(c.members) }

// Lost reports whether the claim can't be completed or kept. The caller must then release what it holds.
func (c *Claim) Lost() bool { return c.lost }

// ReserveRequest is a request to reserve memory on an engine, or to renew a reservation.
type ReserveRequest struct {
	Engine target.Process
	// Renewal is set for a renewal, which must not create a reservation that the engine does not know.
	Renewal bool
	// SentAt is when the request is sent; it is passed to HandleAnswer with the answer.
	SentAt core.Time
}

// Due returns the requests to send now. It must be called at least once per RenewInterval of the claim's Timing.
func (c *Claim) Due(now core.Time) []ReserveRequest {
	c.expire(now)
	if c.lost {
		return nil
	}
	var out []ReserveRequest
	for i := range c.next {
		m := &c.members[i]
		if now-m.lastAsk >= c.timing.RenewInterval {
			m.lastAsk = now
			out = append(out, ReserveRequest{Engine: c.Plan.Engines[i], Renewal: true, SentAt: now})
		}
	}
	if c.next < len(c.members) && now-c.lastAsk >= c.timing.RenewInterval {
		c.lastAsk = now
		out = append(out, ReserveRequest{Engine: c.Plan.Engines[c.next], SentAt: now})
	}
	return out
}

// expire marks the claim lost when a member's reservation may have expired, or the wait for an engine took too long.
func (c *Claim) expire(now core.Time) {
	for i := range c.next {
		if now-c.members[i].renewedAt >= c.timing.Expiry {
			c.lost = true
		}
	}
	if c.next < len(c.members) && now-c.waitingSince >= c.timing.MaxWait {
		c.lost = true
	}
}

// HandleAnswer handles the answer of the member at an address to a request that was sent at sentAt; the expiry counts
// from then.
func (c *Claim) HandleAnswer(now, sentAt core.Time, address string, answer Answer) {
	i := slices.IndexFunc(c.Plan.Engines, func(p target.Process) bool { return p.Address == address })
	if i < 0 || c.lost || i > c.next {
		return
	}
	switch answer {
	case Held:
		c.recordHeld(now, sentAt, i)
	case Refused:
		c.lost = true
	case Waiting:
		c.lost = c.lost || i < c.next
	case Unreachable:
		c.lost = c.lost || i == c.next
	}
}

// recordHeld records that the member at index i is held. If it was the one being requested, the next is due at once.
func (c *Claim) recordHeld(now, sentAt core.Time, i int) {
	m := &c.members[i]
	m.renewedAt = max(m.renewedAt, sentAt)
	if i < c.next {
		return
	}
	m.lastAsk = sentAt
	c.next++
	c.waitingSince = now
	c.lastAsk = now - c.timing.RenewInterval
}
