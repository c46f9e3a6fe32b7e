package node_test

import (
	"testing"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/overload"

	"gotest.tools/v3/assert"
)

// A request must not be sent on if its caller's departure is queued behind its body: under a burst, departures that waited
// behind placements reached the control state seconds late.
func TestQueuedDepartureComesBeforePlacements(t *testing.T) {
	e := newRoutedHost(t)
	var kept, left core.Key
	for _, key := range []*core.Key{&kept, &left} {
		req := e.request("/ask/1")
		assert.Equal(t, e.submit(req).Kind, node.Admit)
		*key = core.Key{Team: "press", ID: req.ID}
	}
	actions := e.node.StepAll(
		e.now, node.BodyEnded{Key: left, Attempt: 1}, node.BodyEnded{Key: kept, Attempt: 1}, node.CallerLeft{Key: left},
	)
	var sent []core.Key
	for _, a := range actions {
		if d, ok := a.(node.StartDispatch); ok {
			sent = append(sent, d.Key)
		}
	}
	assert.DeepEqual(t, sent, []core.Key{kept})
}

// Inputs that are processed together must have the effects that they have one by one.
func TestInputsOfABatchTakeEffectInOrder(t *testing.T) {
	e := newRoutedHost(t)
	req := e.request("/ask/1")
	req.Team = "press"
	key := core.Key{Team: "press", ID: req.ID}
	actions := e.node.StepAll(
		e.now, node.Submit{Ticket: 7, Request: req}, node.CallerLeft{Key: key}, node.Tick{}, node.BodyEnded{Key: key, Attempt: 1},
	)
	var decided []node.DecisionKind
	finished := 0
	for _, a := range actions {
		switch a := a.(type) {
		case node.Decide:
			decided = append(decided, a.Decision.Kind)
		case node.Finish:
			finished++
		case node.StartDispatch:
			t.Error("dispatched a request whose caller has left")
		}
	}
	assert.DeepEqual(t, decided, []node.DecisionKind{node.Admit})
	assert.Equal(t, finished, 1)
}

// While the control goroutine lags, new requests must be refused as not run and with a time to return, before those that were admitted
// miss their promises. What is known of an admitted one is still answered.
func TestLagClosesAdmission(t *testing.T) {
	e := newRoutedHost(t)
	admitted := e.send("/ask/1")
	e.step(node.StepLagged{Lag: overload.CloseLag})
	e.after(overload.CloseAfter).step(node.StepLagged{Lag: overload.CloseLag})
	d := e.submit(e.request("/ask/1"))
	assert.Equal(t, d.Kind, node.Refuse)
	assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun)
	assert.Equal(t, d.Result.Code, api.CodeOverloaded)
	assert.Assert(t, d.Result.RetryAfter > 0)
	e.end(admitted, node.EndedDone)
	result, finished := e.finished()
	assert.Assert(t, finished)
	assert.Equal(t, result.Outcome, api.OutcomeDone)
	e.step(node.StepLagged{Lag: overload.OpenLag})
	assert.Equal(t, e.submit(e.request("/ask/1")).Kind, node.Admit)
}
