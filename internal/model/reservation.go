package model

import (
	"slices"
	"time"
)

// reservation is memory that is held, or waits in the line of streams, for a part of a group.
type reservation struct {
	stream  *stream
	expires time.Duration
}

// Reserve holds memory under a name until the expiry has passed, or renews it. It reports whether the engine knows
// the reservation, and whether its memory is held; one that is not held has its place in the line of streams.
// With renewal set, a reservation that the engine does not know is not made.
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
		r = &reservation{stream: &stream{spec: Spec{Name: name, PromptTokens: tokens}, reserves: true}}
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

// Release drops a reservation; it reports whether it was there. A part that runs on it keeps its memory.
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

// holds tells whether a reservation's memory is held.
func (e *Engine) holds(name string) bool {
	r := e.reserved[name]
	return r != nil && r.stream.resident
}

// adopt starts a part on the memory of a held reservation; it reports false when there is none.
func (e *Engine) adopt(part *stream, name string) bool {
	r := e.reserved[name]
	if r == nil || !r.stream.resident {
		return false
	}
	part.resident = true
	part.hold = r.stream.hold
	part.spare = part.hold - part.spec.PromptTokens - 1
	r.stream.hold = 0
	e.insert(part)
	if entry := e.cache.lookup(part.spec.Prefix); entry != nil {
		e.cache.pin(entry)
		part.entry = entry
		part.cached = min(entry.tokens, part.spec.PrefixTokens)
		part.position = part.cached
		part.hold -= part.cached
		e.held -= part.cached
	}
	return true
}
