// Package virtual simulates entry hosts in virtual time: it runs several Nodes of the core against a fake network and
// fake targets. The same seed and the same script give the same run. The core's fuzz tests and the replay of traces
// are built on it.
package virtual

import (
	"container/heap"
	"time"

	"carobshunt/internal/core/node"
)

// Time is an instant of the world: the time since the world's start.
type Time = time.Duration

// Target is a fake target.
type Target interface {
	// Start accepts a dispatch from a host. The target schedules its events on the world and reports them to the host
	// as inputs.
	Start(w *World, from *Host, dispatch node.StartDispatch)
	// Abort ends a dispatch of that host early. The host calls it on every target: an unknown dispatch is ignored.
	Abort(w *World, from *Host, abort node.AbortDispatch)
}

// HealthTarget is a Target whose health hosts can check.
type HealthTarget interface {
	// Check answers a check of a host, or never.
	Check(w *World, from *Host, check node.CheckTarget)
}

// Network decides when messages arrive and which are lost.
type Network interface {
	// Delay returns the latency of a message sent now from one address to another; false means that it is lost.
	Delay(now Time, from, to string) (time.Duration, bool)
}

// World owns the virtual clock, the scheduled events and the hosts. It is not safe for concurrent use.
type World struct {
	// Network decides on messages between hosts, and on the calls and answers between a host and a target that concern
	// the target's memory or orders: see MemoryTarget and OrderTarget. Dispatches don't use it: a target simulates their
	// latency itself.
	Network Network
	// Targets are the fake targets by address.
	Targets map[string]Target

	now    Time
	events eventHeap
	// serial numbers the events; it orders events of the same instant.
	serial uint64
	// hosts holds the hosts by peer address, order holds them in the order in which they were added.
	hosts map[string]*Host
	order []*Host
	// byLoads maps addresses for load digests to peer addresses.
	byLoads map[string]string
}

// New returns an empty world at time zero.
func New(network Network) *World {
	return &World{Network: network, Targets: make(map[string]Target), hosts: make(map[string]*Host), byLoads: make(map[string]string)}
}

// Now returns the current instant.
func (w *World) Now() Time { return w.now }

// Hosts returns the hosts in the order in which they were added.
func (w *World) Hosts() []*Host { return w.order }

// HostAt returns the host with the given peer address, or nil.
func (w *World) HostAt(peer string) *Host { return w.hosts[peer] }

// At schedules f. An instant in the past means now. Events of the same instant run in the order of scheduling.
func (w *World) At(at Time, f func()) {
	w.serial++
	heap.Push(&w.events, event{at: max(at, w.now), serial: w.serial, run: f})
}

// After schedules f to run after d.
func (w *World) After(d time.Duration, f func()) { w.At(w.now+d, f) }

// Run runs all events up to and including the instant until, and leaves the clock there. If until has passed, the clock
// stays where it is. Run must not be called from an event.
func (w *World) Run(until Time) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = max(w.now, until)
}

// deliver runs f at the receiver after the message's network latency, or never if the message is lost.
func (w *World) deliver(from, to string, f func()) {
	if delay, ok := w.Network.Delay(w.now, from, to); ok {
		w.After(delay, f)
	}
}

// event is a function scheduled for an instant.
type event struct {
	at     Time
	serial uint64
	run    func()
}

// eventHeap is a heap of events, the earliest first; it implements heap.Interface.
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
