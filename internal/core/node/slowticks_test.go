package node_test

import (
	"testing"
	"time"

	"carobshunt/internal/core/node"
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
