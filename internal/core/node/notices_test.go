package node_test

import (
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"

	"gotest.tools/v3/assert"
)

// answer ends a dispatch with an answer in which the target says something of itself.
func (e *routedHost) answer(d node.StartDispatch, notice target.Notice) {
	notice.From = d.Process()
	e.step(node.DispatchEnded{Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: node.EndedDone, Notice: &notice})
}

// changes returns how many state changes of a kind the last step has reported.
func (e *routedHost) changes(event node.Event) int {
	count := 0
	for _, a := range e.actions {
		if c, ok := a.(node.StateChange); ok && c.Event == event {
			count++
		}
	}
	return count
}

// TestInvalidNoticesAreReportedNowAndThen guards against a log line for each answer of a target that always says something
// invalid of itself.
func TestInvalidNoticesAreReportedNowAndThen(t *testing.T) {
	e := newRoutedHost(t)
	e.list(targetList(2, "s1"))
	reported := 0
	for range 100 {
		e.answer(e.send("/read/1"), target.Notice{Faults: []string{"a limit"}})
		reported += e.changes(node.EventNoticeInvalid)
		e.after(110 * time.Millisecond).step(node.Tick{})
	}
	assert.Equal(t, reported, 2, "once in ten seconds")
}

// TestInvalidLimitDoesNotEndAValidOne guards against a target in need that gets its usual load since one answer was garbled.
func TestInvalidLimitDoesNotEndAValidOne(t *testing.T) {
	e := newRoutedHost(t)
	e.list(targetList(2, "s1"))
	e.wait(3 * time.Second)
	e.answer(e.send("/read/1"), target.Notice{Limited: true, Limit: 4})
	e.wait(time.Second)
	e.answer(e.send("/read/1"), target.Notice{Faults: []string{"a limit"}})
	assert.Equal(t, e.node.Snapshot().Status.Targets[0].Limit, 4.0)
	e.wait(time.Second)
	e.answer(e.send("/read/1"), target.Notice{})
	assert.Equal(t, e.node.Snapshot().Status.Targets[0].Limit, 0.0)
}

// TestAnswerFromBeforeALimitDoesNotEndIt guards against answers that overtake each other: one that was made before the target
// named its limit, and arrives after, does not end the limit.
func TestAnswerFromBeforeALimitDoesNotEndIt(t *testing.T) {
	e := newRoutedHost(t)
	e.list(targetList(2, "s1"))
	e.wait(3 * time.Second)
	slow, fast := e.send("/read/1"), e.send("/read/1")
	e.wait(100 * time.Millisecond)
	e.answer(fast, target.Notice{Limited: true, Limit: 4})
	e.answer(slow, target.Notice{})
	assert.Equal(t, e.node.Snapshot().Status.Targets[0].Limit, 4.0)
}

// TestWordOfLeavingIsKeptWhenItsRequestIsOver guards against word that a target gives with the first event of a stream whose
// caller has left, or which is given up, in the same moment: the event may still reach the caller.
func TestWordOfLeavingIsKeptWhenItsRequestIsOver(t *testing.T) {
	for name, over := range map[string]func(*routedHost, node.StartDispatch){
		"caller-left":   func(e *routedHost, d node.StartDispatch) { e.step(node.CallerLeft{Key: d.Key}) },
		"dispatch-lost": func(e *routedHost, d node.StartDispatch) { e.end(d, node.EndedLost) },
	} {
		t.Run(name, func(t *testing.T) {
			e := newRoutedHost(t)
			d := e.send("/ask/1")
			over(e, d)
			notice := &target.Notice{From: d.Process(), Leaving: true}
			e.step(node.DispatchFirstToken{Key: d.Key, Dispatch: d.Dispatch, Notice: notice})
			e.wait(10 * time.Second)
			assert.Assert(t, !slices.Contains(e.eligible(), d.Target))
		})
	}
}

// TestEndOfADispatchIsNoEvidenceOfTheNextProcess guards against a new process that is left alone because of what became of the
// dispatches to the one before at its address.
func TestEndOfADispatchIsNoEvidenceOfTheNextProcess(t *testing.T) {
	for _, ending := range []node.Ending{node.EndedLost, node.EndedNotWritten, node.EndedRefused} {
		t.Run(ending.String(), func(t *testing.T) {
			e := newRoutedHost(t)
			e.list(targetList(2, "s1"))
			before := e.send("/read/1")
			next := targetList(3, "s1")
			next.Hosts[0].Instance = "next"
			e.list(next)
			e.end(before, ending)
			assert.DeepEqual(t, e.eligible(), []string{"s1"})
		})
	}
}
