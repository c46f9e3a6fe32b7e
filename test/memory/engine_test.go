package memory

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/order"
	"carobshunt/internal/core/sweep"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// memoryEngine is a fake engine that counts its memory. A stream goes on when its home is gone, and keeps its memory
// when it is done until its home has fetched the answer. Reservations wait in line and expire.
type memoryEngine struct {
	world   *memoryWorld
	address string
	total   int64
	holds   map[holdID]*hold
	line    []*hold

	// What orders do.
	checks  bool
	state   order.State
	history []order.Order
}

type holdID struct {
	kind sweep.Kind
	name string
}

// hold is one stream, reservation or export, waiting or holding memory.
type hold struct {
	id      holdID
	tokens  int64
	since   time.Duration
	held    bool
	expires time.Duration
	// run is set for a stream.
	run *vrun
}

// vrun is a running dispatch.
type vrun struct {
	from        *virtual.Host
	home        core.Home
	order       node.StartDispatch
	reservation holdID
	// given up by its home.
	aborted bool
	ended   bool
}

func newMemoryEngine(w *memoryWorld, address string, total int64, checks bool) *memoryEngine {
	return &memoryEngine{world: w, address: address, total: total, checks: checks, holds: make(map[holdID]*hold)}
}

func (e *memoryEngine) used() int64 {
	sum := int64(0)
	for _, h := range e.holds {
		if h.held {
			sum += h.tokens
		}
	}
	return sum
}

// grant gives memory to the line, first come first served.
func (e *memoryEngine) grant() {
	for len(e.line) > 0 && e.used()+e.line[0].tokens <= e.total {
		e.line[0].held = true
		e.line = e.line[1:]
	}
}

func (e *memoryEngine) put(h *hold) {
	e.holds[h.id] = h
	e.line = append(e.line, h)
	e.grant()
}

// drop frees a hold; the streams that run on a reservation end with it.
func (e *memoryEngine) drop(id holdID) {
	h := e.holds[id]
	if h == nil {
		return
	}
	delete(e.holds, id)
	e.line = slices.DeleteFunc(e.line, func(other *hold) bool { return other == h })
	e.grant()
	for _, other := range e.sorted() {
		if other.run != nil && other.run.reservation == id {
			e.end(other, node.EndedLost)
			e.drop(other.id)
		}
	}
}

func (e *memoryEngine) sorted() []*hold {
	out := make([]*hold, 0, len(e.holds))
	for _, h := range e.holds {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *hold) int {
		return cmp.Or(cmp.Compare(a.id.kind, b.id.kind), cmp.Compare(a.id.name, b.id.name))
	})
	return out
}

// Start implements virtual.Target.
func (e *memoryEngine) Start(w *virtual.World, from *virtual.Host, order node.StartDispatch) {
	post := from.Poster()
	reply := func(ending node.Ending) {
		in := node.DispatchEnded{Key: order.Key, Dispatch: order.Dispatch, Target: order.Target, Ending: ending}
		w.After(time.Millisecond, func() { post(in) })
	}
	if !e.world.reachable(from, e.address) {
		reply(node.EndedNotWritten)
		return
	}
	if order.Adopt != "" {
		e.world.adopted = append(e.world.adopted, order.Adopt)
		reply(node.EndedFailed) // the stream is not there any more
		return
	}
	h := &hold{id: holdID{sweep.KindStream, order.Stream.Name()}, since: w.Now()}
	h.run = &vrun{from: from, home: from.Self(), order: order}
	tokens := order.Request.PromptTokens + order.Request.AnswerTokens
	speed := 20_000.0
	if len(order.Group) > 0 {
		h.run.reservation = holdID{sweep.KindReservation, order.Reservation.Name()}
		if held := e.holds[h.run.reservation]; held == nil || !held.held {
			reply(node.EndedRefused)
			return
		}
		speed *= 0.8 * float64(len(order.Group))
	} else {
		h.tokens = tokens
		if len(e.line) > 0 || e.used()+tokens > e.total {
			reply(node.EndedRefused)
			return
		}
	}
	e.put(h)
	e.export(w, order)
	weight := 1 + float64(tokens)/400_000
	took := time.Duration(float64(tokens)*weight/speed*float64(time.Second)) + time.Duration(order.Request.AnswerTokens)*16*time.Millisecond
	w.After(took, func() { e.end(h, node.EndedDone) })
}

// Exports are made of one stream in so many, and hold so many tokens.
const (
	exportOneIn  = 10
	exportTokens = 5_000
)

// export leaves a KV export of some streams behind, which nobody asks for again.
func (e *memoryEngine) export(w *virtual.World, order node.StartDispatch) {
	if !e.world.exporting || e.world.rng.IntN(exportOneIn) != 0 || len(e.line) > 0 || e.used()+exportTokens > e.total {
		return
	}
	name := core.Export{Stream: order.Stream, Number: 1}.Name()
	e.put(&hold{id: holdID{sweep.KindExport, name}, tokens: exportTokens, since: w.Now()})
	e.world.exports++
}

// end ends a stream towards its home. When the home can't be reached, a stream that is done waits to be fetched.
func (e *memoryEngine) end(h *hold, ending node.Ending) {
	if h.run.ended || e.holds[h.id] != h {
		return
	}
	h.run.ended = true
	run := h.run
	alive := run.from.Alive() && run.from.Self() == run.home
	reachable := alive && !run.from.Paused() && e.world.reachable(run.from, e.address)
	if ending == node.EndedDone && !reachable && !run.aborted {
		if !alive {
			return
		}
		ending = node.EndedLost // the connection broke before the answer was fetched
	} else {
		e.drop(h.id)
	}
	if run.aborted {
		return
	}
	in := node.DispatchEnded{Key: run.order.Key, Dispatch: run.order.Dispatch, Target: run.order.Target, Ending: ending}
	if run.from.Alive() && run.from.Self() == run.home {
		run.from.Post(in)
	}
}

// Abort implements virtual.Target. An engine that can't be reached goes on.
func (e *memoryEngine) Abort(_ *virtual.World, from *virtual.Host, abort node.AbortDispatch) {
	for _, h := range e.sorted() {
		if h.run == nil || h.run.home != from.Self() || h.run.order.Key != abort.Key || h.run.order.Dispatch != abort.Dispatch {
			continue
		}
		h.run.aborted = true
		if e.world.reachable(from, e.address) && e.world.cancels {
			e.drop(h.id)
		}
		in := node.DispatchEnded{Key: abort.Key, Dispatch: abort.Dispatch, Target: e.address, Ending: node.EndedLost}
		post := from.Poster()
		e.world.world.After(time.Millisecond, func() { post(in) })
	}
}

// Reserve implements virtual.MemoryTarget.
func (e *memoryEngine) Reserve(w *virtual.World, order node.Reserve) group.Answer {
	id := holdID{sweep.KindReservation, order.Reservation.Name()}
	h := e.holds[id]
	if h == nil {
		if order.Renewal || order.Tokens > e.total {
			return group.Refused
		}
		h = &hold{id: id, tokens: order.Tokens, since: w.Now()}
		e.put(h)
	}
	h.expires = w.Now() + order.Expiry
	if e.world.expire {
		w.At(h.expires, func() {
			if e.holds[id] == h && w.Now() >= h.expires {
				e.drop(id)
			}
		})
	}
	if h.held {
		return group.Held
	}
	return group.Waiting
}

// Release implements virtual.MemoryTarget.
func (e *memoryEngine) Release(_ *virtual.World, order node.Release) {
	e.drop(holdID{sweep.KindReservation, order.Reservation.Name()})
}

// Holdings implements virtual.MemoryTarget.
func (e *memoryEngine) Holdings(w *virtual.World) []sweep.Holding {
	out := []sweep.Holding{}
	for _, h := range e.sorted() {
		line := sweep.Holding{Kind: h.id.kind, Name: h.id.name, Tokens: h.tokens}
		if e.world.ages {
			line.AgeMs = (w.Now() - h.since).Milliseconds()
		}
		out = append(out, line)
	}
	return out
}

// CancelHolding implements virtual.MemoryTarget. A live stream among what is swept is a fault.
func (e *memoryEngine) CancelHolding(w *virtual.World, order node.CancelHolding) {
	id := holdID{order.Kind, order.Name}
	h := e.holds[id]
	if h == nil {
		return
	}
	e.world.swept[order.Reason]++
	if e.live(h) {
		e.world.t.Fatalf("seed %d at %v %s swept a live %s as %s: %s", e.world.seed, w.Now(), e.address, order.Kind, order.Reason, order.Name)
	}
	if h.run != nil {
		h.run.ended = true
	}
	e.drop(id)
}

// live tells whether a request that can still end well depends on a hold.
func (e *memoryEngine) live(h *hold) bool {
	switch h.id.kind {
	case sweep.KindStream:
		return e.world.liveRun(h.run)
	case sweep.KindReservation:
		return e.liveReservation(h)
	}
	owner, err := core.ParseOwner(h.id.name)
	assert.NilError(e.world.t, err)
	stream := e.holds[holdID{sweep.KindStream, owner.Name()}]
	return stream != nil && e.world.liveRun(stream.run)
}

func (e *memoryEngine) liveReservation(h *hold) bool {
	for _, engine := range e.world.engines {
		for _, other := range engine.holds {
			if other.run != nil && other.run.reservation == h.id && e.world.liveRun(other.run) {
				return true
			}
		}
	}
	return false
}

// liveRun tells whether the home of a run still works on it.
func (w *memoryWorld) liveRun(run *vrun) bool {
	if run.aborted || run.ended || !run.from.Alive() || run.from.Self() != run.home {
		return false
	}
	return run.from.Clock() < run.order.Deadline && !w.finished[finishedKey{run.home, run.order.Key}]
}

// OrderState implements virtual.OrderTarget.
func (e *memoryEngine) OrderState(*virtual.World) order.State { return e.state }

// loadTime is how long an engine loads a model.
const loadTime = 3 * time.Second

// Order implements virtual.OrderTarget.
func (e *memoryEngine) Order(w *virtual.World, o order.Order) bool {
	old := o.Fence.Compare(e.state.Highest) <= 0
	if e.checks && old {
		return false
	}
	if !old {
		e.state.Highest = o.Fence
	}
	e.history = append(e.history, o)
	e.state.Models = slices.DeleteFunc(slices.Clone(e.state.Models), func(m order.Model) bool { return !slices.Contains(o.Models, m) })
	e.state.Loading = slices.DeleteFunc(slices.Clone(e.state.Loading), func(m order.Model) bool { return !slices.Contains(o.Models, m) })
	for _, m := range o.Models {
		if !slices.Contains(e.state.Models, m) && !slices.Contains(e.state.Loading, m) {
			e.load(w, m)
		}
	}
	return true
}

func (e *memoryEngine) load(w *virtual.World, m order.Model) {
	e.world.loads = append(e.world.loads, w.Now())
	e.state.Loading = append(e.state.Loading, m)
	w.After(loadTime, func() {
		if i := slices.Index(e.state.Loading, m); i >= 0 {
			e.state.Loading = slices.Delete(slices.Clone(e.state.Loading), i, i+1)
			e.state.Models = append(slices.Clone(e.state.Models), m)
		}
	})
}

// finishedKey names a request at one process.
type finishedKey struct {
	home core.Home
	key  core.Key
}
