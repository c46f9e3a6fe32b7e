package node_test

import (
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// suspend lets time pass in which the process does not run.
func (e *routedHost) suspend(d time.Duration) { e.now += d }

// terminate lets the host notice SIGTERM after some ticks, as signals take several hops through a busy process.
func (e *routedHost) terminate(ticks int) {
	for range ticks {
		e.after(node.TickInterval).step(node.Tick{})
	}
	e.step(node.Drain{KillAt: e.now + stopGrace})
}

// TestSuspendedHostCountsItsStopFromBeforeTheSuspension guards against a host that takes requests that were sent more than LookupTTL
// after SIGTERM, since it was suspended, or had no processor time, when the signal came.
func TestSuspendedHostCountsItsStopFromBeforeTheSuspension(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration
		ticks     int
		admits    bool
	}{
		"runs":                            {admits: true},
		"suspended for a moment":          {suspended: time.Second, admits: true},
		"suspended":                       {suspended: 3 * time.Second},
		"notices after two ticks":         {suspended: 3 * time.Second, ticks: 2},
		"notices late":                    {ticks: 4, admits: true},
		"suspended until after its grace": {suspended: stopGrace + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			e := newStoppableHost(t)
			e.serve("/send/1", 100*time.Millisecond)
			e.run(2 * time.Second)
			e.suspend(c.suspended)
			e.terminate(c.ticks)
			decision := e.submit(e.longRequest("/send/1"))
			assert.Equal(t, decision.Kind == node.Admit, c.admits, decision.Result.Message)
			if !c.admits {
				assert.Equal(t, decision.Result.Code, api.CodeDraining)
				assert.Equal(t, decision.Result.Outcome, api.OutcomeNotRun)
			}
		})
	}
}

// TestSuspendedHostGivesItsLastAnswersBeforeTheKill guards against requests that get no answer since their host counts its grace time
// from when it noticed the signal.
func TestSuspendedHostGivesItsLastAnswersBeforeTheKill(t *testing.T) {
	for name, ticks := range map[string]int{"notices at once": 0, "notices after two ticks": 2} {
		t.Run(name, func(t *testing.T) {
			e := newStoppableHost(t)
			d := e.sendLong("/send/1")
			e.run(2 * time.Second)
			signaled := e.now
			e.suspend(4 * time.Second)
			e.terminate(ticks)
			assert.Equal(t, e.awaitLastAnswer(d, signaled+stopGrace).Outcome, api.OutcomeUnknown)
			e.awaitStop(signaled + stopGrace)
		})
	}
}

// TestLastAnswersAreGivenAtOnceWhenTheKillIsDue guards against a host that waits for a tick, or for longer, though it may be killed at
// any moment.
func TestLastAnswersAreGivenAtOnceWhenTheKillIsDue(t *testing.T) {
	e := newStoppableHost(t)
	once, repeatable := e.sendLong("/send/1"), e.sendLong("/read/1")
	e.run(2 * time.Second)
	e.suspend(stopGrace)
	e.terminate(0)
	assert.Assert(t, e.aborted(once) && e.aborted(repeatable))
	assert.Equal(t, e.mustFinish().Code, api.CodeDraining)
	e.end(once, node.EndedLost)
	assert.Equal(t, e.mustFinish().Outcome, api.OutcomeUnknown)
	e.awaitStop(e.now + 3*node.TickInterval)
}

// awaitLastAnswer runs ticks until a request has ended, whose dispatch is lost once it is aborted; it must end before a time.
func (e *routedHost) awaitLastAnswer(d node.StartDispatch, before core.Time) core.Result {
	e.t.Helper()
	for e.now+node.TickInterval < before {
		e.after(node.TickInterval).step(node.Tick{})
		if e.aborted(d) {
			e.end(d, node.EndedLost)
			return e.mustFinish()
		}
	}
	e.t.Fatal("no answer before the kill")
	return core.Result{}
}
