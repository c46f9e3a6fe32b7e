package node_test

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// Long prompts that come all at once: hosts that place them in the same instant don't know of each other's.

// long submits a long prompt with its body and tells whether it was dispatched.
func (e *edge) long() bool {
	e.t.Helper()
	req := e.request("/ask/1")
	req.PromptTokens = 120_000
	assert.Equal(e.t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	return e.starts() > 0
}

// starts is how many dispatches the last step began.
func (e *edge) starts() int {
	count := 0
	for _, a := range e.actions {
		if _, ok := a.(node.StartDispatch); ok {
			count++
		}
	}
	return count
}

func TestHostThatHasJustBecomeReadyPlacesShortPromptsFirst(t *testing.T) {
	e := readyEdge(t)
	assert.Assert(t, !e.long(), "it does not know yet what its peers have placed")
	e.send("/ask/1")
	e.after(200 * time.Millisecond).step(node.Tick{})
	assert.Equal(t, e.starts(), 1)
}

func TestLongPromptsArePlacedOneAfterTheOther(t *testing.T) {
	e := newEdge(t)
	assert.Assert(t, e.long())
	assert.Assert(t, !e.long(), "its peers don't know of the first yet")
	e.after(5 * time.Millisecond).step(node.Tick{})
	assert.Equal(t, e.starts(), 0)
	e.after(5 * time.Millisecond).step(node.Tick{})
	assert.Equal(t, e.starts(), 1)
}
