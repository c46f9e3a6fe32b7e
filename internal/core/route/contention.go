package route

import (
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
func (c *Contention) hasTurn(now core.Time) bool {
	hosts := len(c.Live)
	if hosts <= 1 {
		return true
	}
	return int(now/turnLength)%hosts == rendezvous.Position("turn", c.Self, c.Live)
}

// SetContention sets the hosts that send to the same engines.
func (r *Router) SetContention(c Contention) { r.contention = c }
