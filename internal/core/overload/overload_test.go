package overload_test

import (
	"testing"
	"time"

	"carobshunt/internal/core/overload"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// A gate without hysteresis would open and close with each step around the bound; one that stays closed would refuse requests that the
// host could serve; one that closes at once would refuse requests after each pause of the process.
func TestGateClosesByLagAndOpensBelow(t *testing.T) {
	var g overload.Gate
	assert.Assert(t, !g.Closed())
	steps := []struct {
		at, lag         time.Duration
		changed, closed bool
	}{
		{0, 0, false, false},
		{1 * ms, overload.CloseLag, false, false},
		{1*ms + overload.CloseAfter - 1, overload.CloseLag, false, false},
		{1*ms + overload.CloseAfter, overload.CloseLag - 1, false, false},
		{50 * ms, overload.CloseLag, false, false},
		{50*ms + overload.CloseAfter, overload.CloseLag, true, true},
		{80 * ms, 2 * overload.CloseLag, false, true},
		{90 * ms, overload.CloseLag - 1, false, true},
		{100 * ms, overload.OpenLag + 1, false, true},
		{110 * ms, overload.OpenLag, true, false},
		{120 * ms, overload.CloseLag, false, false},
	}
	for _, s := range steps {
		assert.Equal(t, g.Observe(s.at, s.lag), s.changed, s.at)
		assert.Equal(t, g.Closed(), s.closed, s.at)
	}
	assert.Equal(t, g.Worst(), overload.CloseLag, "since it last began to lag")
}
