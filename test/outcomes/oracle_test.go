package outcomes

import (
	"fmt"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/node"
	"carobshunt/internal/virtual"
)

// oracle knows what arrived at targets and what was said about it, and nothing of how either came about.
type oracle struct {
	arrivals map[core.Key][]arrival
	answers  []answer
	finals   []final
	faults   []string
}

type arrival struct {
	home       core.Home
	attempt    uint32
	idempotent bool
	at         virtual.Time
}

// answer is a host's answer to a request, whether or not its caller received it.
type answer struct {
	key     core.Key
	home    core.Home
	attempt uint32
	result  core.Result
	at      virtual.Time
}

// final is what a caller took away.
type final struct {
	key        core.Key
	idempotent bool
	bodySent   bool
	outcome    api.Outcome
	code       api.Code
}

func newOracle() *oracle { return &oracle{arrivals: make(map[core.Key][]arrival)} }

func (o *oracle) faultf(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

func (o *oracle) arrived(req core.Request, at virtual.Time) {
	o.arrivals[req.Key] = append(o.arrivals[req.Key], arrival{
		home: req.Home, attempt: req.Attempt % callerAttempts, idempotent: req.Idempotent, at: at,
	})
}

func (o *oracle) said(req core.Request, result core.Result, at virtual.Time) {
	if !req.Idempotent {
		o.answers = append(o.answers, answer{key: req.Key, home: req.Home, attempt: req.Attempt, result: result, at: at})
	}
}

// finished checks that a request ended in time.
func (o *oracle) finished(h *virtual.Host, deadline, woke core.Time, f node.Finish) {
	// A process that resumed late has the rest of that tick and one more to receive the end of the dispatch.
	limit := max(deadline+node.TickInterval, woke+2*node.TickInterval)
	if h.Clock() > limit {
		o.faultf("%v ended at %v, its deadline was %v, the host woke at %v", f.Key, h.Clock(), deadline, woke)
	}
}

// judge checks the whole schedule at its end.
func (o *oracle) judge() {
	for key, arrivals := range o.arrivals {
		if !arrivals[0].idempotent && len(arrivals) > 1 {
			o.faultf("%v arrived %d times: %+v", key, len(arrivals), arrivals)
		}
	}
	for _, a := range o.answers {
		if a.result.Outcome == api.OutcomeNotRun {
			o.judgeNotRun(a)
		}
	}
	for _, f := range o.finals {
		o.judgeFinal(f)
	}
}

// judgeNotRun checks an answer "not run": it speaks for its attempt and every earlier one, and for all that had
// arrived from that home.
func (o *oracle) judgeNotRun(a answer) {
	for _, arr := range o.arrivals[a.key] {
		if arr.home == a.home && (arr.attempt <= a.attempt || arr.at <= a.at) {
			o.faultf("%v attempt %d was told not run (%s) at %v, and attempt %d arrived at %v",
				a.key, a.attempt, a.result.Code, a.at, arr.attempt, arr.at)
		}
	}
}

func (o *oracle) judgeFinal(f final) {
	switch {
	case f.outcome == api.OutcomeNotRun && len(o.arrivals[f.key]) > 0:
		o.faultf("%v: its caller took away not run (%s), and it arrived", f.key, f.code)
	case f.outcome == api.OutcomeUnknown && f.idempotent:
		o.faultf("%v: unknown (%s) was said of an idempotent request", f.key, f.code)
	case f.outcome == api.OutcomeUnknown && !f.bodySent:
		o.faultf("%v: unknown (%s) was said of a request whose body never left its caller", f.key, f.code)
	case f.outcome == api.OutcomeDone && len(o.arrivals[f.key]) == 0:
		o.faultf("%v: done was said of a request that never arrived", f.key)
	}
}

// callerAttempts is above every attempt number that a caller uses.
const callerAttempts = 1000

// closedForGood is the attempt that an answer to a query or a cancel speaks for.
const closedForGood = ledger.AllAttempts
