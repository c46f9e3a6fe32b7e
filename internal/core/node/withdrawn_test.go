package node_test

import (
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// withOneEngine returns a host that may send streams to one engine only.
func withOneEngine(t *testing.T) *routedHost {
	t.Helper()
	e := newStoppableHost(t)
	e.list(targetList(2, "e1", "s1"))
	return e
}

// TestSilenceOfTheOnlyEngineEndsNoBegunStream guards against begun streams that are taken from an engine that is silent for a moment
// although no other engine can go on with them: the engine still runs them.
func TestSilenceOfTheOnlyEngineEndsNoBegunStream(t *testing.T) {
	for name, stops := range map[string]bool{"in a stop": true, "without one": false} {
		t.Run(name, func(t *testing.T) {
			e := withOneEngine(t)
			first := e.beginStream()
			e.beginStream()
			if stops {
				e.stop()
			}
			assert.Equal(t, e.dispatchesUntil(e.now+2500*time.Millisecond), 0)
			e.end(first, node.EndedDone)
			assert.Equal(t, e.mustFinish().Outcome, api.OutcomeDone)
		})
	}
}

// TestLateFirstEventOfAWithdrawnStreamKeepsItWaiting guards against a stream that is refused for want of room although its caller has its
// first event: the event was on its way when the host took the stream from its engine.
func TestLateFirstEventOfAWithdrawnStreamKeepsItWaiting(t *testing.T) {
	e := withOneEngine(t)
	first, second := e.sendLong("/ask/1"), e.sendLong("/ask/1")
	for e.node.Snapshot().Status.Requests.Running > 0 {
		e.after(node.TickInterval).step(node.Tick{})
		assert.Assert(t, e.now < 20*time.Second, "the engine is not taken for unresponsive")
	}
	for _, d := range []node.StartDispatch{first, second} {
		e.step(node.DispatchFirstToken{Key: d.Key, Dispatch: d.Dispatch})
	}
	e.dispatchesUntil(e.now + time.Second)
}
