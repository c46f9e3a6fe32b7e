package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run draws the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	limit  = 3
	budget = 10 * time.Second
)

// groundTruth is what must hold for one key, tracked apart from the ledger.
type groundTruth struct {
	idempotent bool
	deadline   core.Time
	// mayHaveRun is set while a dispatch is active, and for good once one was written.
	mayHaveRun bool
	// notRunThrough is the highest attempt that was answered "not run".
	notRunThrough uint32
	// waiting is the highest attempt that waits for the record's result.
	waiting uint32
	// keptUntil is how long the ledger must keep the key's record.
	keptUntil core.Time
}

// machine runs a ledger and checks it against the ground truth after each action. Its exported methods are the actions.
type machine struct {
	ledger      *ledger.Ledger
	now         core.Time
	truths      map[core.Key]*groundTruth
	lastAttempt map[core.Key]uint32
}

func (m *machine) key(t *rapid.T) core.Key {
	return core.Key{Team: "desk", ID: fmt.Sprintf("request-%d", rapid.IntRange(0, limit+1).Draw(t, "key"))}
}

// request draws a submit: a new attempt, or a late copy of an earlier one.
func (m *machine) request(t *rapid.T) core.Request {
	key := m.key(t)
	tr := m.truths[key]
	if tr == nil {
		tr = &groundTruth{idempotent: rapid.Bool().Draw(t, "idempotent"), deadline: m.now + budget}
		m.truths[key] = tr
	}
	if rapid.Bool().Draw(t, "fresh") || m.lastAttempt[key] == 0 {
		m.lastAttempt[key]++
	}
	return core.Request{
		Key: key, Attempt: uint32(rapid.IntRange(1, int(m.lastAttempt[key])).Draw(t, "attempt")),
		Idempotent: tr.idempotent, Deadline: tr.deadline, BodyChecksum: "sum",
	}
}

// Submit offers a request to the ledger and admits it, joins it or refuses it.
func (m *machine) Submit(t *rapid.T) {
	req := m.request(t)
	tr := m.truths[req.Key]
	verdict, result := m.ledger.Classify(m.now, &req)
	rec := m.ledger.Get(req.Key)
	if rec != nil {
		m.ledger.Join(m.now, rec, &req)
		tr.keptUntil = req.Deadline + ledger.Retention
	}
	switch verdict {
	case ledger.Refuse:
		m.checkAnswer(t, req, result)
	case ledger.New:
		if !req.Idempotent && req.Attempt <= tr.notRunThrough {
			t.Fatalf("attempt %d of %v was told not run and is taken for new", req.Attempt, req.Key)
		}
		if !req.Idempotent && tr.mayHaveRun {
			t.Fatalf("%v may have run and is taken for new", req.Key)
		}
		if rapid.Bool().Draw(t, "refused") || m.ledger.Full() && rec == nil {
			m.refuse(t, req)
			return
		}
		m.ledger.Admit(m.now, req, core.Work{}, 1)
		tr.waiting = req.Attempt
		tr.keptUntil = req.Deadline + ledger.Retention
	case ledger.Join:
		if rec.State == ledger.Finished && result.Outcome == api.OutcomeNotRun {
			t.Fatalf("%v joins a record that ended without a run", req.Key)
		}
		tr.waiting = max(tr.waiting, req.Attempt)
	}
}

func (m *machine) refuse(t *rapid.T, req core.Request) {
	result := core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeOverloaded}
	if m.ledger.Close(m.now, req, result) {
		m.truths[req.Key].keptUntil = req.Deadline + ledger.Retention
		m.checkAnswer(t, req, result)
		return
	}
	if !m.ledger.Full() {
		t.Fatalf("%v can't be closed though there is room", req.Key)
	}
}

// checkAnswer checks an answer and records what it promises.
func (m *machine) checkAnswer(t *rapid.T, req core.Request, result core.Result) {
	tr := m.truths[req.Key]
	if result.Outcome != api.OutcomeNotRun || req.Idempotent {
		return
	}
	if tr.mayHaveRun {
		t.Fatalf("%v attempt %d was told not run (%s) and may have run", req.Key, req.Attempt, result.Code)
	}
	tr.notRunThrough = max(tr.notRunThrough, req.Attempt)
}

// Query closes a key that ended without a run, as the node does before it answers so.
func (m *machine) Query(t *rapid.T) {
	rec := m.ledger.Get(m.key(t))
	if rec == nil {
		return
	}
	m.ledger.CloseAll(rec)
	req := rec.Request
	req.Attempt = ledger.AllAttempts
	m.checkAnswer(t, req, rec.Result)
}

// record draws a key and returns its record if it is in one of the states.
func (m *machine) record(t *rapid.T, states ...ledger.State) *ledger.Record {
	rec := m.ledger.Get(m.key(t))
	if rec == nil {
		return nil
	}
	for _, s := range states {
		if rec.State == s {
			return rec
		}
	}
	return nil
}

// Body completes the reception of a body.
func (m *machine) Body(t *rapid.T) {
	if rec := m.record(t, ledger.Receiving); rec != nil {
		m.ledger.MarkQueued(rec)
	}
}

// Dispatch dispatches a record, if that is allowed.
func (m *machine) Dispatch(t *rapid.T) {
	rec := m.record(t, ledger.Queued)
	if rec == nil || !m.ledger.MayDispatch(m.now, rec) {
		return
	}
	tr := m.truths[rec.Request.Key]
	if !tr.idempotent && tr.mayHaveRun {
		t.Fatalf("%v may have run and is dispatched again", rec.Request.Key)
	}
	if m.now >= rec.Request.Deadline {
		t.Fatalf("%v is dispatched past its deadline", rec.Request.Key)
	}
	m.ledger.Dispatch(m.now, rec, target.Process{Address: "target"})
	if !tr.idempotent {
		tr.mayHaveRun = true
	}
}

// NeverReached ends a dispatch that was not written.
func (m *machine) NeverReached(t *rapid.T) {
	rec := m.record(t, ledger.Dispatched)
	if rec == nil {
		return
	}
	reached := rec.MayHaveRun && rec.LastDispatch > 1 && m.truths[rec.Request.Key].mayHaveRun && rec.Request.Idempotent
	m.ledger.UndoDispatch(rec)
	if !rec.Request.Idempotent {
		m.truths[rec.Request.Key].mayHaveRun = false
	} else if reached && !rec.MayHaveRun {
		t.Fatalf("%v lost the mark of an earlier dispatch", rec.Request.Key)
	}
}

// Lost ends a dispatch that was written and requeues the record. MayDispatch must refuse it if it is not idempotent.
func (m *machine) Lost(t *rapid.T) {
	rec := m.record(t, ledger.Dispatched)
	if rec == nil {
		return
	}
	m.truths[rec.Request.Key].mayHaveRun = true
	m.ledger.Requeue(rec)
}

// Finish ends a record with the outcome that is certain.
func (m *machine) Finish(t *rapid.T) {
	rec := m.record(t, ledger.Receiving, ledger.Queued, ledger.Dispatched)
	if rec == nil {
		return
	}
	result := core.Result{Outcome: api.OutcomeNotRun}
	if rec.MayHaveRun {
		result.Outcome = api.OutcomeUnknown
	}
	if !m.ledger.Finish(m.now, rec, result) {
		t.Fatalf("%v can't be finished", rec.Request.Key)
	}
	if m.ledger.Finish(m.now, rec, core.Result{Outcome: api.OutcomeDone}) {
		t.Fatalf("%v was finished twice", rec.Request.Key)
	}
	req := rec.Request
	req.Attempt = m.truths[req.Key].waiting
	m.checkAnswer(t, req, result)
}

// Wait advances the clock, by between 1 ms and longer than any record is kept.
func (m *machine) Wait(t *rapid.T) {
	m.now += time.Duration(rapid.SampledFrom([]int64{1, 40, 5_000, 30_000, 70_000}).Draw(t, "ms")) * time.Millisecond
	m.ledger.Expire(m.now, func(rec *ledger.Record) {
		if tr := m.truths[rec.Request.Key]; m.now < tr.keptUntil {
			t.Fatalf("the record of %v was dropped at %v, it must be kept until %v", rec.Request.Key, m.now, tr.keptUntil)
		}
	})
}

// Check verifies what must hold after every action.
func (m *machine) Check(t *rapid.T) {
	if m.ledger.Len() > limit {
		t.Fatalf("%d records in a ledger for %d", m.ledger.Len(), limit)
	}
	m.ledger.Each(func(rec *ledger.Record) {
		if m.truths[rec.Request.Key].mayHaveRun && !rec.MayHaveRun {
			t.Fatalf("%v may have run and its record does not say so", rec.Request.Key)
		}
	})
}

func TestLedgerKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{ledger: ledger.NewLedger(limit), truths: make(map[core.Key]*groundTruth), lastAttempt: make(map[core.Key]uint32)}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func TestVerdictFollowsTheRecord(t *testing.T) {
	req := core.Request{Key: core.Key{Team: "desk", ID: "request-1"}, Attempt: 2, Deadline: budget, BodyChecksum: "sum"}
	notRun := core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeOverloaded}
	done := core.Result{Outcome: api.OutcomeDone}
	for name, c := range map[string]struct {
		before  func(*ledger.Ledger)
		change  func(*core.Request)
		at      core.Time
		verdict ledger.Verdict
		code    api.Code
	}{
		"nothing known":      {verdict: ledger.New},
		"at the deadline":    {at: budget, verdict: ledger.Refuse, code: api.CodeDeadline},
		"past the retention": {at: budget + ledger.Retention, verdict: ledger.Refuse, code: api.CodeRecordExpired},
		"running":            {before: func(l *ledger.Ledger) { l.Admit(0, req, core.Work{}, 1) }, verdict: ledger.Join},
		"running, past the deadline": {
			before: func(l *ledger.Ledger) { l.Admit(0, req, core.Work{}, 1) }, at: budget, verdict: ledger.Join,
		},
		"finished": {
			before: func(l *ledger.Ledger) { l.Finish(1, l.Admit(0, req, core.Work{}, 1), done) }, verdict: ledger.Join,
		},
		"another body": {
			before: func(l *ledger.Ledger) { l.Admit(0, req, core.Work{}, 1) },
			change: func(r *core.Request) { r.BodyChecksum = "other" }, verdict: ledger.Refuse, code: api.CodeConflict,
		},
		"refused before": {
			before: func(l *ledger.Ledger) { l.Close(0, req, notRun) }, verdict: ledger.Refuse, code: api.CodeClosed,
		},
		"an earlier copy of one refused": {
			before: func(l *ledger.Ledger) { l.Close(0, req, notRun) },
			change: func(r *core.Request) { r.Attempt = 1 }, verdict: ledger.Refuse, code: api.CodeClosed,
		},
		"a new attempt after a refusal": {
			before: func(l *ledger.Ledger) { l.Close(0, req, notRun) },
			change: func(r *core.Request) { r.Attempt = 3 }, verdict: ledger.New,
		},
		"a new attempt after a query": {
			before: func(l *ledger.Ledger) { l.Close(0, req, notRun); l.CloseAll(l.Get(req.Key)) },
			change: func(r *core.Request) { r.Attempt = 3 }, verdict: ledger.Refuse, code: api.CodeClosed,
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := ledger.NewLedger(limit)
			offered := req
			if c.before != nil {
				c.before(l)
			}
			if c.change != nil {
				c.change(&offered)
			}
			verdict, result := l.Classify(c.at, &offered)
			assert.Equal(t, verdict, c.verdict)
			assert.Equal(t, result.Code, c.code)
		})
	}
}

func TestCloseFailsForARequestThatMayRun(t *testing.T) {
	l := ledger.NewLedger(limit)
	req := core.Request{Key: core.Key{Team: "desk", ID: "request-1"}, Attempt: 1, Deadline: budget}
	l.Admit(0, req, core.Work{}, 1)
	req.Attempt = 2
	assert.Assert(t, !l.Close(0, req, core.Result{Outcome: api.OutcomeNotRun}))
}
