package hangup_test

import (
	"syscall"
	"testing"

	"carobshunt/internal/hangup"

	"gotest.tools/v3/assert"
)

// TestHangupBeforeTheDaemonRunsIsKept guards against a process that ends when its settings change while it starts: the
// signal arrives before the daemon has read its settings for the first time.
func TestHangupBeforeTheDaemonRunsIsKept(t *testing.T) {
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	assert.Equal(t, <-hangup.Signals, syscall.SIGHUP)
}
