package route

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/rendezvous"
)

// Contention is what hosts go by when several of them wait for the slots of one engine.
type Contention struct {
	// Self is this host's peer address, Live those of the hosts that are heard, this one among them.
	Self string
	Live []string
}

// Share is how many streams of this host an engine with so many slots takes while it is crowded. With more hosts than
// slots, each engine has its own hosts that may send it one.
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

// turnLength is how long one host has its turn: longer than it takes for others to hear what it has taken.
const turnLength = 12 * time.Millisecond

// turn tells whether this host is the one that may take more than its share now. Clocks of hosts differ, so that turns
// may overlap, but not for long one after the other.
func (c *Contention) turn(now core.Time) bool {
	hosts := len(c.Live)
	if hosts <= 1 {
		return true
	}
	return int(now/turnLength)%hosts == rendezvous.Position("turn", c.Self, c.Live)
}

// Contention tells the router who else sends to the same engines.
func (r *Router) Contention(c Contention) { r.contention = c }
