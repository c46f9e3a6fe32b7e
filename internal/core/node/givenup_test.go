package node_test

import (
	"testing"

	"carobshunt/api"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// TestAnswerGivenUpForWantOfMemoryShowsNothingOfItsTarget guards against a target that gets no work since its host had no memory for
// its answer, and against a request that counts as not run although the target has run it.
func TestAnswerGivenUpForWantOfMemoryShowsNothingOfItsTarget(t *testing.T) {
	for _, givenUp := range []bool{true, false} {
		e := newRoutedHost(t)
		before := len(e.eligible())
		d := e.send("/send/1")
		e.step(node.DispatchEnded{Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: node.EndedLost, GivenUp: givenUp})
		assert.Equal(t, e.mustFinish().Outcome, api.OutcomeUnknown)
		e.step(node.Tick{})
		assert.Equal(t, len(e.eligible()) == before, givenUp)
	}
}
