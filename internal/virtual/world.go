// Package virtual runs several Nodes in virtual time, with the network, the targets and the platform replaced by
// small fakes at their interfaces. The same seed and the same script give the same run. It carries the fuzz tests
// of the core and the replay of traces against the model engine.
package virtual

import (
	"container/heap"
	"time"

	"carobshunt/internal/core/node"
)

// Time is an instant of the world: the time since it began.
type Time = time.Duration

// Target is a fake target.
type Target interface {
	// Start takes a dispatch. The target reports its events with Host.Post, at the world's times it chooses.
	Start(w *World, from *Host, order node.StartDispatch)
	// Abort ends a dispatch early.
	Abort(w *World, from *Host, abort node.AbortDispatch)
}

// Network tells what becomes of a message.
type Network interface {
	// Delay returns how long a message takes from one address to another, or false when it is lost.
	Delay(now Time, from, to string) (time.Duration, bool)
}

// World owns the clock and everything in it. It is not safe for concurrent use.
type World struct {
	// Network carries messages between hosts, and from the platform to hosts.
	Network Network
	// Targets are the fake targets by address.
	Targets map[string]Target

	now    Time
	events eventHeap
	serial uint64
	hosts  map[string]*Host
	order  []*Host
}

// New returns an empty world at time zero.
func New(network Network) *World {
	return &World{Network: network, Targets: make(map[string]Target), hosts: make(map[string]*Host)}
}

// Now is the present instant.
func (w *World) Now() Time { return w.now }

// Hosts returns the hosts in the order in which they were added.
func (w *World) Hosts() []*Host { return w.order }

// HostAt returns the host with that peer address, or nil.
func (w *World) HostAt(peer string) *Host { return w.hosts[peer] }

// At schedules f. An instant that has passed means now.
func (w *World) At(at Time, f func()) {
	w.serial++
	heap.Push(&w.events, event{at: max(at, w.now), serial: w.serial, run: f})
}

// After schedules f after a while.
func (w *World) After(d time.Duration, f func()) { w.At(w.now+d, f) }

// Run carries out all events up to and including an instant, and leaves the clock there.
func (w *World) Run(until Time) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = max(w.now, until)
}

// deliver passes a message on as the network has it.
func (w *World) deliver(from, to string, f func()) {
	if delay, ok := w.Network.Delay(w.now, from, to); ok {
		w.After(delay, f)
	}
}

type event struct {
	at     Time
	serial uint64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
