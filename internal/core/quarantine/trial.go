package quarantine

import (
	"time"

	"carobshunt/internal/core"
)

const (
	// trialEnds and minTrialEvidence are the least number of ends and evidence with which hosts take turns with a work: a chance of
	// 1 in 10 that all are accidents. firstTrialAfter is the time until the next one tries; it doubles with each moment from the
	// third on.
	trialEnds        = 2
	minTrialEvidence = 2.3
	firstTrialAfter  = 2 * time.Second
	maxTrialSteps    = 8
)

// Restraint tells that a request is not to be sent on before an instant.
type Restraint struct {
	// Verdict is the verdict that covers the request. Without one, its work may have ended targets, and one host after the other
	// tries it, so that it does not take down all at a time.
	Verdict *Verdict
	// Subject names what is withheld.
	Subject string
	// Next is when the first host may send one on; NotAgain if none may.
	Next core.Time
	// Running is set while this host runs a request of the work.
	Running bool
}

// Restrains returns the restraint on a request, or nil.
func (tb *Table) Restrains(parts []core.PartID, works []core.WorkID) *Restraint {
	if v := tb.Withholds(parts, works); v != nil {
		return &Restraint{Verdict: v, Subject: v.Subject(), Next: v.NextProbe()}
	}
	for _, work := range works {
		if next, ok := tb.trials[work]; ok && len(tb.works.losses(work)) >= trialEnds {
			return &Restraint{Subject: workSubject(work), Next: next, Running: tb.running[work] > 0}
		}
	}
	return nil
}

// setTrial sets when the next host may try a work, if its losses are probably no accidents.
func (tb *Table) setTrial(now core.Time, work core.WorkID) {
	delete(tb.trials, work)
	ended := endsInTurn(tb.works.losses(work))
	caused := processesOf(ended.all)
	if len(ended.all) < trialEnds || tb.workEvidence(now, work, ended.counted, caused, caused) < minTrialEvidence {
		return
	}
	step := min(max(ended.moments-trialEnds, 0), maxTrialSteps)
	tb.trials[work] = ended.all[len(ended.all)-1].at + firstTrialAfter<<step
}
