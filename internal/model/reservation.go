package model

import (
	"slices"
	"time"
)

// reservation is memory for a part of a group; its placeholder holds the memory or waits for it in the queue of streams.
type reservation struct {
	stream  *stream
	expires time.Duration
}

// Reserve reserves memory under a name, or renews the reservation, until the expiry has passed. It reports whether the
// engine knows the reservation and whether its memory is held; until it is held, the reservation waits in the queue of
// streams. With renewal set, Reserve makes no new reservation. An engine that is dead, or whose whole memory is not more
// than tokens, makes and renews none.
func (e *Engine) Reserve(name string, tokens int64, expiry time.Duration, renewal bool) (known, held bool) {
	if e.dead || tokens >= e.params.MemoryTokens {
		return false, false
	}
	now := e.clock.Now()
	r := e.reserved[name]
	if r == nil && renewal {
		return false, false
	}
	if r == nil {
		r = &reservation{stream: &stream{spec: Spec{Name: name, PromptTokens: tokens}, placeholder: true}}
		e.reserved[name] = r
		e.add(r.stream)
		e.plan()
	}
	r.expires = now + expiry
	e.clock.At(r.expires, func() { e.expire(name) })
	return true, r.stream.resident
}

func (e *Engine) expire(name string) {
	if r := e.reserved[name]; r != nil && r.expires <= e.clock.Now() {
		e.Release(name)
	}
}

// Release drops a reservation and reports whether it existed. A part that was started on it keeps its memory.
func (e *Engine) Release(name string) bool {
	r := e.reserved[name]
	if r == nil {
		return false
	}
	delete(e.reserved, name)
	e.remove(r.stream)
	return true
}

// Reservations returns the names of the reservations, sorted.
func (e *Engine) Reservations() []string {
	var out []string
	for name := range e.reserved {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// holds reports whether a reservation's memory is held.
func (e *Engine) holds(name string) bool {
	r := e.reserved[name]
	return r != nil && r.stream.resident
}

// startReserved starts a part on the memory of a held reservation; it reports false when no such reservation is held.
func (e *Engine) startReserved(part *stream, name string) bool {
	r := e.reserved[name]
	if r == nil || !r.stream.resident {
		return false
	}
	part.resident = true
	part.heldTokens = r.stream.heldTokens
	part.unusedReserved = part.heldTokens - part.spec.PromptTokens - 1
	r.stream.heldTokens = 0
	e.insert(part)
	if entry := e.cache.lookup(part.spec.Prefix); entry != nil {
		e.cache.pin(entry)
		part.entry = entry
		part.cached = min(entry.tokens, part.spec.PrefixTokens)
		part.position = part.cached
		part.heldTokens -= part.cached
		e.heldTokens -= part.cached
	}
	return true
}
