package virtual

import (
	"fmt"
	"maps"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
)

// Host is one entry host: a Node, or nothing while it is dead.
type Host struct {
	// Finished is called for every request that gets its final result on this host.
	Finished func(node.Finish)

	world    *World
	opts     node.Options
	starts   int
	node     *node.Node
	started  Time
	paused   bool
	inbox    []node.Input
	waiting  map[node.Ticket]func(node.Decision)
	tickets  node.Ticket
	stopping bool
}

// AddHost adds a host and starts it. The incarnation in the options is replaced at each start.
func (w *World) AddHost(opts node.Options) *Host {
	h := &Host{world: w, opts: opts}
	w.hosts[opts.Peer] = h
	w.order = append(w.order, h)
	h.Start()
	return h
}

// Start starts the process anew, with a new incarnation and a clock at zero.
func (h *Host) Start() {
	h.starts++
	h.opts.Self.Incarnation = fmt.Sprintf("i%d", h.starts)
	h.opts.Seed += uint64(h.starts)
	h.node = node.New(h.opts)
	h.started = h.world.now
	h.paused = false
	h.stopping = false
	h.inbox = nil
	h.waiting = make(map[node.Ticket]func(node.Decision))
	h.tick(h.starts)
}

// Kill ends the process; everything that it held is gone.
func (h *Host) Kill() {
	h.node = nil
	h.waiting = nil
	h.inbox = nil
}

// Pause stops the process; what is sent to it waits.
func (h *Host) Pause() { h.paused = true }

// Resume lets a paused process go on; it then takes what waited, late.
func (h *Host) Resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, in := range inbox {
		h.step(in)
	}
}

// Alive tells whether the process exists, paused or not.
func (h *Host) Alive() bool { return h.node != nil }

// Paused tells whether the process is paused.
func (h *Host) Paused() bool { return h.paused }

// Stopped tells whether the process has ended a drain.
func (h *Host) Stopped() bool { return h.stopping }

// Self is the present process.
func (h *Host) Self() core.Home { return h.opts.Self }

// Peer is the host's peer address.
func (h *Host) Peer() string { return h.opts.Peer }

// Clock is the host's own clock.
func (h *Host) Clock() core.Time { return h.world.now - h.started }

// Snapshot is the Node's state, or nil while the host is dead.
func (h *Host) Snapshot() *node.Snapshot {
	if h.node == nil {
		return nil
	}
	return h.node.Snapshot()
}

// Post hands an input to the process that is alive now; it is lost when that process is dead by then.
func (h *Host) Post(in node.Input) {
	switch {
	case h.node == nil:
	case h.paused:
		h.inbox = append(h.inbox, in)
	default:
		h.step(in)
	}
}

// Poster returns a function that hands inputs to the present process only, never to one that is started later.
func (h *Host) Poster() func(node.Input) {
	start := h.starts
	return func(in node.Input) {
		if h.starts == start {
			h.Post(in)
		}
	}
}

// Submit asks for a decision; f is called with it, or never when the process dies first.
func (h *Host) Submit(req core.Request, f func(node.Decision)) {
	h.ask(f, func(t node.Ticket) node.Input { return node.Submit{Ticket: t, Request: req} })
}

// Query asks what became of a request.
func (h *Host) Query(req core.Request, f func(node.Decision)) {
	h.ask(f, func(t node.Ticket) node.Input { return node.Query{Ticket: t, Request: req} })
}

// Cancel asks to end a request early.
func (h *Host) Cancel(req core.Request, f func(node.Decision)) {
	h.ask(f, func(t node.Ticket) node.Input { return node.Cancel{Ticket: t, Request: req} })
}

func (h *Host) ask(f func(node.Decision), in func(node.Ticket) node.Input) {
	if h.node == nil {
		return
	}
	h.tickets++
	h.waiting[h.tickets] = f
	h.Post(in(h.tickets))
}

func (h *Host) tick(start int) {
	h.world.After(node.TickInterval, func() {
		if h.node == nil || h.starts != start {
			return
		}
		if !h.paused {
			h.step(node.Tick{})
		}
		h.tick(start)
	})
}

func (h *Host) step(in node.Input) {
	if h.node == nil {
		return
	}
	for _, action := range h.node.Step(h.Clock(), in) {
		h.execute(action)
	}
}

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
	case node.Reserve, node.Release, node.ListMemory, node.CancelHolding:
		h.executeMemory(a)
	case node.ReadOrders, node.SendOrder:
		h.executeOrder(a)
	case node.Finish:
		if h.Finished != nil {
			h.Finished(a)
		}
	case node.SendHeartbeat:
		h.send(a.Peer, node.HeartbeatReceived{Heartbeat: a.Heartbeat})
	case node.FetchDocument:
		h.fetch(a.Peer, func(s *node.Snapshot) node.Input {
			return node.DocumentReceived{Raw: s.RawDocument, Source: a.Peer}
		})
	case node.FetchHosts:
		h.fetch(a.Peer, func(s *node.Snapshot) node.Input {
			return node.HostsReceived{List: s.HostList, Source: a.Peer}
		})
	case node.Stop:
		h.stopping = true
		h.Kill()
	}
}

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

func (h *Host) send(peer string, in node.Input) {
	h.world.deliver(h.opts.Peer, peer, func() {
		if other := h.world.hosts[peer]; other != nil {
			other.Post(in)
		}
	})
}

// fetch gets a part of a peer's state; the request and the answer each cross the network.
func (h *Host) fetch(peer string, answer func(*node.Snapshot) node.Input) {
	post := h.Poster()
	h.world.deliver(h.opts.Peer, peer, func() {
		other := h.world.hosts[peer]
		if other == nil || other.node == nil || other.paused {
			return
		}
		in := answer(other.node.Snapshot())
		h.world.deliver(peer, h.opts.Peer, func() { post(in) })
	})
}
