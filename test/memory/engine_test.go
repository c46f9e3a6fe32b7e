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

// memoryEngine is a fake engine that accounts for its memory. A stream continues when its home is gone, and keeps its
// memory after it is done until its home has fetched the answer. Reservations are queued and expire.
type memoryEngine struct {
	world    *memoryWorld
	address  string
	total    int64
	holdings map[holdingID]*holding
	queue    []*holding

	// checksFencing makes the engine refuse orders with an old fencing number.
	checksFencing bool
	state         order.State
	// acceptedOrders lists the orders that took effect, in order of arrival.
	acceptedOrders []order.Order
}

type holdingID struct {
	kind sweep.Kind
	name string
}

// holding is a stream, reservation or export that holds memory or waits for it.
type holding struct {
	id      holdingID
	tokens  int64
	since   time.Duration
	granted bool
	expires time.Duration
	// run is set for a stream.
	run *streamRun
}

// streamRun is the dispatch that a stream serves.
type streamRun struct {
	from        *virtual.Host
	home        core.Home
	start       node.StartDispatch
	reservation holdingID
	// aborted is set once the home has aborted the dispatch.
	aborted bool
	ended   bool
}

func newMemoryEngine(w *memoryWorld, address string, total int64, checks bool) *memoryEngine {
	return &memoryEngine{world: w, address: address, total: total, checksFencing: checks, holdings: make(map[holdingID]*holding)}
}

func (e *memoryEngine) used() int64 {
	sum := int64(0)
	for _, h := range e.holdings {
		if h.granted {
			sum += h.tokens
		}
	}
	return sum
}

// grant gives memory to queued holdings in order of arrival.
func (e *memoryEngine) grant() {
	for len(e.queue) > 0 && e.used()+e.queue[0].tokens <= e.total {
		e.queue[0].granted = true
		e.queue = e.queue[1:]
	}
}

func (e *memoryEngine) put(h *holding) {
	e.holdings[h.id] = h
	e.queue = append(e.queue, h)
	e.grant()
}

// drop removes a holding. The streams that run on a dropped reservation end too.
func (e *memoryEngine) drop(id holdingID) {
	h := e.holdings[id]
	if h == nil {
		return
	}
	delete(e.holdings, id)
	e.queue = slices.DeleteFunc(e.queue, func(other *holding) bool { return other == h })
	e.grant()
	for _, other := range e.sorted() {
		if other.run != nil && other.run.reservation == id {
			e.end(other, node.EndedLost)
			e.drop(other.id)
		}
	}
}

func (e *memoryEngine) sorted() []*holding {
	out := make([]*holding, 0, len(e.holdings))
	for _, h := range e.holdings {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(a.id.kind, b.id.kind), cmp.Compare(a.id.name, b.id.name))
	})
	return out
}

// Start implements virtual.Target.
func (e *memoryEngine) Start(w *virtual.World, from *virtual.Host, start node.StartDispatch) {
	post := from.Poster()
	reply := func(ending node.Ending) {
		in := node.DispatchEnded{Key: start.Key, Dispatch: start.Dispatch, Target: start.Target, Ending: ending}
		w.After(time.Millisecond, func() { post(in) })
	}
	if !e.world.reachable(from, e.address) {
		reply(node.EndedNotWritten)
		return
	}
	if start.Adopt != "" {
		e.world.adopted = append(e.world.adopted, start.Adopt)
		reply(node.EndedFailed) // the stream no longer exists
		return
	}
	h := &holding{id: holdingID{sweep.KindStream, start.Stream.Name()}, since: w.Now()}
	h.run = &streamRun{from: from, home: from.Self(), start: start}
	tokens := start.Request.PromptTokens + start.Request.AnswerTokens
	tokensPerSecond := 20_000.0
	if len(start.Group) > 0 {
		h.run.reservation = holdingID{sweep.KindReservation, start.Reservation.Name()}
		if held := e.holdings[h.run.reservation]; held == nil || !held.granted {
			reply(node.EndedRefused)
			return
		}
		tokensPerSecond *= 0.8 * float64(len(start.Group))
	} else {
		h.tokens = tokens
		if len(e.queue) > 0 || e.used()+tokens > e.total {
			reply(node.EndedRefused)
			return
		}
	}
	e.put(h)
	e.export(w, start)
	meanWeight := 1 + float64(tokens)/400_000
	duration := time.Duration(float64(tokens)*meanWeight/tokensPerSecond*float64(time.Second)) +
		time.Duration(start.Request.AnswerTokens)*16*time.Millisecond
	w.After(duration, func() { e.end(h, node.EndedDone) })
}

// One stream in exportOneIn leaves an export of exportTokens tokens.
const (
	exportOneIn  = 10
	exportTokens = 5_000
)

// export leaves a KV export of some streams behind that nobody releases.
func (e *memoryEngine) export(w *virtual.World, start node.StartDispatch) {
	if !e.world.exporting || e.world.rng.IntN(exportOneIn) != 0 || len(e.queue) > 0 || e.used()+exportTokens > e.total {
		return
	}
	name := core.Export{Stream: start.Stream, Number: 1}.Name()
	e.put(&holding{id: holdingID{sweep.KindExport, name}, tokens: exportTokens, since: w.Now()})
	e.world.exports++
}

// end reports the end of a stream to its home. A completed stream whose home can't be reached keeps its memory.
func (e *memoryEngine) end(h *holding, ending node.Ending) {
	if h.run.ended || e.holdings[h.id] != h {
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
	in := node.DispatchEnded{Key: run.start.Key, Dispatch: run.start.Dispatch, Target: run.start.Target, Ending: ending}
	if run.from.Alive() && run.from.Self() == run.home {
		run.from.Post(in)
	}
}

// Abort implements virtual.Target. An engine that can't be reached continues the stream.
func (e *memoryEngine) Abort(_ *virtual.World, from *virtual.Host, abort node.AbortDispatch) {
	for _, h := range e.sorted() {
		if h.run == nil || h.run.home != from.Self() || h.run.start.Key != abort.Key || h.run.start.Dispatch != abort.Dispatch {
			continue
		}
		h.run.aborted = true
		if e.world.reachable(from, e.address) && e.world.cancelsAborted {
			e.drop(h.id)
		}
		in := node.DispatchEnded{Key: abort.Key, Dispatch: abort.Dispatch, Target: e.address, Ending: node.EndedLost}
		post := from.Poster()
		e.world.world.After(time.Millisecond, func() { post(in) })
	}
}

// Reserve implements virtual.MemoryTarget.
func (e *memoryEngine) Reserve(w *virtual.World, reserve node.Reserve) group.Answer {
	id := holdingID{sweep.KindReservation, reserve.Reservation.Name()}
	h := e.holdings[id]
	if h == nil {
		if reserve.Renewal || reserve.Tokens > e.total {
			return group.Refused
		}
		h = &holding{id: id, tokens: reserve.Tokens, since: w.Now()}
		e.put(h)
	}
	h.expires = w.Now() + reserve.Expiry
	if e.world.expiresReservations {
		w.At(h.expires, func() {
			if e.holdings[id] == h && w.Now() >= h.expires {
				e.drop(id)
			}
		})
	}
	if h.granted {
		return group.Held
	}
	return group.Waiting
}

// Release implements virtual.MemoryTarget.
func (e *memoryEngine) Release(_ *virtual.World, release node.Release) {
	e.drop(holdingID{sweep.KindReservation, release.Reservation.Name()})
}

// Holdings implements virtual.MemoryTarget.
func (e *memoryEngine) Holdings(w *virtual.World) []sweep.Holding {
	out := []sweep.Holding{}
	for _, h := range e.sorted() {
		listed := sweep.Holding{Kind: h.id.kind, Name: h.id.name, Tokens: h.tokens}
		if e.world.reportsAges {
			listed.AgeMs = (w.Now() - h.since).Milliseconds()
		}
		out = append(out, listed)
	}
	return out
}

// CancelHolding implements virtual.MemoryTarget. It fails the test if a live holding is swept.
func (e *memoryEngine) CancelHolding(w *virtual.World, cancel node.CancelHolding) {
	id := holdingID{cancel.Kind, cancel.Name}
	h := e.holdings[id]
	if h == nil {
		return
	}
	e.world.swept[cancel.Reason]++
	if e.live(h) {
		e.world.t.Fatalf("seed %d at %v %s swept a live %s as %s: %s", e.world.seed, w.Now(), e.address, cancel.Kind, cancel.Reason, cancel.Name)
	}
	if h.run != nil {
		h.run.ended = true
	}
	e.drop(id)
}

// live reports whether a request that can still succeed depends on a holding.
func (e *memoryEngine) live(h *holding) bool {
	switch h.id.kind {
	case sweep.KindStream:
		return e.world.liveRun(h.run)
	case sweep.KindReservation:
		return e.liveReservation(h)
	}
	owner, err := core.ParseOwner(h.id.name)
	assert.NilError(e.world.t, err)
	stream := e.holdings[holdingID{sweep.KindStream, owner.Name()}]
	return stream != nil && e.world.liveRun(stream.run)
}

func (e *memoryEngine) liveReservation(h *holding) bool {
	for _, engine := range e.world.engines {
		for _, other := range engine.holdings {
			if other.run != nil && other.run.reservation == h.id && e.world.liveRun(other.run) {
				return true
			}
		}
	}
	return false
}

// liveRun reports whether the home of a run still serves its request.
func (w *memoryWorld) liveRun(run *streamRun) bool {
	if run.aborted || run.ended || !run.from.Alive() || run.from.Self() != run.home {
		return false
	}
	return run.from.Clock() < run.start.Deadline && !w.finished[finishedKey{run.home, run.start.Key}]
}

// OrderState implements virtual.OrderTarget.
func (e *memoryEngine) OrderState(*virtual.World) order.State { return e.state }

// loadTime is how long an engine loads a model.
const loadTime = 3 * time.Second

// Order implements virtual.OrderTarget.
func (e *memoryEngine) Order(w *virtual.World, o order.Order) bool {
	outdated := o.Fence.Compare(e.state.Highest) <= 0
	if e.checksFencing && outdated {
		return false
	}
	if !outdated {
		e.state.Highest = o.Fence
	}
	e.acceptedOrders = append(e.acceptedOrders, o)
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

// finishedKey identifies a request at one process.
type finishedKey struct {
	home core.Home
	key  core.Key
}
