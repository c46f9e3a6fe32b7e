package node_test

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// Long prompts that arrive all at once: hosts that place them at the same instant do not know of each other's placements.

// submitLong submits a long prompt with its body and reports whether it was dispatched.
func (e *routedHost) submitLong() bool {
	e.t.Helper()
	req := e.request("/ask/1")
	req.PromptTokens = 120_000
	assert.Equal(e.t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	return e.dispatchCount() > 0
}

// dispatchCount returns the number of dispatches that the last step started.
func (e *routedHost) dispatchCount() int {
	count := 0
	for _, a := range e.actions {
		if _, ok := a.(node.StartDispatch); ok {
			count++
		}
	}
	return count
}

func TestHostThatHasJustBecomeReadyPlacesShortPromptsFirst(t *testing.T) {
	e := readyRoutedHost(t)
	assert.Assert(t, !e.submitLong(), "it does not know the loads of its peers yet")
	e.send("/ask/1")
	e.after(200 * time.Millisecond).step(node.Tick{})
	assert.Equal(t, e.dispatchCount(), 1)
}

func TestLongPromptsArePlacedOneAfterTheOther(t *testing.T) {
	e := newRoutedHost(t)
	assert.Assert(t, e.submitLong())
	assert.Assert(t, !e.submitLong(), "its peers do not know of the first one yet")
	e.after(5 * time.Millisecond).step(node.Tick{})
	assert.Equal(t, e.dispatchCount(), 0)
	e.after(5 * time.Millisecond).step(node.Tick{})
	assert.Equal(t, e.dispatchCount(), 1)
}
