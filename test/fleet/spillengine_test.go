package fleet

import (
	"slices"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/model"
	"carobshunt/internal/virtual"
)

// loadedEngine is an engine whose answers take as long as its load makes them take.
type loadedEngine struct {
	fleet         *fleet
	address, zone string
	engine        *model.Engine
	running       map[string]*loadedRun
	// arrived are the instants at which requests arrived.
	arrived []virtual.Time
}

// loadedRun is a request at a loadedEngine.
type loadedRun struct {
	post  func(node.Input)
	end   node.DispatchEnded
	delay time.Duration
}

// loadedAnswer is the number of iterations of an answer: 1,290 tokens, 43 in each.
const loadedAnswer = 30

// loadedParams returns the speed of the engines in the fleet's document.
func loadedParams() model.Params {
	p := model.Reference()
	p.IterationBase = 43 * time.Millisecond
	p.IterationPerStream = 0
	p.PrefillTokensPerSecond = 206_000
	p.IterationPrefillTokens = 43 * 2048
	p.IterationStreams = 16
	p.MemoryTokens = 232_000
	return p
}

// loadEngines replaces the fleet's engines by some whose load counts.
func (f *fleet) loadEngines() []*loadedEngine {
	var out []*loadedEngine
	for i, entry := range f.all {
		e := &loadedEngine{
			fleet: f, address: entry.Address, zone: entry.Zone, engine: model.New(f.world, loadedParams(), uint64(i)),
			running: make(map[string]*loadedRun),
		}
		f.world.Targets[entry.Address] = e
		out = append(out, e)
	}
	return out
}

// delayTo returns the time that a message takes between a host and the engine.
func (e *loadedEngine) delayTo(h *virtual.Host) time.Duration {
	if e.fleet.hostZone(h) != e.zone {
		return networkTime + e.fleet.opts.zoneDelay
	}
	return networkTime
}

// hostZone returns the zone of a host.
func (f *fleet) hostZone(h *virtual.Host) string { return zone(slices.Index(f.hosts, h)) }

// Start implements virtual.Target.
func (e *loadedEngine) Start(w *virtual.World, from *virtual.Host, start node.StartDispatch) {
	r := &loadedRun{
		post: from.Poster(), delay: e.delayTo(from),
		end: node.DispatchEnded{Key: start.Key, Dispatch: start.Dispatch, Target: start.Target, Ending: node.EndedDone},
	}
	w.After(r.delay, func() {
		if e.engine.Dead() {
			r.end.Ending = node.EndedNotWritten
			w.After(r.delay, func() { r.post(r.end) })
			return
		}
		e.arrived = append(e.arrived, w.Now())
		name := start.Stream.Name()
		e.running[name] = r
		deliver := func(in node.Input) { w.After(r.delay, func() { r.post(in) }) }
		e.engine.Start(model.Spec{
			Name: name, Priority: start.Priority, PromptTokens: start.Request.PromptTokens, AnswerTokens: loadedAnswer,
		}, model.Listener{
			FirstToken: func() { deliver(node.DispatchFirstToken{Key: start.Key, Dispatch: start.Dispatch}) },
			Gap:        func(time.Duration) { deliver(node.TargetAlive{Target: start.Target, Dispatch: start.ID()}) },
			Ended: func() {
				delete(e.running, name)
				deliver(r.end)
			},
		})
	})
}

// Abort implements virtual.Target.
func (e *loadedEngine) Abort(w *virtual.World, _ *virtual.Host, abort node.AbortDispatch) {
	for name, r := range e.running {
		if r.end.Key == abort.Key && r.end.Dispatch == abort.Dispatch {
			e.engine.Cancel(name)
			delete(e.running, name)
			r.end.Ending = node.EndedLost
			w.After(r.delay, func() { r.post(r.end) })
			return
		}
	}
}

// kill ends the engine and all that runs on it, for good.
func (e *loadedEngine) kill() {
	e.engine.Kill()
	for _, name := range sortedNames(e.running) {
		r := e.running[name]
		r.end.Ending = node.EndedLost
		e.fleet.world.After(r.delay, func() { r.post(r.end) })
	}
	clear(e.running)
}
