package bodyrate

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOnlySlowBodiesGiveWay guards against bodies that come as fast as they should, or have just begun, and are given up.
func TestOnlySlowBodiesGiveWay(t *testing.T) {
	begin := time.Now()
	tracker := &Tracker{}
	stopped := 0
	for id, received := range map[string]int{"slow": 2 * minRate, "slowest": minRate, "fast": 4 * minRate, "ended": 0} {
		b := tracker.beginAt(id, func() { stopped++ }, begin)
		_, err := io.Copy(io.Discard, b.Reader(strings.NewReader(strings.Repeat("x", received))))
		assert.NilError(t, err)
		assert.Equal(t, b.Received(), int64(received))
		if id == "ended" {
			b.End()
		}
	}
	taken := func(age time.Duration) string {
		b := tracker.giveUpSlowest(begin.Add(age))
		if b == nil {
			return ""
		}
		assert.Assert(t, b.GaveWay())
		return b.ID
	}
	assert.Equal(t, taken(minAge), "", "none is old enough")
	assert.Equal(t, taken(3*time.Second), "slowest")
	assert.Equal(t, taken(3*time.Second), "slow")
	assert.Equal(t, taken(3*time.Second), "", "the other one is fast")
	assert.Equal(t, stopped, 2)
}
