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
	e.step(node.Terminate{NotBefore: e.node.Snapshot().SignalNotBefore, Noticed: e.now, Grace: stopGrace})
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

// TestTicksThatComeAtOnceCountAsOne guards against a host that takes the time in which it was suspended for time in which it ran, as the
// tick that was due before the suspension and the one after it come together.
func TestTicksThatComeAtOnceCountAsOne(t *testing.T) {
	e := newStoppableHost(t)
	e.run(time.Second)
	ran := e.now
	e.suspend(4 * time.Second)
	e.step(node.Tick{})
	e.after(time.Millisecond).step(node.Tick{})
	e.run(3 * node.TickInterval)
	assert.Assert(t, e.node.Snapshot().SignalNotBefore <= ran)
}

// TestLogTellsWhenTheSignalCanHaveCome guards against a log from which nobody can tell whether a host learned late of its stop.
func TestLogTellsWhenTheSignalCanHaveCome(t *testing.T) {
	for name, c := range map[string]struct {
		suspended, grace time.Duration
		text             string
	}{
		"suspended":   {4 * time.Second, stopGrace, "signal sent at most 4.2s ago, noticed 0s ago, last answers in 3.5s"},
		"kill is due": {stopGrace, stopGrace, "signal sent at most 8.2s ago, noticed 0s ago, last answers now"},
		"no bound":    {0, 0, "signal sent at most 200ms ago, noticed 0s ago, no bound"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newStoppableHost(t)
			e.run(time.Second)
			e.suspend(c.suspended)
			e.step(node.Terminate{NotBefore: e.node.Snapshot().SignalNotBefore, Noticed: e.now, Grace: c.grace})
			assert.DeepEqual(t, e.changeTexts(node.EventDraining), []string{c.text})
		})
	}
}

// TestSignalAfterADrainBoundsIt guards against a drain without a bound that is cut by the kill, and against one that takes requests again.
func TestSignalAfterADrainBoundsIt(t *testing.T) {
	e := newStoppableHost(t)
	e.serve("/send/1", 100*time.Millisecond)
	d := e.sendLong("/send/1")
	e.step(node.Drain{})
	e.run(3 * time.Second)
	assert.Equal(t, e.node.Snapshot().KillAt, core.Time(0))
	signaled := e.now
	e.terminate(0)
	assert.Assert(t, e.node.Snapshot().KillAt <= signaled+stopGrace)
	assert.Equal(t, e.submit(e.longRequest("/send/1")).Result.Code, api.CodeDraining)
	assert.Equal(t, e.awaitLastAnswer(d, signaled+stopGrace).Outcome, api.OutcomeUnknown)
}

// TestReloadedGraceTimeBoundsAStop guards against answers that come after the kill, as the settings with a shorter grace time were
// reloaded after the signal that came next; and against a bound that is taken back.
func TestReloadedGraceTimeBoundsAStop(t *testing.T) {
	for name, c := range map[string]struct{ before, reloaded, want time.Duration }{
		"shorter":   {stopGrace, 4 * time.Second, 4 * time.Second},
		"longer":    {stopGrace, time.Minute, stopGrace},
		"none":      {stopGrace, 0, stopGrace},
		"the first": {0, stopGrace, stopGrace},
	} {
		t.Run(name, func(t *testing.T) {
			e := newStoppableHost(t)
			d := e.sendLong("/send/1")
			e.step(node.GraceReloaded{Grace: time.Second})
			assert.Equal(t, e.node.Snapshot().KillAt, core.Time(0), "it does not stop")
			signaled := e.now
			e.step(node.Terminate{NotBefore: signaled, Noticed: signaled, Grace: c.before})
			e.after(time.Second).step(node.GraceReloaded{Grace: c.reloaded})
			assert.Equal(t, e.node.Snapshot().KillAt, signaled+c.want)
			assert.Equal(t, e.awaitLastAnswer(d, signaled+c.want).Outcome, api.OutcomeUnknown)
		})
	}
}

// TestIdleHostStaysUntilItsPeersLookupsExpire guards against a host that is gone while others still name it, as it learned late of its
// stop: they name it until it has told them.
func TestIdleHostStaysUntilItsPeersLookupsExpire(t *testing.T) {
	e := newStoppableHost(t)
	e.run(time.Second)
	e.suspend(2 * time.Second)
	e.terminate(0)
	told := e.now
	e.run(2900 * time.Millisecond)
	assert.Assert(t, e.node.Snapshot().Draining)
	e.awaitStop(told + 3*time.Second + 3*node.TickInterval)
	assert.Assert(t, e.now >= told+3*time.Second)
}

// changeTexts returns the texts of the state changes of a kind that the last step has reported.
func (e *routedHost) changeTexts(event node.Event) []string {
	var out []string
	for _, a := range e.actions {
		if c, ok := a.(node.StateChange); ok && c.Event == event {
			out = append(out, c.Text)
		}
	}
	return out
}
