// Package control runs the single goroutine that owns the control state. It passes inputs to the Node, executes the
// resulting actions through an Executor, and publishes snapshots for all other goroutines to read.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/overload"
)

// Executor executes all actions except node.Decide, and is told the lag of each step. It is called on the control goroutine and must
// not block.
type Executor interface {
	Execute(node.Action)
	// Lagged is called with the age of the oldest input that a step has processed.
	Lagged(time.Duration)
}

// Loop owns a Node. Its exported methods, except Run, are safe for concurrent use.
type Loop struct {
	node       *node.Node
	executor   Executor
	inputs     chan envelope
	clock      Clock
	snapshot   atomic.Pointer[node.Snapshot]
	pending    map[node.Ticket]chan<- node.Decision
	lastTicket node.Ticket
	done       chan struct{}
	// lagged is set if the last step had a lag that the node was told of.
	lagged bool
}

// envelope is an input with the time at which it was sent and, if the sender waits for a decision, the channel that takes it.
type envelope struct {
	input node.Input
	reply chan<- node.Decision
	sent  core.Time
}

// inputBacklog is the number of inputs that may be queued for the control goroutine before senders block.
const inputBacklog = 4096

// Clock returns the time since the process started.
type Clock interface{ Now() time.Duration }

// NewLoop returns a loop for a Node, whose time is read from the clock.
func NewLoop(n *node.Node, clock Clock) *Loop {
	l := &Loop{
		node:    n,
		inputs:  make(chan envelope, inputBacklog),
		clock:   clock,
		pending: make(map[node.Ticket]chan<- node.Decision),
		done:    make(chan struct{}),
	}
	l.snapshot.Store(n.Snapshot())
	return l
}

// Now returns the time on the host's clock.
func (l *Loop) Now() core.Time { return l.clock.Now() }

// Snapshot returns the last published state, which must not be modified.
func (l *Loop) Snapshot() *node.Snapshot { return l.snapshot.Load() }

// Post queues an input without waiting for its effect. It blocks while inputBacklog inputs are queued. After the loop has
// ended it does nothing.
func (l *Loop) Post(in node.Input) {
	sent := l.Now()
	select {
	case l.inputs <- envelope{input: in, sent: sent}:
	case <-l.done:
	}
}

// Ask queues a Submit, Cancel or Query and waits for the decision. It returns ErrStopped when the loop has ended, or the
// error of the context; the input may take effect nevertheless.
func (l *Loop) Ask(ctx context.Context, in node.Input) (node.Decision, error) {
	reply := make(chan node.Decision, 1)
	sent := l.Now()
	select {
	case l.inputs <- envelope{input: in, reply: reply, sent: sent}:
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

// Run passes queued inputs and regular ticks to the Node until the context ends. It must be called only once.
func (l *Loop) Run(ctx context.Context, executor Executor) {
	l.executor = executor
	defer close(l.done)
	ticker := time.NewTicker(node.TickInterval)
	defer ticker.Stop()
	for {
		var next batch
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			next.oldest = l.Now()
			next.add(node.Tick{})
		case e := <-l.inputs:
			next.oldest = e.sent
			l.reportLag(&next)
			next.add(l.withTicket(e))
		}
		l.fill(&next, ticker.C)
		l.step(&next)
	}
}

// batch is the inputs of one step of the Node. publishes is set if readers should see their effect before the next tick.
type batch struct {
	inputs    []node.Input
	publishes bool
	// oldest is when the first of the inputs was sent.
	oldest core.Time
}

func (b *batch) add(in node.Input) {
	b.inputs = append(b.inputs, in)
	b.publishes = b.publishes || changesSnapshot(in)
}

// reportLag tells the node and the executor how long the inputs of a step have waited. The node is not told of less than it acts on.
func (l *Loop) reportLag(b *batch) {
	lag := l.Now() - b.oldest
	l.executor.Lagged(lag)
	if lag >= overload.CloseLag || l.lagged {
		b.add(node.StepLagged{Lag: lag})
	}
	l.lagged = lag > overload.OpenLag
}

// maxBatch is the number of inputs that the Node processes before it places requests: enough for the inputs that arrive
// during a placement pass, and few enough for the pass not to come late.
const maxBatch = 256

// fill adds the inputs that are queued already, and a tick if one is due, without waiting for any.
func (l *Loop) fill(b *batch, ticks <-chan time.Time) {
	for len(b.inputs) < maxBatch {
		select {
		case e := <-l.inputs:
			b.add(l.withTicket(e))
			continue
		default:
		}
		break
	}
	select {
	case <-ticks:
		b.add(node.Tick{})
	default:
	}
}

func (l *Loop) publish() { l.snapshot.Store(l.node.Snapshot()) }

// changesSnapshot reports whether readers should see the effect of an input before the next tick, or the input is a tick. What a
// heartbeat says may wait for the tick: a host gets one from each peer, so publishing after each would cost, in a large fleet, a
// quarter of what control costs.
func changesSnapshot(in node.Input) bool {
	switch in.(type) {
	case node.Tick, node.DocumentReceived, node.DocumentChecked, node.HostsReceived, node.Drain, node.Terminate:
		return true
	}
	return false
}

// step passes inputs to the Node and executes the actions that result.
func (l *Loop) step(b *batch) {
	for _, action := range l.node.StepAll(l.Now(), b.inputs...) {
		if decide, ok := action.(node.Decide); ok {
			l.deliver(decide)
			continue
		}
		if _, stops := action.(node.Stop); stops {
			l.publish() // whoever closes connections reads when the process will be killed
		}
		l.executor.Execute(action)
	}
	if b.publishes {
		l.publish()
	}
}

// withTicket returns the input of an envelope. If the sender waits for a decision, the input gets a ticket, by which
// deliver finds the sender's channel.
func (l *Loop) withTicket(e envelope) node.Input {
	if e.reply == nil {
		return e.input
	}
	l.lastTicket++
	l.pending[l.lastTicket] = e.reply
	switch in := e.input.(type) {
	case node.Submit:
		in.Ticket = l.lastTicket
		return in
	case node.Cancel:
		in.Ticket = l.lastTicket
		return in
	case node.Query:
		in.Ticket = l.lastTicket
		return in
	}
	return e.input
}

// deliver sends a decision to whoever asked for it.
func (l *Loop) deliver(d node.Decide) {
	reply := l.pending[d.Ticket]
	if reply == nil {
		return
	}
	delete(l.pending, d.Ticket)
	reply <- d.Decision
}
