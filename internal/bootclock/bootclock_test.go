package bootclock_test

import (
	"testing"
	"time"

	"carobshunt/internal/bootclock"

	"gotest.tools/v3/assert"
)

func TestClockStartsAtZeroAndRises(t *testing.T) {
	c := bootclock.Start()
	first := c.Now()
	assert.Assert(t, first >= 0 && first < time.Minute)
	for c.Now() == first {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, c.Now() > first)
}
