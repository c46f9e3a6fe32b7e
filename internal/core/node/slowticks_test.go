package node_test

import (
	"testing"
	"time"

	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// TestSlowTicksDoNotCutBegunStreamsBeforeTheLastSixthOfTheGraceTime guards against begun streams that are broken off too soon, as a host
// that is short of processor time takes its signal to be much older than it is.
func TestSlowTicksDoNotCutBegunStreamsBeforeTheLastSixthOfTheGraceTime(t *testing.T) {
	const slowTick = 250 * time.Millisecond // less than a suspension
	e := withOneEngine(t)
	e.beginStream()
	for range 4 {
		e.after(slowTick).step(node.Tick{})
	}
	signaled := e.now
	e.terminate(0)
	e.dispatchesUntil(signaled + stopGrace*5/6)
}

// TestShortPauseOfAHostIsNoSilenceOfTargets guards against requests that are taken from sound targets right after their host had no
// processor time for less than a suspension: what the targets sent meanwhile has not been read yet.
func TestShortPauseOfAHostIsNoSilenceOfTargets(t *testing.T) {
	e := withOneEngine(t)
	e.sendLong("/read/1")
	e.sendLong("/read/1")
	e.after(900 * time.Millisecond).step(node.Tick{})
	assert.Equal(t, e.node.Snapshot().Status.Requests.Running, 2)
}
