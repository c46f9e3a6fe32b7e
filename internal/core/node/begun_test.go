package node_test

import (
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// beginStream submits a request for a stream whose caller waits for 25 s, lets its first event arrive, and returns its dispatch.
func (e *routedHost) beginStream() node.StartDispatch {
	e.t.Helper()
	d := e.sendLong("/ask/1")
	e.step(node.DispatchFirstToken{Key: d.Key, Dispatch: d.Dispatch})
	return d
}

// dispatchesUntil runs ticks up to a time and counts the dispatches. No request may end until then.
func (e *routedHost) dispatchesUntil(until core.Time) (started int) {
	e.t.Helper()
	for e.now+node.TickInterval <= until {
		for _, a := range e.after(node.TickInterval).step(node.Tick{}) {
			if _, ok := a.(node.StartDispatch); ok {
				started++
			}
		}
		result, ended := e.finished()
		assert.Assert(e.t, !ended, "ended with %s: %s", result.Code, result.Message)
	}
	return started
}

// TestBegunStreamsOutliveTheSilenceOfTheirEngineInAStop guards against streams of a stopping host that are cut off together, long before
// the last answers are due, as two of them at one engine have had no event for a while: the engine still runs them, and others could go on.
func TestBegunStreamsOutliveTheSilenceOfTheirEngineInAStop(t *testing.T) {
	e := newStoppableHost(t)
	first, second := e.beginStream(), e.beginStream()
	assert.Equal(t, first.Target, second.Target, "the streams run at one engine")
	killAt := e.stop()
	assert.Equal(t, e.dispatchesUntil(killAt-time.Second), 2, "both are resumed at another engine")
}

// TestBegunStreamThatLosesItsEngineInAStopIsResumed guards against a stream of a stopping host that is cut off although another engine
// could go on in the time that is left.
func TestBegunStreamThatLosesItsEngineInAStopIsResumed(t *testing.T) {
	for _, ending := range []node.Ending{node.EndedLost, node.EndedFailed} {
		e := newStoppableHost(t)
		first := e.beginStream()
		e.stop()
		e.run(time.Second)
		e.end(first, ending)
		second := e.dispatched()
		assert.Equal(t, second.Key, first.Key)
		assert.Assert(t, second.Target != first.Target, "%v", ending)
		e.end(second, node.EndedDone)
		assert.Equal(t, e.mustFinish().Outcome, api.OutcomeDone)
	}
}

// TestBegunStreamWaitsForRoomToBeResumed guards against a stream that is cut off since no engine had room within the time for a first
// event: its caller has a part of it, and can't be refused any more. In a stop it waits until the last answers.
func TestBegunStreamWaitsForRoomToBeResumed(t *testing.T) {
	for name, stops := range map[string]bool{"in a stop": true, "without one": false} {
		t.Run(name, func(t *testing.T) {
			e := newStoppableHost(t)
			first := e.beginStream()
			var elsewhere node.StartDispatch
			for range 47 { // the other slots of three engines
				if d := e.beginStream(); d.Target != first.Target {
					elsewhere = d
				}
			}
			if stops {
				e.stop()
			}
			e.end(first, node.EndedLost)
			assert.Equal(t, e.dispatchesUntil(e.now+time.Second), 0, "no engine has room")
			e.end(elsewhere, node.EndedDone)
			assert.Equal(t, e.dispatched().Key, first.Key)
		})
	}
}

// TestSilenceOfATargetEndsNoRequestOfAStoppingHost guards against requests that a host takes from a silent target only to refuse them, as
// it stops: the target may still answer, and nobody else is to be asked.
func TestSilenceOfATargetEndsNoRequestOfAStoppingHost(t *testing.T) {
	for _, path := range []string{"/read/1", "/ask/1"} {
		e := newStoppableHost(t)
		e.list(targetList(2, "e1", "s1"))
		first := e.sendLong(path)
		e.sendLong(path)
		killAt := e.stop()
		assert.Equal(t, e.dispatchesUntil(killAt-time.Second), 0, path)
		e.end(first, node.EndedDone)
		assert.Equal(t, e.mustFinish().Outcome, api.OutcomeDone)
	}
}

// TestSuspensionIsNoSilenceOfTargets guards against requests that are taken from sound targets right after their host was suspended:
// what the targets sent meanwhile has not been read yet.
func TestSuspensionIsNoSilenceOfTargets(t *testing.T) {
	for _, path := range []string{"/read/1", "/ask/1"} {
		e := newStoppableHost(t)
		e.list(targetList(2, "e1", "s1"))
		e.sendLong(path)
		e.sendLong(path)
		e.suspend(5 * time.Second)
		e.run(400 * time.Millisecond)
		assert.Equal(t, e.node.Snapshot().Status.Requests.Running, 2, path)
	}
}
