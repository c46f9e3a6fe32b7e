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
	// line queues the holds that wait for memory.
	line []*hold
	// reservationGone is called after a reservation is freed.
	reservationGone func(name string)
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

func newMemory(total int64, reservationGone func(string)) *memory {
	return &memory{total: total, holds: make(map[holdID]*hold), reservationGone: reservationGone}
}

// ask queues a new hold; it is granted at once if the memory suffices and no other is queued.
func (m *memory) ask(kind sweep.Kind, name string, tokens int64) *hold {
	h := &hold{id: holdID{kind, name}, tokens: tokens, since: time.Now(), granted: make(chan struct{})}
	m.holds[h.id] = h
	m.line = append(m.line, h)
	m.grant()
	return h
}

// grant allocates memory to queued holds, in order, until the next one does not fit. Holds of 0 tokens, as of streams that
// use a reservation, never wait.
func (m *memory) grant() {
	m.line = slices.DeleteFunc(m.line, func(h *hold) bool {
		if h.tokens == 0 {
			close(h.granted)
		}
		return h.tokens == 0
	})
	for len(m.line) > 0 && m.used+m.line[0].tokens <= m.total {
		m.used += m.line[0].tokens
		close(m.line[0].granted)
		m.line = m.line[1:]
	}
}

// held reports whether the memory is allocated.
func (h *hold) held() bool {
	select {
	case <-h.granted:
		return true
	default:
		return false
	}
}

// heldAt reports whether a hold exists and has its memory.
func (m *memory) heldAt(kind sweep.Kind, name string) bool {
	m.expire()
	h := m.holds[holdID{kind, name}]
	return h != nil && h.held()
}

// free removes a hold, granted or queued, and reports whether it existed.
func (m *memory) free(kind sweep.Kind, name string) bool {
	id := holdID{kind, name}
	h := m.holds[id]
	if h == nil {
		return false
	}
	delete(m.holds, id)
	m.line = slices.DeleteFunc(m.line, func(other *hold) bool { return other == h })
	if h.held() {
		m.used -= h.tokens
	}
	m.grant()
	if kind == sweep.KindReservation {
		m.reservationGone(name)
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
		line := sweep.Holding{
			Kind:     h.id.kind,
			Name:     h.id.name,
			AgeMs:    time.Since(h.since).Milliseconds(),
			Attached: h.attached > 0,
		}
		if h.held() {
			line.Tokens = h.tokens
		}
		out = append(out, line)
	}
	return out
}
