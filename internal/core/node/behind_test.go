package node_test

import (
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// TestHostThatIsBehindGivesNoFinalRefusal guards against callers that are turned away for good, although the newer configuration that their
// host does not have yet serves them.
func TestHostThatIsBehindGivesNoFinalRefusal(t *testing.T) {
	refusal := func(e *routedHost, path, key string) api.Code {
		req := e.request(path)
		req.Routed.KeyDigest = key
		d := e.submit(req)
		assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun)
		assert.Equal(t, d.Result.RetryAfter > 0, d.Result.Code == api.CodeRevisionBehind)
		return d.Result.Code
	}
	hears := func(revision uint64) *routedHost {
		e := newRoutedHost(t)
		hb := node.HeartbeatReceived{}
		hb.Heartbeat.Peer, hb.Heartbeat.Incarnation, hb.Heartbeat.Zone = "10.0.0.2:2", "j", "a"
		hb.Heartbeat.ClockMs, hb.Heartbeat.Revision = e.now.Milliseconds(), revision
		e.step(hb)
		return e
	}
	e := hears(1)
	assert.Equal(t, refusal(e, "/none/1", routedKey), api.CodeUnknownRoute)
	e = hears(9)
	assert.Equal(t, refusal(e, "/none/1", routedKey), api.CodeRevisionBehind)
	assert.Equal(t, refusal(e, "/read/1", "other"), api.CodeRevisionBehind)
	e.publish(9)
	assert.Equal(t, refusal(e, "/none/1", routedKey), api.CodeUnknownRoute)
	assert.Equal(t, refusal(e, "/read/1", "other"), api.CodeUnknownKey)

	e = hears(9)
	e.run(10 * time.Second)
	assert.Equal(t, refusal(e, "/none/1", routedKey), api.CodeUnknownRoute, "a version that can't be had")
}
