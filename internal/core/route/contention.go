package route

import (
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/rendezvous"
)

// Contention describes the hosts that compete for the slots of the same engines.
type Contention struct {
	// Self is this host's peer address, Live those of all reachable hosts, including this one.
	Self string
	Live []string
	// UnseenShort is the expected number of short prompts that other hosts have placed at the engines of this zone and that
	// this host has not heard of.
	UnseenShort float64
}

// Share returns how many slots of a contended engine this host may use: the same part as each other host, rounded up.
// With more hosts than slots, each slot goes to one host, chosen by rendezvous hashing of the engine's address.
func (c *Contention) Share(engine string, slots int64) int64 {
	hosts := int64(len(c.Live))
	switch {
	case hosts <= 1:
		return slots
	case hosts <= slots:
		return (slots + hosts - 1) / hosts
	case int64(rendezvous.Position(engine, c.Self, c.Live)) < slots:
		return 1
	}
	return 0
}

// turnLength is the duration of a host's turn: longer than the other hosts take to learn which slots it has taken.
const turnLength = 12 * time.Millisecond

// hasTurn reports whether this host may exceed its share now; hosts take turns, each by its own clock. These clocks
// start with the processes, so the turns of some hosts may coincide.
func (r *Router) hasTurn(now core.Time) bool {
	hosts := len(r.contention.Live)
	if hosts <= 1 {
		return true
	}
	if r.shares.turn == noTurn {
		r.shares.turn = rendezvous.Position("turn", r.contention.Self, r.contention.Live)
	}
	return int(now/turnLength)%hosts == r.shares.turn
}

// SetContention sets the hosts that send to the same engines. Live must not change until the next call.
func (r *Router) SetContention(c Contention) {
	if c.Self != r.contention.Self || !slices.Equal(c.Live, r.shares.live) {
		r.shares.live = append(r.shares.live[:0], c.Live...)
		r.shares.turn = noTurn
		clear(r.shares.byEngine)
	}
	r.contention = c
}

// contentionShares holds what follows from the live hosts alone, which would otherwise be hashed again for each engine and request.
type contentionShares struct {
	live []string
	// turn is the position of this host's turn; noTurn if it is not known yet.
	turn     int
	byEngine map[engineSlots]int64
}

// engineSlots is an engine with the number of its slots.
type engineSlots struct {
	address string
	slots   int64
}

// noTurn is the value of contentionShares.turn that is not known.
const noTurn = -2

// share returns Contention.Share.
func (r *Router) share(engine string, slots int64) int64 {
	key := engineSlots{engine, slots}
	if share, ok := r.shares.byEngine[key]; ok {
		return share
	}
	if r.shares.byEngine == nil || len(r.shares.byEngine) >= maxShares {
		r.shares.byEngine = make(map[engineSlots]int64)
	}
	share := r.contention.Share(engine, slots)
	r.shares.byEngine[key] = share
	return share
}

// maxShares bounds the shares that are kept: more than the engines that a host sends to.
const maxShares = 16_384
