package quarantine

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// Verdict withholds the requests of a work, or the prompts that have all of some parts. After a while it lets one request
// through, to see whether the targets have been mended since, or the verdict is wrong; if that one is lost, the next is let
// through after a longer time.
type Verdict struct {
	// Work is the work; 0 for a verdict on parts.
	Work core.WorkID
	// Parts are the parts, sorted. There are several while the losses do not tell which of them does the harm.
	Parts []core.PartID
	// Since is when the verdict was given, First when the first process ended, as far as known.
	Since core.Time
	First core.Time
	// Ends is the number of moments at which processes ended, Hosts the peer addresses of hosts that saw them.
	Ends  int
	Hosts []string
	// Retries is how often a work had reached targets again when the verdict was given.
	Retries int
	// Probes is the number of requests that were let through, ProbedAt when the last one was; never before.
	Probes   int
	ProbedAt core.Time
	// By is the peer address of the host that gave the verdict.
	By string
}

// Change is a verdict that was given or that has ended, and why, for the log and for other hosts.
type Change struct {
	Verdict Verdict
	Ended   bool
	Reason  string
}

const (
	// minMoments is the least number of moments at which processes must have ended.
	minMoments = 3
	// minEvidence is the least evidence for a verdict: a chance of 1 in 100,000 that all losses are accidents.
	minEvidence = 11.5
	// minProven is the least number of other prompts that must have been proven harmless lately.
	minProven = 3
	// maxVerdicts is the number of verdicts in force.
	maxVerdicts = 64
	// Times after which a request is let through: at first, and at most.
	firstProbeAfter = 20 * time.Second
	maxProbeAfter   = time.Hour
	// probeFactor is the factor between one of these times and the next.
	probeFactor   = 6
	maxProbeSteps = 4
	// releaseTTL is how long it is remembered and told that a verdict has ended.
	releaseTTL = time.Minute
)

// release is the end of a verdict.
type release struct {
	work  core.WorkID
	parts []core.PartID
	at    core.Time
}

// Subject names what the verdict is on. No two verdicts in force have the same.
func (v *Verdict) Subject() string {
	if v.Work != 0 {
		return workSubject(v.Work)
	}
	return "parts " + core.PartsText(v.Parts)
}

// workSubject names a work that is withheld or awaits its turn.
func workSubject(work core.WorkID) string { return "request " + work.String() }

// covers reports whether the verdict withholds a request.
func (v *Verdict) covers(parts []core.PartID, works []core.WorkID) bool {
	if v.Work != 0 {
		return slices.Contains(works, v.Work)
	}
	return containsAll(parts, v.Parts)
}

// explains reports whether a lost request is one that the verdict covers.
func (v *Verdict) explains(l *loss) bool { return v.covers(l.parts, l.works) }

// NotAgain stands for an instant that does not come.
const NotAgain = core.Time(math.MaxInt64)

// NextProbe returns when the next request is let through; NotAgain if none is.
func (v *Verdict) NextProbe() core.Time {
	last := max(v.Since, v.ProbedAt)
	if v.Work != 0 {
		if v.Probes >= v.workProbes() {
			return NotAgain
		}
		return last + workProbeAfter[v.Probes]
	}
	after := firstProbeAfter
	for range min(v.Probes, maxProbeSteps) {
		after = min(after*probeFactor, maxProbeAfter)
	}
	return last + after
}

// Withholds returns the verdict that covers a request, or nil.
func (tb *Table) Withholds(parts []core.PartID, works []core.WorkID) *Verdict {
	for _, v := range tb.verdicts {
		if v.covers(parts, works) {
			return v
		}
	}
	return nil
}

// Verdicts returns the verdicts in force. The caller must not change them.
func (tb *Table) Verdicts() []*Verdict { return tb.verdicts }

// Probe records that a request that the verdict covers is let through.
func (tb *Table) Probe(now core.Time, v *Verdict) {
	v.Probes++
	v.ProbedAt = now
	tb.news.urgent = true
}

// judge gives the verdicts that the evidence asks for, the clearest first, since each explains losses of other parts too.
func (tb *Table) judge(now core.Time) {
	if now <= tb.lastLoss+maxVerdictDelay+2*newsMargin {
		for tb.judgeClearestWork(now) {
		}
	}
	if !tb.unjudged || tb.prompts.total(now).Proven < minProven {
		return
	}
	for tb.judgeClearest(now) {
	}
	tb.unjudged = false
}

// judgeClearest gives the verdict with the most evidence. It reports false if there is none to give.
func (tb *Table) judgeClearest(now core.Time) bool {
	explained := tb.explainedEnds()
	cases := tb.cases(explained)
	var best *suspicion
	for _, c := range cases {
		c.evidence = tb.evidence(now, c.ends.counted, explained.with(c.losses))
		for _, rival := range cases {
			if c.evidence < minEvidence && rival != c {
				c.evidence = tb.evidenceBeside(now, explained, c, rival)
			}
		}
		if c.evidence >= minEvidence && (best == nil || c.evidence > best.evidence) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	tb.give(newVerdict(now, tb.self, best), fmt.Sprintf("evidence %.1f, %s", best.evidence, tb.ratesText(now)))
	tb.news.urgent = true
	return true
}

// SuspectsPart reports whether prompts with one of the parts have been lost at several processes, so that another dispatch of
// such a prompt is not worth its risk.
func (tb *Table) SuspectsPart(parts []core.PartID) bool {
	return slices.ContainsFunc(parts, func(part core.PartID) bool {
		return endsOf(tb.parts.losses(part)).moments >= minMoments-1
	})
}

// suspicion is a suspect whose losses may be enough for a verdict.
type suspicion struct {
	// losses are those that no verdict explains, common are the parts that all of them have.
	losses   []*loss
	common   []core.PartID
	ends     ends
	evidence float64
}

// maxCases is the number of suspects that are judged at a time, those with the most ends.
const maxCases = 8

// cases returns the suspects with ends at enough moments, the most ends first, without those that a verdict covers.
func (tb *Table) cases(explained explainedEnds) []*suspicion {
	var out []*suspicion
	for _, part := range tb.parts.withLosses(minMoments) {
		losses := distinctRequests(explained.unexplained(tb.parts.losses(part)))
		if len(losses) < minMoments {
			continue
		}
		ends := endsOf(losses)
		if ends.moments < minMoments {
			continue
		}
		if common := commonParts(losses); tb.Withholds(common, nil) == nil {
			out = append(out, &suspicion{losses: losses, common: common, ends: ends})
		}
	}
	slices.SortStableFunc(out, func(a, b *suspicion) int { return len(b.ends.counted) - len(a.ends.counted) })
	return out[:min(len(out), maxCases)]
}

// evidenceBeside returns the evidence of a case if another one has caused ends too: that of its losses at the other
// processes. It is 0 unless the evidence of the other case stands in the same way.
func (tb *Table) evidenceBeside(now core.Time, explained explainedEnds, c, rival *suspicion) float64 {
	own, other := lossesApart(c, rival), lossesApart(rival, c)
	if own.moments < minMoments || other.moments < minMoments {
		return 0
	}
	caused := explained.with(c.losses, rival.losses)
	if tb.evidence(now, other.counted, caused) < minEvidence {
		return 0
	}
	return tb.evidence(now, own.counted, caused)
}

// lossesApart returns the ends of a case at processes where the other one had no loss.
func lossesApart(c, other *suspicion) ends {
	with := processesOf(other.losses)
	return endsOf(slices.DeleteFunc(slices.Clone(c.losses), func(l *loss) bool { return with[l.process] }))
}

func newVerdict(now core.Time, by string, c *suspicion) *Verdict {
	return &Verdict{
		Parts: c.common, Since: now, First: c.ends.counted[0].at, Ends: c.ends.moments, Hosts: hostsOf(c.losses), ProbedAt: never, By: by,
	}
}

// hostsOf returns the hosts that saw the losses, sorted.
func hostsOf(losses []*loss) []string {
	var hosts []string
	for _, l := range losses {
		hosts = append(hosts, l.host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// explainedEnds are the processes whose end a verdict explains, by verdict: a prompt that it covers was lost there.
type explainedEnds map[*Verdict]map[target.Process]bool

// explainedEnds returns the ends that the verdicts in force explain.
func (tb *Table) explainedEnds() explainedEnds {
	out := make(explainedEnds)
	for _, v := range tb.verdicts {
		losses := tb.works.losses(v.Work)
		if v.Work == 0 {
			losses = tb.parts.losses(v.Parts[0])
		}
		out[v] = make(map[target.Process]bool)
		for _, l := range losses {
			if v.explains(l) {
				out[v][l.process] = true
			}
		}
	}
	return out
}

// unexplained returns the losses without those of other requests at processes whose end a verdict explains.
func (e explainedEnds) unexplained(losses []*loss) []*loss {
	out := slices.Clone(losses)
	for v, ended := range e {
		out = slices.DeleteFunc(out, func(l *loss) bool { return ended[l.process] && !v.explains(l) })
	}
	return out
}

// with returns the processes whose ends have a cause: a verdict, or one of the losses.
func (e explainedEnds) with(losses ...[]*loss) map[target.Process]bool {
	caused := processesOf(losses...)
	for _, ended := range e {
		maps.Copy(caused, ended)
	}
	return caused
}

// processesOf returns the processes at which there were losses.
func processesOf(losses ...[]*loss) map[target.Process]bool {
	out := make(map[target.Process]bool)
	for _, some := range losses {
		for _, l := range some {
			out[l.process] = true
		}
	}
	return out
}

// commonParts returns the parts that all the losses have, sorted.
func commonParts(losses []*loss) []core.PartID {
	common := slices.Clone(losses[0].parts)
	for _, l := range losses[1:] {
		common = slices.DeleteFunc(common, func(p core.PartID) bool { return !slices.Contains(l.parts, p) })
	}
	slices.Sort(common)
	return common
}

// give puts a verdict in force in place of those that it covers, and of the oldest if there are too many.
func (tb *Table) give(v *Verdict, reason string) {
	if v.Work == 0 {
		tb.verdicts = slices.DeleteFunc(tb.verdicts, func(o *Verdict) bool { return o.Work == 0 && containsAll(o.Parts, v.Parts) })
	}
	if len(tb.verdicts) == maxVerdicts {
		tb.changes = append(tb.changes, Change{Verdict: *tb.verdicts[0], Ended: true, Reason: "there are too many"})
		tb.verdicts = tb.verdicts[1:]
	}
	tb.verdicts = append(tb.verdicts, v)
	tb.changes = append(tb.changes, Change{Verdict: *v, Reason: reason})
}

// releaseCovering ends the verdicts that cover a request that was proven harmless.
func (tb *Table) releaseCovering(now core.Time, parts []core.PartID, works []core.WorkID) {
	for v := tb.Withholds(parts, works); v != nil; v = tb.Withholds(parts, works) {
		tb.release(now, v, "such a request did no harm")
		tb.news.urgent = true
	}
}

// Release ends a verdict by an operator's word.
func (tb *Table) Release(now core.Time, v *Verdict) {
	tb.release(now, v, "released by an operator")
	tb.news.urgent = true
}

// release ends a verdict, as of an instant.
func (tb *Table) release(at core.Time, v *Verdict, reason string) {
	tb.verdicts = slices.DeleteFunc(tb.verdicts, func(o *Verdict) bool { return o == v })
	tb.makeReleaseRoom()
	tb.released[v.Subject()] = release{work: v.Work, parts: v.Parts, at: at}
	for _, part := range v.Parts {
		delete(tb.parts.byID, part)
	}
	delete(tb.works.byID, v.Work)
	tb.changes = append(tb.changes, Change{Verdict: *v, Ended: true, Reason: reason})
}

// makeReleaseRoom forgets the oldest end of a verdict if there is no room for another.
func (tb *Table) makeReleaseRoom() {
	if len(tb.released) < maxVerdicts {
		return
	}
	oldest := ""
	for k, r := range tb.released {
		o, ok := tb.released[oldest]
		if !ok || r.at < o.at || r.at == o.at && k < oldest {
			oldest = k
		}
	}
	delete(tb.released, oldest)
}

// ratesText describes how prompts fare, for the log.
func (tb *Table) ratesText(now core.Time) string {
	r := tb.prompts.total(now)
	return fmt.Sprintf("lately %.1f prompts proven harmless, %.1f s of exposure", r.Proven, r.ExposureMs/1000)
}
