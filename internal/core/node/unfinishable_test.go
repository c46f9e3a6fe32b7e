package node_test

import (
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// stopGrace is the time from the begin of a planned stop until the process is killed.
const stopGrace = 8 * time.Second

// newStoppableHost returns a routedHost whose routes allow 30 s.
func newStoppableHost(t *testing.T) *routedHost {
	t.Helper()
	e := newRoutedHost(t)
	doc := routedDocument(2)
	for i := range doc.Routes {
		doc.Routes[i].TimeoutMs = 30_000
	}
	e.publishDocument(doc)
	return e
}

// longRequest returns a request whose caller waits for 25 s.
func (e *routedHost) longRequest(path string) core.Request {
	req := e.request(path)
	req.Budget = 25 * time.Second
	return req
}

// sendLong submits a request whose caller waits for 25 s, and returns its dispatch.
func (e *routedHost) sendLong(path string) node.StartDispatch {
	e.t.Helper()
	req := e.longRequest(path)
	assert.Equal(e.t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	return e.dispatched()
}

// serve lets a request run for some time and answers it.
func (e *routedHost) serve(path string, d time.Duration) {
	e.t.Helper()
	start := e.sendLong(path)
	e.run(d)
	e.end(start, node.EndedDone)
}

// stop begins a planned stop, and returns when the process is killed.
func (e *routedHost) stop() core.Time {
	e.step(node.Terminate{NotBefore: e.now, Noticed: e.now, Grace: stopGrace})
	return e.now + stopGrace
}

// runUntilFinished runs ticks up to a time and returns the result of the first request that ends.
func (e *routedHost) runUntilFinished(until core.Time) (core.Result, bool) {
	for e.now < until {
		e.after(node.TickInterval).step(node.Tick{})
		if result, ok := e.finished(); ok {
			return result, true
		}
	}
	return core.Result{}, false
}

// TestRequestThatCantEndBeforeTheKillIsRefusedUnrun guards against requests that come late in a planned stop, are passed on and are cut
// off without an answer when the process is killed: their callers can't ask again.
func TestRequestThatCantEndBeforeTheKillIsRefusedUnrun(t *testing.T) {
	for name, c := range map[string]struct {
		took    time.Duration
		after   time.Duration
		admits  bool
		budget  time.Duration
		running bool
	}{
		"ends in time":                      {took: 7 * time.Second, after: 200 * time.Millisecond, admits: true},
		"would be cut":                      {took: 7 * time.Second, after: 700 * time.Millisecond},
		"short ones end in time":            {took: time.Second, after: 2500 * time.Millisecond, admits: true},
		"its caller waits no longer":        {took: 7 * time.Second, after: 2500 * time.Millisecond, budget: 4 * time.Second, admits: true},
		"nothing is known of its duration":  {after: 200 * time.Millisecond},
		"those that run take longer by now": {took: time.Second, running: true, after: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e := newStoppableHost(t)
			if c.took > 0 {
				e.serve("/send/1", c.took)
			}
			if c.running {
				e.sendLong("/send/1")
				e.run(6500 * time.Millisecond)
			}
			e.stop()
			e.run(c.after)
			req := e.longRequest("/send/1")
			if c.budget > 0 {
				req.Budget = c.budget
			}
			decision := e.submit(req)
			assert.Equal(t, decision.Kind == node.Admit, c.admits, decision.Result.Message)
			if !c.admits {
				assert.Equal(t, decision.Result.Code, api.CodeDraining)
				assert.Equal(t, decision.Result.Outcome, api.OutcomeNotRun)
				assert.Assert(t, decision.Result.RetryAfter > 0 && decision.Result.RetryAfter < time.Second, "another host takes it at once")
			}
		})
	}
}

// TestWaitingRequestThatCantEndBeforeTheKillIsRefusedUnrun guards against a request that waits in the queue of a stopping host until
// its time is used up, or that is placed when it can't end in time any more.
func TestWaitingRequestThatCantEndBeforeTheKillIsRefusedUnrun(t *testing.T) {
	e := newStoppableHost(t)
	e.serve("/send/1", 5*time.Second)
	e.list(targetList(2, "s1"))
	e.end(e.sendLong("/send/1"), node.EndedRefused) // it waits, as nobody else takes it
	_, ended := e.finished()
	assert.Assert(t, !ended)
	e.step(node.Terminate{NotBefore: e.now, Noticed: e.now, Grace: 4 * time.Second})
	result, ok := e.finished()
	assert.Assert(t, ok, "the request waits for a target, and those of its kind take 5 s")
	assert.Equal(t, result.Code, api.CodeDraining)
	assert.Equal(t, result.Outcome, api.OutcomeNotRun)
}

// TestBodyThatEndsTooLateInAStopIsNotRun guards against a request that is passed on since its head came early enough.
func TestBodyThatEndsTooLateInAStopIsNotRun(t *testing.T) {
	e := newStoppableHost(t)
	e.serve("/send/1", 5*time.Second)
	e.stop()
	req := e.longRequest("/send/1")
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.run(4 * time.Second)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	result, ok := e.finished()
	assert.Assert(t, ok)
	assert.Equal(t, result.Outcome, api.OutcomeNotRun)
}

// TestLastAnswersComeBeforeTheKill guards against requests that still run when the process of a stopping host is killed, and whose
// callers get no answer, or one that is not true.
func TestLastAnswersComeBeforeTheKill(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		ending  node.Ending
		outcome api.Outcome
		code    api.Code
	}{
		"may have run":    {"/send/1", node.EndedLost, api.OutcomeUnknown, api.CodeDraining},
		"was not written": {"/send/1", node.EndedNotWritten, api.OutcomeNotRun, api.CodeDraining},
		"was refused":     {"/send/1", node.EndedRefused, api.OutcomeNotRun, api.CodeDraining},
		"answered":        {"/send/1", node.EndedDone, api.OutcomeDone, ""},
		"may be repeated": {"/read/1", node.EndedLost, api.OutcomeFailed, api.CodeDraining},
	} {
		t.Run(name, func(t *testing.T) {
			e := newStoppableHost(t)
			d := e.sendLong(c.path)
			killAt := e.stop()
			result, ok := core.Result{}, false
			for !ok && e.now < killAt-100*time.Millisecond {
				e.after(node.TickInterval)
				if e.aborted(d) {
					e.end(d, c.ending)
				} else {
					e.step(node.Tick{})
				}
				result, ok = e.finished()
			}
			assert.Assert(t, ok, "no answer before the kill")
			assert.Equal(t, result.Outcome, c.outcome)
			assert.Equal(t, result.Code, c.code)
			assert.Assert(t, e.now >= killAt-stopGrace/6, "it may run until shortly before the kill")
			e.awaitStop(killAt)
		})
	}
}

// aborted reports whether the last step has aborted a dispatch.
func (e *routedHost) aborted(d node.StartDispatch) bool {
	for _, a := range e.actions {
		if abort, ok := a.(node.AbortDispatch); ok && abort.Key == d.Key {
			return true
		}
	}
	return false
}

// awaitStop runs ticks until the host stops, which must be before a time.
func (e *routedHost) awaitStop(before core.Time) {
	e.t.Helper()
	for {
		for _, a := range e.actions {
			if _, stops := a.(node.Stop); stops {
				return
			}
		}
		assert.Assert(e.t, e.now+node.TickInterval < before, "the host does not stop")
		e.after(node.TickInterval).step(node.Tick{})
	}
}

// TestBodyThatStillArrivesAtTheEndOfAStopIsNotRun guards against a caller that sends its body slowly and gets no answer.
func TestBodyThatStillArrivesAtTheEndOfAStopIsNotRun(t *testing.T) {
	e := newStoppableHost(t)
	e.serve("/send/1", time.Second)
	killAt := e.stop()
	assert.Equal(t, e.submit(e.longRequest("/send/1")).Kind, node.Admit)
	result, ok := e.runUntilFinished(killAt - 100*time.Millisecond)
	assert.Assert(t, ok)
	assert.Equal(t, result.Outcome, api.OutcomeNotRun)
	assert.Equal(t, result.Code, api.CodeDraining)
	e.awaitStop(killAt)
}

// TestDrainOfAnOperatorHasNoEnd guards against requests that are cut by a stop that nobody bounds, until the process is told to stop.
func TestDrainOfAnOperatorHasNoEnd(t *testing.T) {
	e := newStoppableHost(t)
	e.sendLong("/send/1")
	e.step(node.Drain{})
	_, ended := e.runUntilFinished(e.now + 2*stopGrace)
	assert.Assert(t, !ended)
	killAt := e.stop()
	_, ended = e.runUntilFinished(killAt - stopGrace/6)
	assert.Assert(t, !ended)
}
