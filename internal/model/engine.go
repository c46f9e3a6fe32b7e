package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Clock is a virtual clock with timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Duration
	// At calls f at that time.
	At(at time.Duration, f func())
}

// Spec describes a stream: one request to a model engine.
type Spec struct {
	Name string
	// Priority orders streams, higher first; a higher one may preempt a lower one.
	Priority     int
	PromptTokens int64
	AnswerTokens int64
	// Prefix names the first PrefixTokens tokens of the prompt, which may be cached; empty for none.
	Prefix       string
	PrefixTokens int64
	// Stride is the distance in the prompt between two tokens that this engine prefills: 1, which 0 means too, or more
	// for a member of a group.
	Stride float64
}

// Listener receives a stream's progress; each function may be nil.
type Listener struct {
	// FirstToken is called at the first token, Gap with the inter-token gap at each further one, Ended after the last token.
	FirstToken func()
	Gap        func(time.Duration)
	Ended      func()
}

// Load is an engine's load report.
type Load struct {
	// QueuedTokens is the number of prompt tokens not yet prefilled.
	QueuedTokens int64
	Streams      int
	// UsedTokens is the KV memory held by streams and reservations, in tokens.
	UsedTokens int64
}

// Engine simulates one model engine. It is not safe for concurrent use.
type Engine struct {
	params Params
	clock  Clock
	rng    *rand.Rand
	cache  *cache
	// streams holds running and queued streams in order of rank.
	streams []*stream
	// reserved holds the reservations by name; each has a placeholder in streams too.
	reserved map[string]*reservation
	// heldTokens is the KV memory held outside the cache.
	heldTokens int64
	arrivals   uint64
	// busy is set while an iteration runs.
	busy bool
	dead bool
	// OnEvent receives the cache events that are not lost, each after a random delay.
	OnEvent func(CacheEvent)
	// Preemptions counts how often a stream was preempted.
	Preemptions int
}

// stream is a running or queued stream, a part of a group, or the placeholder of a reservation.
type stream struct {
	spec     Spec
	listener Listener
	// arrival numbers the streams of an engine in order of arrival.
	arrival uint64
	// resident is set while the stream holds memory.
	resident bool
	// entry is the cache entry that the stream pins, cached how many of its tokens the stream uses.
	entry  *cacheEntry
	cached int64
	// heldTokens is the KV memory held outside the cache.
	heldTokens int64
	// position is the number of prompt tokens prefilled, generated that of answer tokens.
	position  int64
	generated int64
	// streamed is the number of answer tokens sent to the listener; a restarted stream doesn't send them again.
	streamed  int64
	lastToken time.Duration
	// saved is the last copy of the stream's KV memory; after a preemption or an import the stream continues from it.
	saved *Export
	// notBefore is when the transfer of saved ends.
	notBefore time.Duration
	// group is set on a part of a stream that runs on several engines.
	group   *group
	removed bool
	// placeholder is set on a reservation's entry in the queue; it never runs.
	placeholder bool
	// unusedReserved is the reserved memory that the stream has not used yet, in tokens.
	unusedReserved int64
}

// New returns an idle engine; the seed determines which cache events are lost and how late the others are.
func New(clock Clock, params Params, seed uint64) *Engine {
	e := &Engine{params: params, clock: clock, reserved: make(map[string]*reservation), rng: rand.New(rand.NewPCG(seed, 0x656e67))}
	e.cache = newCache(e.publish)
	return e
}

// Start queues a stream. It reports false when the engine is dead or the stream exceeds its memory.
func (e *Engine) Start(spec Spec, listener Listener) bool {
	return e.add(&stream{spec: spec, listener: listener})
}

func (e *Engine) add(s *stream) bool {
	if e.dead || s.spec.PromptTokens+s.spec.AnswerTokens > e.params.MemoryTokens {
		return false
	}
	e.insert(s)
	return true
}

func (e *Engine) insert(s *stream) {
	if s.spec.Stride == 0 {
		s.spec.Stride = 1
	}
	e.arrivals++
	s.arrival = e.arrivals
	at, _ := slices.BinarySearchFunc(e.streams, s, byRank)
	e.streams = slices.Insert(e.streams, at, s)
	e.wake()
}

// protected reports whether a stream must not be preempted by others: it is a reservation, or part of a group.
func (s *stream) protected() bool { return s.placeholder || s.group != nil }

// byRank orders streams by priority, then by arrival.
func byRank(a, b *stream) int {
	if a.spec.Priority != b.spec.Priority {
		return b.spec.Priority - a.spec.Priority
	}
	return int(a.arrival) - int(b.arrival)
}

// Cancel ends a stream early and frees its memory; it reports whether the stream existed.
func (e *Engine) Cancel(name string) bool {
	s := e.find(name)
	if s == nil {
		return false
	}
	e.remove(s)
	return true
}

// Resume replaces the listener of a stream and returns how many answer tokens were sent to the earlier ones. It reports
// false when there is no such stream.
func (e *Engine) Resume(name string, listener Listener) (int64, bool) {
	s := e.find(name)
	if s == nil {
		return 0, false
	}
	s.listener = listener
	return s.streamed, true
}

// Kill stops the engine and drops its streams and reservations without notice.
func (e *Engine) Kill() {
	e.dead = true
	for _, s := range e.streams {
		s.removed = true
		s.resident = false
	}
	e.streams = nil
	clear(e.reserved)
}

// Dead reports whether the engine was killed.
func (e *Engine) Dead() bool { return e.dead }

// Load returns the engine's current load.
func (e *Engine) Load() Load {
	load := Load{UsedTokens: e.heldTokens + e.cache.pinned}
	for _, s := range e.streams {
		if s.placeholder {
			continue
		}
		load.Streams++
		if s.generated == 0 {
			load.QueuedTokens += s.spec.PromptTokens - s.position
		}
	}
	return load
}

// StreamNames returns the names of the streams in order of rank.
func (e *Engine) StreamNames() []string {
	var out []string
	for _, s := range e.streams {
		if !s.placeholder {
			out = append(out, s.spec.Name)
		}
	}
	return out
}

func (e *Engine) find(name string) *stream {
	at := slices.IndexFunc(e.streams, func(s *stream) bool { return s.spec.Name == name && !s.placeholder })
	if at < 0 {
		return nil
	}
	return e.streams[at]
}

func (e *Engine) remove(s *stream) {
	if s.removed {
		return
	}
	s.removed = true
	e.release(s)
	if at := slices.Index(e.streams, s); at >= 0 {
		e.streams = slices.Delete(e.streams, at, at+1)
	}
	e.wake()
}

// publish delivers a cache event after a random delay, or drops it.
func (e *Engine) publish(event CacheEvent) {
	if e.OnEvent == nil || e.rng.Int64N(100) < e.params.EventLossPercent {
		return
	}
	spread := int64(e.params.EventLagMax-e.params.EventLagMin) + 1
	lag := e.params.EventLagMin + time.Duration(e.rng.Int64N(spread))
	e.clock.At(e.clock.Now()+lag, func() { e.OnEvent(event) })
}
