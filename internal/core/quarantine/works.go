package quarantine

import (
	"fmt"
	"slices"
	"time"

	"carobshunt/internal/core"
)

const (
	// minWorkEnds and minWorkMoments are the least numbers of ends, and of moments at which they came, for a verdict on a work.
	minWorkEnds    = 3
	minWorkMoments = 2
	// minWorkEvidence is the least evidence for a verdict on a work with minWorkEnds ends: a chance of 1 in 1,000 that all of its
	// losses are accidents. It is less than for parts, as a wrong verdict withholds one request and not all of a document.
	minWorkEvidence = 6.9
	// evidenceStep is how much less evidence is needed with each end more, down to leastWorkEvidence, but at most once for each
	// burst after the first.
	evidenceStep      = 2.3
	leastWorkEvidence = 3
	// maxWorkRetries is how often a request may reach targets after minWorkEnds ends, at all hosts together and for good. What
	// comes within burstTime was sent before any host could know.
	maxWorkRetries = 3
	burstTime      = time.Second
	// maxVerdictDelay is how long at most a verdict on a work waits for the runs that were under way when the last target ended.
	// newsMargin is how long the proof of another host takes.
	maxVerdictDelay = 1500 * time.Millisecond
	newsMargin      = 100 * time.Millisecond
)

// workProbeAfter is the time after which a request of a withheld work is let through for the first and for the last time.
// Targets that are mended later get it once an operator has released it.
var workProbeAfter = [...]time.Duration{firstProbeAfter, 10 * time.Minute}

// workProbes returns the number of requests that a verdict on a work lets through: as many as are left, but one at least.
func (v *Verdict) workProbes() int {
	return min(max(maxWorkRetries-v.Retries, 1), len(workProbeAfter))
}

// retries returns how many of a work's ends came later than with the burst of the first.
func retries(all []*loss) int {
	n := 0
	for _, l := range all {
		if l.at > all[minWorkEnds-1].at+burstTime {
			n++
		}
	}
	return n
}

// bursts returns the number of times, burstTime apart, at which ends came. Those of one burst may have one cause that lasts for
// its time, such as targets of a release that end one after the other.
func bursts(counted []*loss) int {
	n := 0
	var began core.Time
	for _, l := range counted {
		if n == 0 || l.at-began >= burstTime {
			n++
			began = l.at
		}
	}
	return n
}

// judgeClearestWork gives the verdict on the work with the most evidence; of works with as much, the most specific one. It
// reports false if there is none to give.
func (tb *Table) judgeClearestWork(now core.Time) bool {
	explained := tb.explainedEnds()
	var best *workCase
	for _, work := range tb.works.withLosses(minWorkEnds) {
		c := tb.workCase(now, explained, work)
		if c != nil && (best == nil || c.clearerThan(best)) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	v := newVerdict(now, tb.self, &best.suspicion)
	v.Work, v.Retries = best.work, retries(best.ends.all)
	tb.give(v, fmt.Sprintf("evidence %.1f", best.evidence))
	tb.news.urgent = true
	return true
}

// workCase is a work whose losses are enough for a verdict.
type workCase struct {
	suspicion
	work core.WorkID
	// specific is set for the more specific of the works of its requests.
	specific bool
}

// clearerThan orders cases.
func (c *workCase) clearerThan(o *workCase) bool {
	if c.specific != o.specific {
		return c.specific
	}
	return c.evidence > o.evidence
}

// workCase returns the case against a work; nil if its losses are too few, or are probably accidents, or if runs that were under
// way at the last end may still prove it harmless. Losses that a verdict on a more specific work explains are no case.
func (tb *Table) workCase(now core.Time, explained explainedEnds, work core.WorkID) *workCase {
	if tb.Withholds(nil, []core.WorkID{work}) != nil {
		return nil
	}
	losses := slices.DeleteFunc(explained.unexplained(tb.works.losses(work)), func(l *loss) bool {
		return tb.Withholds(nil, l.works) != nil
	})
	c := &workCase{work: work, suspicion: suspicion{losses: losses, ends: endsInTurn(losses)}}
	if len(c.ends.counted) < minWorkEnds || c.ends.moments < minWorkMoments {
		return nil
	}
	if last := c.ends.all[len(c.ends.all)-1]; now < last.at+min(last.exposure, maxVerdictDelay)+newsMargin {
		return nil
	}
	c.specific = losses[0].works[0] == work
	c.evidence = tb.workEvidence(now, work, c.ends.counted, explained.with(losses), explained.with())
	steps := min(len(c.ends.counted)-minWorkEnds, bursts(c.ends.counted)-1)
	if c.evidence < max(minWorkEvidence-evidenceStep*float64(steps), leastWorkEvidence) {
		return nil
	}
	return c
}

// releaseUnfounded ends the verdicts on works of which so many targets were seen alive since that too few have ended. A host
// whose own link is broken loses its requests at all targets.
func (tb *Table) releaseUnfounded() {
	for _, v := range slices.Clone(tb.verdicts) {
		if v.Work == 0 || len(endsInTurn(tb.works.losses(v.Work)).all) >= minWorkEnds || v.By != tb.self {
			continue
		}
		tb.release(max(tb.lastLoss, v.Since), v, "the targets have not ended")
		tb.news.urgent = true
	}
}
