package daemon

import (
	"testing"
	"time"

	"carobshunt/internal/settings"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestOpenConnectionsAreCutBeforeTheKill guards against a process that is killed while it waits for callers that read slowly, with
// its last log lines unwritten.
func TestOpenConnectionsAreCutBeforeTheKill(t *testing.T) {
	s := settings.Example()
	d := New(s, hclog.NewNullLogger())
	assert.Equal(t, d.closeTime(), shutdownTimeout, "nobody kills it")
	d.stopGrace.Store(int64(time.Second))
	d.drain()
	assert.Assert(t, d.closeTime() <= time.Second-exitTime)
	d.killAt.Store(int64(d.loop.Now()))
	assert.Equal(t, d.closeTime(), time.Duration(0))
	d.killAt.Store(int64(d.loop.Now() + time.Hour))
	assert.Equal(t, d.closeTime(), shutdownTimeout)
}
