// Package control runs the one goroutine that owns the control state. It feeds inputs to the Node, carries out the
// actions through an Executor, and publishes snapshots that all other goroutines read.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
)

// Executor carries out actions. It is called on the control goroutine and must not block.
type Executor interface {
	Execute(node.Action)
}

// Loop owns a Node.
type Loop struct {
	node     *node.Node
	executor Executor
	inputs   chan envelope
	clock    Clock
	snapshot atomic.Pointer[node.Snapshot]
	waiting  map[node.Ticket]chan<- node.Decision
	ticket   node.Ticket
	done     chan struct{}
}

type envelope struct {
	input node.Input
	reply chan<- node.Decision
}

// inputBacklog is how many inputs may wait for the control goroutine before senders block.
const inputBacklog = 4096

// Clock tells the time since the process started.
type Clock interface{ Now() time.Duration }

// NewLoop returns a loop for a Node that goes by the clock.
func NewLoop(n *node.Node, clock Clock) *Loop {
	l := &Loop{
		node:    n,
		inputs:  make(chan envelope, inputBacklog),
		clock:   clock,
		waiting: make(map[node.Ticket]chan<- node.Decision),
		done:    make(chan struct{}),
	}
	l.snapshot.Store(n.Snapshot())
	return l
}

// Now is the host's clock.
func (l *Loop) Now() core.Time { return l.clock.Now() }

// Snapshot is the last published state; it must not be changed.
func (l *Loop) Snapshot() *node.Snapshot { return l.snapshot.Load() }

// Post hands in an input without waiting for its effect. After the loop has ended it does nothing.
func (l *Loop) Post(in node.Input) {
	select {
	case l.inputs <- envelope{input: in}:
	case <-l.done:
	}
}

// Ask hands in a Submit, Cancel or Query and waits for the decision.
func (l *Loop) Ask(ctx context.Context, in node.Input) (node.Decision, error) {
	reply := make(chan node.Decision, 1)
	select {
	case l.inputs <- envelope{input: in, reply: reply}:
	case <-l.done:
		return node.Decision{}, ErrStopped
	case <-ctx.Done():
		return node.Decision{}, ctx.Err()
	}
	select {
	case d := <-reply:
		return d, nil
	case <-l.done:
		return node.Decision{}, ErrStopped
	case <-ctx.Done():
		return node.Decision{}, ctx.Err()
	}
}

// Run feeds the Node until the context ends.
func (l *Loop) Run(ctx context.Context, executor Executor) {
	l.executor = executor
	defer close(l.done)
	ticker := time.NewTicker(node.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.step(envelope{input: node.Tick{}})
			l.publish()
		case e := <-l.inputs:
			l.step(e)
			if changesSnapshot(e.input) {
				l.publish()
			}
		}
	}
}

func (l *Loop) publish() { l.snapshot.Store(l.node.Snapshot()) }

// changesSnapshot tells whether readers should see the effect of an input before the next tick.
func changesSnapshot(in node.Input) bool {
	switch in.(type) {
	case node.DocumentHeard, node.HostsHeard, node.Drain, node.HeartbeatHeard:
		return true
	}
	return false
}

func (l *Loop) step(e envelope) {
	for _, action := range l.node.Step(l.Now(), l.ticketed(e)) {
		if decide, ok := action.(node.Decide); ok {
			l.decide(decide)
			continue
		}
		l.executor.Execute(action)
	}
}

// ticketed gives the inputs that ask for a decision their ticket.
func (l *Loop) ticketed(e envelope) node.Input {
	if e.reply == nil {
		return e.input
	}
	l.ticket++
	l.waiting[l.ticket] = e.reply
	switch in := e.input.(type) {
	case node.Submit:
		in.Ticket = l.ticket
		return in
	case node.Cancel:
		in.Ticket = l.ticket
		return in
	case node.Query:
		in.Ticket = l.ticket
		return in
	}
	return e.input
}

func (l *Loop) decide(d node.Decide) {
	reply := l.waiting[d.Ticket]
	if reply == nil {
		return
	}
	delete(l.waiting, d.Ticket)
	reply <- d.Decision
}
