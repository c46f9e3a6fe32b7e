package fake

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/internal/core/sweep"
)

// memory allocates an engine's KV memory in tokens, first come first served. The engine's lock guards it.
type memory struct {
	total int64
	used  int64
	holds map[holdID]*hold
	// queue has the holds that wait for memory, in order of arrival.
	queue []*hold
	// onReservationFreed is called after a reservation is freed.
	onReservationFreed func(name string)
}

type holdID struct {
	kind sweep.Kind
	name string
}

// hold is an allocation of memory, granted or queued.
type hold struct {
	id      holdID
	tokens  int64
	since   time.Time
	granted chan struct{} // closed once the memory is allocated
	// expires is set for reservations only.
	expires time.Time
	// attached is the number of clients that read the stream.
	attached int
}

func newMemory(total int64, onReservationFreed func(string)) *memory {
	return &memory{total: total, holds: make(map[holdID]*hold), onReservationFreed: onReservationFreed}
}

// enqueue queues a new hold; it is granted at once if the memory suffices and no other is queued.
func (m *memory) enqueue(kind sweep.Kind, name string, tokens int64) *hold {
	h := &hold{id: holdID{kind, name}, tokens: tokens, since: time.Now(), granted: make(chan struct{})}
	m.holds[h.id] = h
	m.queue = append(m.queue, h)
	m.grant()
	return h
}

// grant allocates memory to queued holds, in order, until the next one does not fit. Holds of 0 tokens, as of streams that
// use a reservation, never wait.
func (m *memory) grant() {
	m.queue = slices.DeleteFunc(m.queue, func(h *hold) bool {
		if h.tokens == 0 {
			close(h.granted)
		}
		return h.tokens == 0
	})
	for len(m.queue) > 0 && m.used+m.queue[0].tokens <= m.total {
		m.used += m.queue[0].tokens
		close(m.queue[0].granted)
		m.queue = m.queue[1:]
	}
}

// isGranted reports whether the memory is allocated.
func (h *hold) isGranted() bool {
	select {
	case <-h.granted:
		return true
	default:
		return false
	}
}

// isGranted reports whether a hold exists and has its memory.
func (m *memory) isGranted(kind sweep.Kind, name string) bool {
	m.expire()
	h := m.holds[holdID{kind, name}]
	return h != nil && h.isGranted()
}

// free removes a hold, granted or queued, and reports whether it existed.
func (m *memory) free(kind sweep.Kind, name string) bool {
	id := holdID{kind, name}
	h := m.holds[id]
	if h == nil {
		return false
	}
	delete(m.holds, id)
	m.queue = slices.DeleteFunc(m.queue, func(other *hold) bool { return other == h })
	if h.isGranted() {
		m.used -= h.tokens
	}
	m.grant()
	if kind == sweep.KindReservation {
		m.onReservationFreed(name)
	}
	return true
}

// expire frees the reservations that were not renewed in time.
func (m *memory) expire() {
	now := time.Now()
	for _, h := range m.sorted() {
		if !h.expires.IsZero() && !now.Before(h.expires) {
			m.free(h.id.kind, h.id.name)
		}
	}
}

// sorted returns the holds by kind and name, for a stable order.
func (m *memory) sorted() []*hold {
	out := make([]*hold, 0, len(m.holds))
	for _, h := range m.holds {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *hold) int {
		return cmp.Or(cmp.Compare(a.id.kind, b.id.kind), cmp.Compare(a.id.name, b.id.name))
	})
	return out
}

// list describes every hold; the tokens of queued ones are 0.
func (m *memory) list() []sweep.Holding {
	out := []sweep.Holding{}
	for _, h := range m.sorted() {
		holding := sweep.Holding{
			Kind:     h.id.kind,
			Name:     h.id.name,
			AgeMs:    time.Since(h.since).Milliseconds(),
			Attached: h.attached > 0,
		}
		if h.isGranted() {
			holding.Tokens = h.tokens
		}
		out = append(out, holding)
	}
	return out
}
