package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Clock is virtual time.
type Clock interface {
	// Now is the present instant.
	Now() time.Duration
	// At calls f at an instant.
	At(at time.Duration, f func())
}

// Spec describes a stream.
type Spec struct {
	Name string
	// Priority: higher goes first.
	Priority     int
	PromptTokens int64
	AnswerTokens int64
	Prefix       string
	PrefixTokens int64
	// Scale is the distance in the prompt between two tokens that this engine prefills: 1, or more for a member of
	// a group.
	Scale float64
}

// Listener is told of a stream's progress.
type Listener struct {
	// First is called at the first token, Gap with the time between two tokens, Ended after the last token.
	First func()
	Gap   func(time.Duration)
	Ended func()
}

// Load is what an engine reports of itself.
type Load struct {
	// QueuedTokens are the prompt tokens not yet prefilled.
	QueuedTokens int64
	Streams      int
	// UsedTokens is the memory held by streams.
	UsedTokens int64
}

// Engine is one model engine. It is not safe for concurrent use.
type Engine struct {
	params  Params
	clock   Clock
	rng     *rand.Rand
	cache   *cache
	streams []*stream
	// reserved are the reservations by name; each stands in the line of streams too.
	reserved map[string]*reservation
	held     int64
	serial   uint64
	busy     bool
	dead     bool
	// OnEvent is called with each cache event that is not lost, late.
	OnEvent func(CacheEvent)
	// Preemptions counts streams that lost their memory.
	Preemptions int
}

type stream struct {
	spec     Spec
	listener Listener
	serial   uint64
	resident bool
	entry    *cacheEntry
	cached   int64
	// hold is the memory held outside the cache.
	hold     int64
	position int64
	answered int64
	// told is how much of the answer has been streamed; a stream that starts over does not repeat it.
	told      int64
	lastToken time.Duration
	saved     *Export
	notBefore time.Duration
	// group is set on a part of a stream that runs on several engines.
	group *group
	gone  bool
	// reserves is set on a reservation's place in the line; it never runs.
	reserves bool
	// spare is reserved memory that the stream has not used yet.
	spare int64
}

// New returns an idle engine; the seed decides which cache events are late and lost.
func New(clock Clock, params Params, seed uint64) *Engine {
	e := &Engine{params: params, clock: clock, reserved: make(map[string]*reservation), rng: rand.New(rand.NewPCG(seed, 0x656e67))}
	e.cache = newCache(e.publish)
	return e
}

// Start takes a stream. It reports false when the stream can never fit.
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
	if s.spec.Scale == 0 {
		s.spec.Scale = 1
	}
	e.serial++
	s.serial = e.serial
	at, _ := slices.BinarySearchFunc(e.streams, s, byRank)
	e.streams = slices.Insert(e.streams, at, s)
	e.wake()
}

// protected tells whether a stream's memory was promised by a reservation.
func (s *stream) protected() bool { return s.reserves || s.group != nil }

// byRank orders streams by priority, then by arrival.
func byRank(a, b *stream) int {
	if a.spec.Priority != b.spec.Priority {
		return b.spec.Priority - a.spec.Priority
	}
	return int(a.serial) - int(b.serial)
}

// Cancel ends a stream early and frees its memory; it reports whether the stream was there.
func (e *Engine) Cancel(name string) bool {
	s := e.find(name)
	if s == nil {
		return false
	}
	e.remove(s)
	return true
}

// Resume attaches another listener to a running stream and returns how many tokens it has streamed.
func (e *Engine) Resume(name string, listener Listener) (int64, bool) {
	s := e.find(name)
	if s == nil {
		return 0, false
	}
	s.listener = listener
	return s.told, true
}

// Kill ends the engine and everything on it.
func (e *Engine) Kill() {
	e.dead = true
	for _, s := range e.streams {
		s.gone = true
		s.resident = false
	}
	e.streams = nil
	clear(e.reserved)
}

// Dead tells whether the engine was killed.
func (e *Engine) Dead() bool { return e.dead }

// Load returns the engine's load at this instant.
func (e *Engine) Load() Load {
	load := Load{UsedTokens: e.held + e.cache.pinned}
	for _, s := range e.streams {
		if s.reserves {
			continue
		}
		load.Streams++
		if s.answered == 0 {
			load.QueuedTokens += s.spec.PromptTokens - s.position
		}
	}
	return load
}

// Names returns the names of the streams in order of rank.
func (e *Engine) Names() []string {
	var out []string
	for _, s := range e.streams {
		if !s.reserves {
			out = append(out, s.spec.Name)
		}
	}
	return out
}

func (e *Engine) find(name string) *stream {
	at := slices.IndexFunc(e.streams, func(s *stream) bool { return s.spec.Name == name && !s.reserves })
	if at < 0 {
		return nil
	}
	return e.streams[at]
}

func (e *Engine) remove(s *stream) {
	if s.gone {
		return
	}
	s.gone = true
	e.release(s)
	if at := slices.Index(e.streams, s); at >= 0 {
		e.streams = slices.Delete(e.streams, at, at+1)
	}
	e.wake()
}

// publish sends a cache event late, or not at all.
func (e *Engine) publish(event CacheEvent) {
	if e.OnEvent == nil || e.rng.Int64N(100) < e.params.EventLossPercent {
		return
	}
	spread := int64(e.params.EventLagMax-e.params.EventLagMin) + 1
	lag := e.params.EventLagMin + time.Duration(e.rng.Int64N(spread))
	e.clock.At(e.clock.Now()+lag, func() { e.OnEvent(event) })
}
