package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// lone is a single Node whose inputs and clock a test controls directly.
type lone struct {
	t       *testing.T
	node    *node.Node
	now     core.Time
	tickets node.Ticket
	actions []node.Action
}

var loneSelf = core.Home{Address: "10.0.0.1:1", Incarnation: "i1"}

const (
	loneStart   = 10 * time.Second
	loneBudget  = 2 * time.Second
	loneRecords = 4
	loneTarget  = "10.0.1.1:1"
	otherTarget = "10.0.1.2:1"
)

func newLone(t *testing.T) *lone {
	t.Helper()
	n := node.New(node.Options{
		Self: loneSelf, Peer: "10.0.0.1:2", Zone: "a", Records: loneRecords, BodyBytes: 1 << 20, Seed: 1,
		Seeds: []string{"10.0.0.2:2"},
	})
	l := &lone{t: t, node: n, now: loneStart - time.Second}
	preset := document.Preset{
		Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 10_000, LongMs: 10_000},
		FirstTokenTargetMs: 750, ShortPromptTokens: 4_000, MiddlePromptTokens: 100_000, RetryPercent: 100,
	}
	raw, err := json.Marshal(document.Document{
		Revision: 1, Active: "ordinary", Presets: map[string]document.Preset{"ordinary": preset},
		Teams: []document.Team{{Name: "desk", Weight: 1, TokensPerSecond: 1_000_000}},
	})
	assert.NilError(t, err)
	l.step(node.DocumentReceived{Raw: raw, Source: "platform"})
	list := &hostlist.List{Version: 1, Hosts: []hostlist.Host{
		{Address: loneSelf.Address, Peer: "10.0.0.1:2", Zone: "a", Role: hostlist.RoleEntry, State: hostlist.StateLive},
	}}
	for _, address := range []string{loneTarget, otherTarget} {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: address, Zone: "a", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{"orders"},
		})
	}
	l.step(node.HostsReceived{List: list, Source: "platform"})
	l.run(time.Second) // the host's share of the team's limit grows from 0
	return l
}

func (l *lone) step(in node.Input) []node.Action {
	l.actions = l.node.Step(l.now, in)
	return l.actions
}

func (l *lone) after(d time.Duration) *lone {
	l.now += d
	return l
}

// run advances the time tick by tick, as for a process that is not suspended.
func (l *lone) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.after(node.TickInterval).step(node.Tick{})
	}
}

// ask processes an input with a ticket and returns the decision on it.
func (l *lone) ask(in func(node.Ticket) node.Input) node.Decision {
	l.t.Helper()
	l.tickets++
	for _, a := range l.step(in(l.tickets)) {
		if d, ok := a.(node.Decide); ok {
			assert.Equal(l.t, d.Ticket, l.tickets)
			return d.Decision
		}
	}
	l.t.Fatal("no decision")
	return node.Decision{}
}

func (l *lone) submit(req core.Request) node.Decision {
	l.t.Helper()
	return l.ask(func(t node.Ticket) node.Input { return node.Submit{Ticket: t, Request: req} })
}

func (l *lone) query(req core.Request) node.Decision {
	l.t.Helper()
	req.Attempt = 0
	return l.ask(func(t node.Ticket) node.Input { return node.Query{Ticket: t, Request: req} })
}

func (l *lone) cancel(req core.Request) node.Decision {
	l.t.Helper()
	req.Attempt = 0
	return l.ask(func(t node.Ticket) node.Input { return node.Cancel{Ticket: t, Request: req} })
}

// body delivers a body and returns the dispatch that it leads to, if any.
func (l *lone) body(req core.Request, fault api.Code) *node.StartDispatch {
	l.step(node.BodyEnded{Key: req.Key, Attempt: req.Attempt, Fault: fault})
	return l.started()
}

// dispatched submits a request with its body and returns its dispatch.
func (l *lone) dispatched(req core.Request) node.StartDispatch {
	l.t.Helper()
	assert.Equal(l.t, l.submit(req).Kind, node.Admit)
	started := l.body(req, "")
	assert.Assert(l.t, started != nil)
	return *started
}

// started returns the dispatch among the actions of the last step, or nil.
func (l *lone) started() *node.StartDispatch {
	for _, a := range l.actions {
		if s, ok := a.(node.StartDispatch); ok {
			return &s
		}
	}
	return nil
}

// ended returns the final result among the actions of the last step, or nil.
func (l *lone) ended() *core.Result {
	for _, a := range l.actions {
		if f, ok := a.(node.Finish); ok {
			return &f.Result
		}
	}
	return nil
}

func (l *lone) end(d node.StartDispatch, ending node.Ending) {
	l.step(node.DispatchEnded{Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: ending})
}

func (l *lone) wantResult(outcome api.Outcome, code api.Code) {
	l.t.Helper()
	result := l.ended()
	assert.Assert(l.t, result != nil, "the request has not ended")
	assert.Equal(l.t, result.Outcome, outcome)
	assert.Equal(l.t, result.Code, code)
}

// nonIdempotent returns a request that is not idempotent.
func nonIdempotent(attempt uint32) core.Request {
	return core.Request{
		Key: core.Key{Team: "desk", ID: "request-1"}, Attempt: attempt, Model: "orders", PromptTokens: 10, AnswerTokens: 5,
		Home: loneSelf, Deadline: loneStart + loneBudget, BodyBytes: 100, BodyChecksum: "sum",
	}
}

// idempotent returns a request that is otherwise the same.
func idempotent(attempt uint32) core.Request {
	req := nonIdempotent(attempt)
	req.Idempotent = true
	return req
}

func TestJoinedAttemptIsClosedWithItsRecord(t *testing.T) {
	l := newLone(t)
	assert.Equal(t, l.submit(nonIdempotent(1)).Kind, node.Admit)
	assert.Equal(t, l.submit(nonIdempotent(3)).Kind, node.Admit)
	l.body(nonIdempotent(3), api.CodeTruncated)
	l.wantResult(api.OutcomeNotRun, api.CodeTruncated)
	for attempt := uint32(1); attempt <= 3; attempt++ {
		d := l.submit(nonIdempotent(attempt))
		assert.Equal(t, d.Kind, node.Refuse)
		assert.Equal(t, d.Result.Code, api.CodeClosed)
	}
	assert.Equal(t, l.submit(nonIdempotent(4)).Kind, node.Admit)
}

func TestQueryAnsweredNotRunClosesEveryAttempt(t *testing.T) {
	l := newLone(t)
	unseen := l.query(nonIdempotent(0))
	assert.Equal(t, unseen.Result.Outcome, api.OutcomeNotRun)
	assert.Equal(t, l.submit(nonIdempotent(7)).Result.Code, api.CodeClosed)

	other := nonIdempotent(1)
	other.ID = "request-2"
	l.submit(other)
	l.body(other, api.CodeChecksum)
	assert.Equal(t, l.query(other).Result.Outcome, api.OutcomeNotRun)
	other.Attempt = 2
	assert.Equal(t, l.submit(other).Result.Code, api.CodeClosed)
}

func TestCancelClosesIdentifierThatHasNotArrived(t *testing.T) {
	l := newLone(t)
	d := l.cancel(nonIdempotent(0))
	assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun)
	assert.Equal(t, d.Result.Code, api.CodeCanceled)
	assert.Equal(t, l.submit(nonIdempotent(1)).Result.Code, api.CodeClosed)
}

func TestCancelOfDispatchedRequestIsUnknownUntilFirstToken(t *testing.T) {
	l := newLone(t)
	l.dispatched(nonIdempotent(1))
	assert.Equal(t, l.cancel(nonIdempotent(0)).Result.Outcome, api.OutcomeUnknown)
	assert.Equal(t, l.submit(nonIdempotent(2)).Kind, node.Attach)

	l = newLone(t)
	started := l.dispatched(nonIdempotent(1))
	l.step(node.DispatchFirstToken{Key: started.Key, Dispatch: started.Dispatch})
	assert.Equal(t, l.cancel(nonIdempotent(0)).Result.Outcome, api.OutcomeFailed)
}

func TestIdempotentRequestThatReachedTargetIsNeverNotRun(t *testing.T) {
	l := newLone(t)
	first := l.dispatched(idempotent(1))
	l.end(first, node.EndedLost)
	second := l.started()
	assert.Assert(t, second != nil, "no second dispatch")
	l.end(*second, node.EndedNotWritten)
	l.after(loneBudget).step(node.Tick{})
	l.wantResult(api.OutcomeFailed, api.CodeDeadline)
}

func TestIdempotentRequestThatFailedGoesToAnotherTarget(t *testing.T) {
	l := newLone(t)
	first := l.dispatched(idempotent(1))
	l.end(first, node.EndedFailed)
	assert.Assert(t, l.started() != nil)
}

func TestNonIdempotentRequestThatReachedTargetIsNotDispatchedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		ending  node.Ending
		first   bool
		outcome api.Outcome
		code    api.Code
	}{
		"lost":                        {node.EndedLost, false, api.OutcomeUnknown, api.CodeTargetLost},
		"lost after its first bytes":  {node.EndedLost, true, api.OutcomeFailed, api.CodeTargetLost},
		"failed":                      {node.EndedFailed, false, api.OutcomeFailed, api.CodeTargetFailed},
		"answered":                    {node.EndedDone, true, api.OutcomeDone, ""},
		"answered without first byte": {node.EndedDone, false, api.OutcomeDone, ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLone(t)
			started := l.dispatched(nonIdempotent(1))
			if c.first {
				l.step(node.DispatchFirstToken{Key: started.Key, Dispatch: started.Dispatch})
			}
			l.end(started, c.ending)
			l.wantResult(c.outcome, c.code)
			assert.Assert(t, l.started() == nil)
			assert.Equal(t, l.submit(nonIdempotent(2)).Kind, node.Attach)
		})
	}
}

func TestNonIdempotentRequestThatNeverReachedTargetGoesToAnother(t *testing.T) {
	for name, ending := range map[string]node.Ending{"not written": node.EndedNotWritten, "refused": node.EndedRefused} {
		t.Run(name, func(t *testing.T) {
			l := newLone(t)
			first := l.dispatched(nonIdempotent(1))
			l.end(first, ending)
			second := l.started()
			assert.Assert(t, second != nil)
			assert.Assert(t, second.Target != first.Target, "the request was dispatched again to the target that did not accept it")
			assert.Equal(t, second.Dispatch, first.Dispatch+1)
		})
	}
}

func TestEndOfAbortedDispatchDecidesOutcomeAtDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		ending  node.Ending
		outcome api.Outcome
	}{
		"not written": {node.EndedNotWritten, api.OutcomeNotRun},
		"written":     {node.EndedLost, api.OutcomeUnknown},
		"answered":    {node.EndedDone, api.OutcomeDone},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLone(t)
			started := l.dispatched(nonIdempotent(1))
			l.after(loneBudget + time.Minute).step(node.Tick{}) // the process was suspended
			assert.Assert(t, l.ended() == nil)
			l.end(started, c.ending)
			assert.Equal(t, l.ended().Outcome, c.outcome)
		})
	}
}

func TestAbortedDispatchWithoutEndExpiresAtNextTick(t *testing.T) {
	l := newLone(t)
	l.dispatched(nonIdempotent(1))
	l.after(loneBudget - ledger.DispatchCutoff).step(node.Tick{})
	assert.Assert(t, l.ended() == nil)
	l.after(node.TickInterval).step(node.Tick{})
	l.wantResult(api.OutcomeUnknown, api.CodeDeadline)
}

func TestNonIdempotentRequestIsNotDispatchedInItsLastMoment(t *testing.T) {
	l := newLone(t)
	l.submit(nonIdempotent(1))
	l.after(loneBudget - ledger.DispatchCutoff)
	assert.Assert(t, l.body(nonIdempotent(1), "") == nil)
	l.after(ledger.DispatchCutoff).step(node.Tick{})
	l.wantResult(api.OutcomeNotRun, api.CodeDeadline)
}

func TestBodyOfAnEarlierAttemptDoesNotEndALaterOne(t *testing.T) {
	l := newLone(t)
	l.submit(nonIdempotent(1))
	assert.Equal(t, l.cancel(idempotent(0)).Result.Outcome, api.OutcomeNotRun)

	l = newLone(t)
	l.submit(nonIdempotent(1))
	l.body(nonIdempotent(1), api.CodeTruncated)
	assert.Equal(t, l.submit(nonIdempotent(2)).Kind, node.Admit)
	assert.Assert(t, l.body(nonIdempotent(1), "") == nil)
	l.body(nonIdempotent(1), api.CodeTruncated)
	assert.Assert(t, l.ended() == nil)
	assert.Assert(t, l.body(nonIdempotent(2), "") != nil)
}

func TestLaterAttemptBringsTheBodyThatAnEarlierOneDidNot(t *testing.T) {
	l := newLone(t)
	held := func() int64 { return l.node.Snapshot().Status.Requests.BodyBytes }
	l.submit(nonIdempotent(1))
	assert.Equal(t, l.submit(nonIdempotent(1)).Kind, node.Attach, "a duplicate of the attempt must not send the body again")
	assert.Equal(t, l.submit(nonIdempotent(2)).Kind, node.Admit)
	assert.Equal(t, held(), 2*nonIdempotent(1).BodyBytes)
	assert.Assert(t, l.body(nonIdempotent(1), api.CodeTruncated) == nil)
	assert.Assert(t, l.ended() == nil, "the second attempt may still send the body")
	started := l.body(nonIdempotent(2), "")
	assert.Assert(t, started != nil)
	assert.Assert(t, l.body(nonIdempotent(1), "") == nil, "the first complete body starts the only dispatch")
	l.end(*started, node.EndedDone)
	l.wantResult(api.OutcomeDone, "")
	assert.Equal(t, held(), int64(0))
}

func TestLaterAttemptIsNotAskedForBodyWithoutMemoryForIt(t *testing.T) {
	l := newLone(t)
	large := func(attempt uint32) core.Request {
		req := nonIdempotent(attempt)
		req.BodyBytes = 600 << 10
		return req
	}
	assert.Equal(t, l.submit(large(1)).Kind, node.Admit)
	assert.Equal(t, l.submit(large(2)).Kind, node.Attach)
	assert.Assert(t, l.body(large(1), "") != nil)
}

func TestDispatchNumbersContinueInNewRecordOfSameKey(t *testing.T) {
	l := newLone(t)
	first := l.dispatched(nonIdempotent(1))
	l.run(loneBudget - ledger.DispatchCutoff)
	l.end(first, node.EndedNotWritten)
	l.wantResult(api.OutcomeNotRun, api.CodeDeadline)
	again := nonIdempotent(2)
	again.Deadline += loneBudget
	second := l.dispatched(again)
	assert.Assert(t, second.Dispatch > first.Dispatch)
	l.end(first, node.EndedNotWritten)
	assert.Assert(t, l.started() == nil && l.ended() == nil)
}

func TestDeadlinesBeyondLongestBudgetAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*core.Request)
		outcome api.Outcome
	}{
		"none":                   {func(r *core.Request) { r.Deadline = 0 }, api.OutcomeNotRun},
		"none on a later submit": {func(r *core.Request) { r.Deadline, r.Attempt = 0, 2 }, api.OutcomeUnknown},
		"a day ahead":            {func(r *core.Request) { r.Deadline += 24 * time.Hour }, api.OutcomeNotRun},
		"a day's budget":         {func(r *core.Request) { r.Idempotent, r.Deadline, r.Budget = true, 0, 24*time.Hour }, api.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLone(t)
			req := nonIdempotent(1)
			c.change(&req)
			d := l.submit(req)
			assert.Equal(t, d.Kind, node.Refuse)
			assert.Equal(t, d.Result.Code, api.CodeMalformed)
			assert.Equal(t, d.Result.Outcome, c.outcome)
		})
	}
}

func TestRecordWithDistantDeadlineExpiresAfterMaxBudget(t *testing.T) {
	l := newLone(t)
	req := nonIdempotent(1)
	req.Deadline += 24 * time.Hour
	l.query(req)
	assert.Equal(t, l.node.Snapshot().Status.Requests.Records, 1)
	l.after(ledger.MaxBudget + ledger.Retention).step(node.Tick{})
	assert.Equal(t, l.node.Snapshot().Status.Requests.Records, 0)
}

func TestDeadlineOnClockOfAnotherProcessIsIgnored(t *testing.T) {
	for name, home := range map[string]core.Home{
		"another host":   {Address: "10.0.0.2:1", Incarnation: "i1"},
		"before restart": {Address: loneSelf.Address, Incarnation: "i0"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLone(t)
			req := idempotent(1)
			req.Home, req.Deadline, req.Budget = home, 30*24*time.Hour, loneBudget
			d := l.submit(req)
			assert.Equal(t, d.Kind, node.Admit)
			assert.Equal(t, d.Deadline, loneStart+loneBudget)
		})
	}
}

func TestOnlyHomeAnswersForNonIdempotentRequest(t *testing.T) {
	elsewhere := core.Home{Address: "10.0.0.2:1", Incarnation: "i1"}
	for name, c := range map[string]struct {
		change func(*core.Request)
		kind   node.DecisionKind
		code   api.Code
	}{
		"no home":            {func(r *core.Request) { r.Home = core.Home{} }, node.Refuse, api.CodeHomeRequired},
		"home restarted":     {func(r *core.Request) { r.Home.Incarnation = "i0" }, node.Refuse, api.CodeHomeGone},
		"home elsewhere":     {func(r *core.Request) { r.Home = elsewhere }, node.Forward, ""},
		"forwarded to wrong": {func(r *core.Request) { r.Home, r.Forwarded = elsewhere, true }, node.Refuse, api.CodeHomeGone},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLone(t)
			req := nonIdempotent(2)
			c.change(&req)
			for what, ask := range map[string]func(core.Request) node.Decision{"submit": l.submit, "query": l.query, "cancel": l.cancel} {
				d := ask(req)
				assert.Equal(t, d.Kind, c.kind, what)
				assert.Equal(t, d.Result.Code, c.code, what)
				if d.Kind == node.Refuse {
					assert.Equal(t, d.Result.Outcome, api.OutcomeUnknown, what)
				}
			}
		})
	}
}

func TestRequestIsForwardedToHomeDespiteOlderHeartbeat(t *testing.T) {
	l := newLone(t)
	l.step(node.HeartbeatReceived{Heartbeat: member.Heartbeat{Address: "10.0.0.2:1", Peer: "10.0.0.2:2", Incarnation: "i1"}})
	req := nonIdempotent(1)
	req.Home = core.Home{Address: "10.0.0.2:1", Incarnation: "i2"}
	assert.Equal(t, l.submit(req).Kind, node.Forward)
}

func TestQueryOfIdempotentRequestIsForwardedToNamedHome(t *testing.T) {
	l := newLone(t)
	req := idempotent(1)
	req.Home = core.Home{Address: "10.0.0.2:1", Incarnation: "i1"}
	assert.Equal(t, l.query(req).Kind, node.Forward)
	req.Forwarded = true
	assert.Equal(t, l.query(req).Result.Code, api.CodeNotFound)
}

func TestFullLedgerEvictsNothingAndReportsUnknown(t *testing.T) {
	l := newLone(t)
	req := nonIdempotent(1)
	for i := range loneRecords {
		req.ID = "request-" + string(rune('a'+i))
		assert.Equal(t, l.submit(req).Kind, node.Admit)
	}
	req.ID = "request-x"
	d := l.submit(req)
	assert.Equal(t, d.Kind, node.Refuse)
	assert.Equal(t, d.Result.Code, api.CodeRecordsFull)
	assert.Equal(t, d.Result.Outcome, api.OutcomeUnknown, "no record keeps the refusal")
	assert.Assert(t, d.Result.RetryAfter > 0)
	assert.Equal(t, l.query(req).Result.Outcome, api.OutcomeUnknown)
	req.ID = "request-a"
	assert.Equal(t, l.submit(req).Kind, node.Attach)
	l.after(loneBudget + ledger.Retention - 1).step(node.Tick{})
	assert.Equal(t, l.node.Snapshot().Status.Requests.Records, loneRecords)
	l.after(1).step(node.Tick{})
	assert.Equal(t, l.node.Snapshot().Status.Requests.Records, 0)
}

func TestLateSubmitGetsCertainOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		late    time.Duration
		outcome api.Outcome
		code    api.Code
	}{
		"in its time":        {loneBudget - 1, api.OutcomePending, ""},
		"past its deadline":  {loneBudget, api.OutcomeNotRun, api.CodeDeadline},
		"past the retention": {loneBudget + ledger.Retention, api.OutcomeUnknown, api.CodeRecordExpired},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLone(t)
			d := l.after(c.late).submit(nonIdempotent(1))
			if c.code == "" {
				assert.Equal(t, d.Kind, node.Admit)
				return
			}
			assert.Equal(t, d.Result.Outcome, c.outcome)
			assert.Equal(t, d.Result.Code, c.code)
		})
	}
}

func TestAnotherBodyUnderTheSameIdentifierIsRefused(t *testing.T) {
	l := newLone(t)
	l.dispatched(nonIdempotent(1))
	other := nonIdempotent(2)
	other.BodyChecksum = "other"
	assert.Equal(t, l.submit(other).Result.Code, api.CodeConflict)
}

func TestHostWithoutConfigurationIsNotReady(t *testing.T) {
	n := node.New(node.Options{Self: loneSelf, Peer: "10.0.0.1:2", Records: 4, BodyBytes: 1000, Seed: 1})
	l := &lone{t: t, node: n, now: time.Second}
	req := idempotent(1)
	req.Deadline = 0
	d := l.submit(req)
	assert.Equal(t, d.Result.Code, api.CodeNotReady)
	assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun)
	assert.Assert(t, d.Result.RetryAfter > 0)
}
