package httplog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLinesAreBoundedAndCounted guards against clients that fill the log by connections that are refused, and against lines that are
// missing without a sign.
func TestLinesAreBoundedAndCounted(t *testing.T) {
	var l lineLimit
	now := time.Unix(1, 0)
	logged := 0
	for range 1000 {
		allowed, leftOut := l.take(now)
		assert.Equal(t, leftOut, 0)
		if allowed {
			logged++
		}
	}
	assert.Equal(t, logged, linesPerInterval)
	allowed, leftOut := l.take(now.Add(lineInterval))
	assert.Assert(t, allowed)
	assert.Equal(t, leftOut, 1000-linesPerInterval)
	_, leftOut = l.take(now.Add(lineInterval))
	assert.Equal(t, leftOut, 0)
}
