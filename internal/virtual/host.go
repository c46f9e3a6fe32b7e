package virtual

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
)

// Host is a simulated entry host with one process at a time, which runs a Node. A host without a process is dead.
type Host struct {
	// OnFinish, if set, is called for every request that gets its final result on this host.
	OnFinish func(node.Finish)
	// OnChange, if set, is called for every state change that a process on this host reports.
	OnChange func(node.StateChange)
	// OnCheck, if set, is called for each document that a process on this host checks.
	OnCheck func(raw []byte)
	// CheckTime is how long a process takes to check a document.
	CheckTime time.Duration

	world *World
	opts  node.Options
	// starts is the number of processes started so far.
	starts int
	// node is nil while the host is dead.
	node    *node.Node
	started Time
	paused  bool
	// inbox holds the inputs that arrived while the process was paused.
	inbox []node.Input
	// waiting holds the callbacks of the decisions that are still to come.
	waiting map[node.Ticket]func(node.Decision)
	tickets node.Ticket
	stopped bool
	// documents checks documents for the process, of which lastChecked was the last, and all will be checked at checkedUntil.
	documents    *document.Reader
	lastChecked  []byte
	checkedUntil Time
}

// AddHost adds a host and starts it. Each start replaces the incarnation and the seed in the options.
func (w *World) AddHost(opts node.Options) *Host {
	h := &Host{world: w, opts: opts}
	w.hosts[opts.Peer] = h
	if opts.LoadsAddress != "" {
		w.byLoads[opts.LoadsAddress] = opts.Peer
	}
	w.order = append(w.order, h)
	h.Start()
	return h
}

// Start starts a new process, with a new incarnation and its clock at zero.
func (h *Host) Start() {
	h.starts++
	h.opts.Self.Incarnation = fmt.Sprintf("i%d", h.starts)
	h.opts.Seed += uint64(h.starts)
	h.node = node.New(h.opts)
	h.started = h.world.now
	h.paused = false
	h.stopped = false
	h.inbox = nil
	h.waiting = make(map[node.Ticket]func(node.Decision))
	h.documents, h.lastChecked, h.checkedUntil = document.NewReader(), nil, 0
	h.scheduleTick(h.starts)
}

// Kill ends the process at once; its state is lost.
func (h *Host) Kill() {
	h.node = nil
	h.waiting = nil
	h.inbox = nil
}

// Pause suspends the process. Inputs posted to it wait until Resume, but its ticks are skipped, and peers that fetch from it
// get no answer.
func (h *Host) Pause() { h.paused = true }

// Resume resumes a suspended process, which then handles the inputs that have waited.
func (h *Host) Resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, in := range inbox {
		h.step(in)
	}
}

// Alive reports whether the host has a process, paused or not.
func (h *Host) Alive() bool { return h.node != nil }

// Paused reports whether the process is paused.
func (h *Host) Paused() bool { return h.paused }

// Stopped reports whether the process has ended after a drain.
func (h *Host) Stopped() bool { return h.stopped }

// Self returns the address and the incarnation of the latest process.
func (h *Host) Self() core.Home { return h.opts.Self }

// Peer returns the host's peer address.
func (h *Host) Peer() string { return h.opts.Peer }

// Clock returns the time on the host's own clock, which starts with its process.
func (h *Host) Clock() core.Time { return h.world.now - h.started }

// Snapshot returns the Node's published state, or nil while the host is dead.
func (h *Host) Snapshot() *node.Snapshot {
	if h.node == nil {
		return nil
	}
	return h.node.Snapshot()
}

// Post delivers an input to the current process without any network latency: the process handles it before Post returns or,
// if it is paused, on Resume. The input is lost while the host is dead.
func (h *Host) Post(in node.Input) {
	switch {
	case h.node == nil:
	case h.paused:
		h.inbox = append(h.inbox, in)
	default:
		h.step(in)
	}
}

// Poster returns a function that delivers inputs to the current process only, never to one that is started later.
func (h *Host) Poster() func(node.Input) {
	start := h.starts
	return func(in node.Input) {
		if h.starts == start {
			h.Post(in)
		}
	}
}

// Submit submits a request; f is called with the decision, or never if the host is dead or its process dies first.
func (h *Host) Submit(req core.Request, f func(node.Decision)) {
	h.awaitDecision(f, func(t node.Ticket) node.Input { return node.Submit{Ticket: t, Request: req} })
}

// Query asks for the state of a request; f is called as in Submit.
func (h *Host) Query(req core.Request, f func(node.Decision)) {
	h.awaitDecision(f, func(t node.Ticket) node.Input { return node.Query{Ticket: t, Request: req} })
}

// Cancel asks to end a request early; f is called as in Submit.
func (h *Host) Cancel(req core.Request, f func(node.Decision)) {
	h.awaitDecision(f, func(t node.Ticket) node.Input { return node.Cancel{Ticket: t, Request: req} })
}

// awaitDecision posts an input under a new ticket and registers f for its decision.
func (h *Host) awaitDecision(f func(node.Decision), in func(node.Ticket) node.Input) {
	if h.node == nil {
		return
	}
	h.tickets++
	h.waiting[h.tickets] = f
	h.Post(in(h.tickets))
}

// scheduleTick schedules the next tick of the process with that start number, and each tick schedules the one after it until
// the process ends. A paused process misses its ticks.
func (h *Host) scheduleTick(start int) {
	h.world.After(node.TickInterval, func() {
		if h.node == nil || h.starts != start {
			return
		}
		if !h.paused {
			h.step(node.Tick{})
		}
		h.scheduleTick(start)
	})
}

// step passes an input to the Node and executes the resulting actions.
func (h *Host) step(in node.Input) {
	if h.node == nil {
		return
	}
	for _, action := range h.node.Step(h.Clock(), in) {
		h.execute(action)
	}
}

// execute carries out an action. It ignores those that it doesn't list: the ones for logs and caller buffers.
func (h *Host) execute(action node.Action) {
	switch a := action.(type) {
	case node.Decide:
		f := h.waiting[a.Ticket]
		delete(h.waiting, a.Ticket)
		if f != nil {
			f(a.Decision)
		}
	case node.StartDispatch:
		h.startDispatch(a)
	case node.AbortDispatch:
		for _, address := range slices.Sorted(maps.Keys(h.world.Targets)) {
			h.world.Targets[address].Abort(h.world, h, a)
		}
	case node.Finish:
		if h.OnFinish != nil {
			h.OnFinish(a)
		}
	case node.StateChange:
		if h.OnChange != nil {
			h.OnChange(a)
		}
	case node.SendHeartbeat:
		h.send(a.Peer, node.HeartbeatReceived{Heartbeat: a.Heartbeat})
	case node.SendLoads:
		h.sendLoads(a)
	case node.Stop:
		h.stopped = true
		h.Kill()
	default:
		h.executePublished(action)
	}
}

// executePublished carries out an action on a document or a host list.
func (h *Host) executePublished(action node.Action) {
	switch a := action.(type) {
	case node.FetchDocument:
		h.fetch(a.Peer, func(s *node.Snapshot, post func(node.Input)) {
			version := conf.Version{Revision: s.Document.Revision, Digest: s.Documents.Newest().Digest}
			post(node.DocumentFetched{Version: version, Raw: s.RawDocument, Source: a.Peer})
		})
	case node.CheckDocument:
		h.Check(a.Raw, func(c *conf.Checked) { h.Post(node.DocumentChecked{Checked: c, Source: a.Source}) })
	case node.FetchHosts:
		h.fetch(a.Peer, func(s *node.Snapshot, post func(node.Input)) {
			post(node.HostsReceived{List: s.HostList, Source: a.Peer})
		})
	default:
		h.executeOnTarget(action)
	}
}

// executeOnTarget carries out an action on a target other than a dispatch.
func (h *Host) executeOnTarget(action node.Action) {
	switch a := action.(type) {
	case node.CheckTarget:
		if t, ok := h.world.Targets[a.Process.Address].(HealthTarget); ok {
			t.Check(h.world, h, a)
		}
	case node.Reserve, node.Release, node.ListMemory, node.CancelHolding:
		h.executeMemory(a)
	case node.ReadOrders, node.SendOrder:
		h.executeOrder(a)
	}
}

// startDispatch passes a dispatch to its target. One to an address without a target ends as not written.
func (h *Host) startDispatch(a node.StartDispatch) {
	t := h.world.Targets[a.Target]
	if t == nil {
		h.world.After(0, func() {
			h.Post(node.DispatchEnded{Key: a.Key, Dispatch: a.Dispatch, Target: a.Target, Ending: node.EndedNotWritten})
		})
		return
	}
	t.Start(h.world, h, a)
}

// send posts an input to the process that a peer runs when the input has crossed the network.
func (h *Host) send(peer string, in node.Input) {
	h.world.deliver(h.opts.Peer, peer, func() {
		if other := h.world.hosts[peer]; other != nil {
			other.Post(in)
		}
	})
}

// sendLoads sends a bundle of load digests to the hosts with the given load addresses.
func (h *Host) sendLoads(a node.SendLoads) {
	for _, address := range a.To {
		if peer, ok := h.world.byLoads[address]; ok {
			h.send(peer, node.LoadsReceived{From: h.opts.Peer, Bundle: a.Bundle})
		}
	}
}

// Check checks a document as doccheck.Checker does, one at a time, and calls done with the result unless the process has ended by then.
// A document that was the last one to be checked takes no time.
func (h *Host) Check(raw []byte, done func(*conf.Checked)) {
	start := h.starts
	h.checkedUntil = max(h.checkedUntil, h.world.now)
	if !bytes.Equal(raw, h.lastChecked) {
		h.lastChecked = raw
		h.checkedUntil += h.CheckTime
		if h.OnCheck != nil {
			h.OnCheck(raw)
		}
	}
	h.world.At(h.checkedUntil, func() {
		if h.starts == start {
			done(conf.Check(h.documents, raw))
		}
	})
}

// fetch passes a peer's state to received, with the function that posts to the process that asked for it; the request and the
// answer each cross the network. A peer that is dead or paused, or that has neither a document nor a host list yet, doesn't answer.
func (h *Host) fetch(peer string, received func(s *node.Snapshot, post func(node.Input))) {
	post := h.Poster()
	h.world.deliver(h.opts.Peer, peer, func() {
		other := h.world.hosts[peer]
		if other == nil || other.node == nil || other.paused {
			return
		}
		snapshot := other.node.Snapshot()
		if snapshot.Document == nil || snapshot.HostList == nil {
			return
		}
		h.world.deliver(peer, h.opts.Peer, func() { received(snapshot, post) })
	})
}
