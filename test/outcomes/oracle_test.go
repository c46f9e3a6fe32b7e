package outcomes

import (
	"fmt"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/node"
	"carobshunt/internal/virtual"
)

// oracle compares arrivals at targets with the answers about them. It knows nothing of how either came about.
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

// final is the outcome that a caller ended with.
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

func (o *oracle) answered(req core.Request, result core.Result, at virtual.Time) {
	if !req.Idempotent {
		o.answers = append(o.answers, answer{key: req.Key, home: req.Home, attempt: req.Attempt, result: result, at: at})
	}
}

// checkDeadline checks that a request ended by its deadline.
func (o *oracle) checkDeadline(h *virtual.Host, deadline, resumedAt core.Time, f node.Finish) {
	// A process that resumed late has the rest of that tick and one more to receive the end of the dispatch.
	limit := max(deadline+node.TickInterval, resumedAt+2*node.TickInterval)
	if h.Clock() > limit {
		o.faultf("%v ended at %v, its deadline was %v, the host resumed at %v", f.Key, h.Clock(), deadline, resumedAt)
	}
}

// check checks all arrivals and answers at the end of a schedule.
func (o *oracle) check() {
	for key, arrivals := range o.arrivals {
		if !arrivals[0].idempotent && len(arrivals) > 1 {
			o.faultf("%v arrived %d times: %+v", key, len(arrivals), arrivals)
		}
	}
	for _, a := range o.answers {
		if a.result.Outcome == api.OutcomeNotRun {
			o.checkNotRun(a)
		}
	}
	for _, f := range o.finals {
		o.checkFinal(f)
	}
}

// checkNotRun checks an answer "not run": its attempt and every earlier one must never arrive through that home, and no
// attempt may have arrived through it by then.
func (o *oracle) checkNotRun(a answer) {
	for _, arr := range o.arrivals[a.key] {
		if arr.home == a.home && (arr.attempt <= a.attempt || arr.at <= a.at) {
			o.faultf("%v: attempt %d was answered not run (%s) at %v, but attempt %d arrived at %v",
				a.key, a.attempt, a.result.Code, a.at, arr.attempt, arr.at)
		}
	}
}

func (o *oracle) checkFinal(f final) {
	switch {
	case f.outcome == api.OutcomeNotRun && len(o.arrivals[f.key]) > 0:
		o.faultf("%v: its caller ended with not run (%s), but it arrived", f.key, f.code)
	case f.outcome == api.OutcomeUnknown && f.idempotent:
		o.faultf("%v: unknown (%s) for an idempotent request", f.key, f.code)
	case f.outcome == api.OutcomeUnknown && !f.bodySent:
		o.faultf("%v: unknown (%s) for a request whose body never left its caller", f.key, f.code)
	case f.outcome == api.OutcomeDone && len(o.arrivals[f.key]) == 0:
		o.faultf("%v: done for a request that never arrived", f.key)
	}
}

// callerAttempts exceeds every attempt number that a caller uses.
const callerAttempts = 1000

// closedForGood is the attempt number of answers to queries and cancels: a final one closes all attempts.
const closedForGood = ledger.AllAttempts
