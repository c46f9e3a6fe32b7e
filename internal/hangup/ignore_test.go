package hangup

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestHangupIsIgnoredBeforeItIsReceived guards against a process that ends when its settings change just after its start: the runtime
// handles signals from its own start on, and ends the process while nobody receives this one.
func TestHangupIsIgnoredBeforeItIsReceived(t *testing.T) { assert.Assert(t, ignoredBefore) }
