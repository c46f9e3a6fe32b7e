package control_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carobshunt/api"
	"carobshunt/internal/control"
	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/overload"

	"gotest.tools/v3/assert"
)

type testClock struct{ start time.Time }

func (c testClock) Now() time.Duration { return time.Since(c.start) }

type discard struct{}

func (discard) Execute(node.Action)  {}
func (discard) Lagged(time.Duration) {}

// Inputs that are processed together must not mix up who asked: each sender gets the decision on its own request.
func TestSendersOfABatchGetTheirOwnDecisions(t *testing.T) {
	self := core.Home{Address: "10.0.0.1:1", Incarnation: "i"}
	loop := control.NewLoop(node.New(node.Options{Self: self, Peer: "10.0.0.1:2", Records: 10}), testClock{time.Now()})
	const senders = 600
	decisions := make([]node.Decision, senders)
	var waiting sync.WaitGroup
	for i := range senders {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			home := core.Home{Address: fmt.Sprintf("10.0.0.9:%d", i+1), Incarnation: "j"}
			key := core.Key{Team: "press", ID: fmt.Sprint(i)}
			d, err := loop.Ask(t.Context(), node.Submit{Request: core.Request{Key: key, Attempt: 1, Home: home}})
			assert.Check(t, err)
			decisions[i] = d
		}()
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go loop.Run(ctx, discard{})
	waiting.Wait()
	for i, d := range decisions {
		assert.Equal(t, d.Kind, node.Forward)
		assert.Equal(t, d.Home.Address, fmt.Sprintf("10.0.0.9:%d", i+1))
	}
	d, err := loop.Ask(t.Context(), node.Submit{Request: core.Request{Key: core.Key{Team: "press", ID: "own"}, Attempt: 1, Home: self}})
	assert.NilError(t, err)
	assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun, "the host is not ready")
}

// manualClock is a clock that tests set.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() time.Duration { return time.Duration(c.now.Load()) }

// recorder records what the loop tells its executor.
type recorder struct {
	clock   *manualClock
	lags    []time.Duration
	changes []string
}

// Lagged implements control.Executor. Each step takes a while.
func (r *recorder) Lagged(lag time.Duration) {
	r.lags = append(r.lags, lag)
	r.clock.now.Add(int64(overload.CloseAfter))
}

func (r *recorder) Execute(a node.Action) {
	if c, ok := a.(node.StateChange); ok && c.Event == node.EventOverload {
		r.changes = append(r.changes, c.Text)
	}
}

// The lag must count from when an input was sent, not from when it was read: otherwise a loop that is seconds behind looks idle. The
// node must learn of it, and that it has ended.
func TestLagCountsFromTheSending(t *testing.T) {
	clock := &manualClock{}
	loop := control.NewLoop(node.New(node.Options{Peer: "10.0.0.1:2", Records: 10}), clock)
	const batches = 3
	for range batches * 256 {
		loop.Post(node.CallerLeft{})
	}
	clock.now.Store(int64(time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	r := &recorder{clock: clock}
	ended := make(chan struct{})
	go func() {
		loop.Run(ctx, r)
		close(ended)
	}()
	for range 2 {
		_, err := loop.Ask(t.Context(), node.Query{Request: core.Request{Idempotent: true}})
		assert.NilError(t, err)
	}
	cancel()
	<-ended
	assert.Equal(t, r.lags[0], time.Second)
	assert.Equal(t, len(r.changes), 2, r.changes)
}

// TestHeartbeatsAreShownWithTheNextTick guards against a copy of the state, which grows with the fleet, for each heartbeat of each
// peer.
func TestHeartbeatsAreShownWithTheNextTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := node.New(node.Options{Self: core.Home{Address: "10.0.0.1:1", Incarnation: "i"}, Peer: "10.0.0.1:2", Zone: "a", Records: 10, Seed: 1})
		loop := control.NewLoop(n, testClock{time.Now()})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go loop.Run(ctx, discard{})
		time.Sleep(node.TickInterval + time.Millisecond)
		before := loop.Snapshot()
		loop.Post(node.HeartbeatReceived{Heartbeat: member.Heartbeat{Peer: "10.0.0.2:2", Address: "10.0.0.2:1", Incarnation: "j", Zone: "a"}})
		synctest.Wait()
		assert.Assert(t, loop.Snapshot() == before)
		time.Sleep(node.TickInterval)
		synctest.Wait()
		assert.Equal(t, len(loop.Snapshot().Status.Peers), 1)
		loop.Post(node.Drain{})
		synctest.Wait()
		assert.Assert(t, loop.Snapshot().Draining, "what must show at once")
	})
}

// stopReader is an executor that reads when the process will be killed while the process is being stopped.
type stopReader struct {
	loop   *control.Loop
	killAt chan core.Time
}

// Lagged implements control.Executor. A tick is due afterwards, and belongs to the same step.
func (stopReader) Lagged(time.Duration) { time.Sleep(node.TickInterval) }

// Execute implements control.Executor.
func (r stopReader) Execute(a node.Action) {
	if _, stops := a.(node.Stop); stops {
		r.killAt <- r.loop.Snapshot().KillAt
	}
}

// TestStopShowsWhenTheProcessIsKilled guards against connections that are waited for beyond the kill, since a host stops in the step in
// which it learns that the kill is due.
func TestStopShowsWhenTheProcessIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &manualClock{}
		loop := control.NewLoop(node.New(node.Options{Peer: "10.0.0.1:2", Records: 10}), clock)
		clock.now.Store(int64(10 * time.Second))
		loop.Post(node.Terminate{NotBefore: time.Second, Noticed: loop.Now(), Grace: time.Second})
		r := stopReader{loop: loop, killAt: make(chan core.Time, 1)}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go loop.Run(ctx, r)
		assert.Equal(t, <-r.killAt, 2*time.Second)
	})
}
