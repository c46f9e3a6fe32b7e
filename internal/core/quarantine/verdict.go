package quarantine

import (
	"fmt"
	"slices"
	"time"

	"carobshunt/internal/core"
)

// Verdict withholds the prompts that have all of some parts. After a while it lets one request through, to see whether the
// targets have been mended since; if that one is lost, the next is let through after twice the time.
type Verdict struct {
	// Parts are the parts, sorted. There are several while the losses do not tell which of them does the harm.
	Parts []core.PartID
	// Since is when the verdict was given, First when the first process ended, as far as known.
	Since core.Time
	First core.Time
	// Ends is the number of moments at which processes ended, Hosts the peer addresses of hosts that saw them.
	Ends  int
	Hosts []string
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
	// minEvidence is the least evidence for a verdict: a chance of 1 in 10,000 that all losses are accidents.
	minEvidence = 9.2
	// minProven is the least number of other prompts that must have been proven harmless lately.
	minProven = 3
	// maxVerdicts is the number of verdicts in force.
	maxVerdicts = 64
	// Times after which a request is let through: at first, and at most.
	firstProbeAfter = 5 * time.Minute
	maxProbeAfter   = time.Hour
	// releaseTTL is how long it is remembered and told that a verdict has ended.
	releaseTTL = time.Minute
)

// release is the end of a verdict.
type release struct {
	parts []core.PartID
	at    core.Time
}

// key identifies a set of sorted parts.
func key(parts []core.PartID) string { return core.PartsText(parts) }

// NextProbe returns when the next request is let through.
func (v *Verdict) NextProbe() core.Time {
	after := min(firstProbeAfter<<min(v.Probes, 8), maxProbeAfter)
	return max(v.Since, v.ProbedAt) + after
}

// Withholds returns the verdict that covers a prompt with the given parts, or nil.
func (tb *Table) Withholds(parts []core.PartID) *Verdict {
	for _, v := range tb.verdicts {
		if containsAll(parts, v.Parts) {
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
}

// judge gives the verdicts that the evidence asks for, the clearest first, since each explains losses of other parts too.
func (tb *Table) judge(now core.Time) {
	if !tb.unjudged || tb.totalRates(now).Proven < minProven {
		return
	}
	for tb.judgeClearest(now) {
	}
	tb.unjudged = false
}

// judgeClearest gives the verdict with the most evidence. It reports false if there is none to give.
func (tb *Table) judgeClearest(now core.Time) bool {
	var best *Verdict
	most := 0.0
	for _, part := range tb.suspectedParts() {
		s := tb.suspects[part]
		losses := tb.unexplained(s)
		distinct := moments(losses)
		if len(distinct) < minMoments {
			continue
		}
		common := commonParts(losses)
		if tb.covered(common) {
			continue
		}
		if e := tb.evidence(now, s, distinct); e >= minEvidence && e > most {
			most = e
			best = newVerdict(now, tb.self, common, losses, distinct)
		}
	}
	if best == nil {
		return false
	}
	tb.give(best, fmt.Sprintf("evidence %.1f, %s", most, tb.ratesText(now)))
	tb.news.urgent = true
	return true
}

// suspectedParts returns the suspected parts in a fixed order.
func (tb *Table) suspectedParts() []core.PartID {
	parts := make([]core.PartID, 0, len(tb.suspects))
	for part := range tb.suspects {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

func newVerdict(now core.Time, by string, parts []core.PartID, losses, distinct []*loss) *Verdict {
	v := &Verdict{Parts: parts, Since: now, First: distinct[0].at, Ends: len(distinct), ProbedAt: never, By: by}
	for _, l := range losses {
		if !slices.Contains(v.Hosts, l.host) {
			v.Hosts = append(v.Hosts, l.host)
		}
	}
	slices.Sort(v.Hosts)
	return v
}

// unexplained returns the losses of a suspect that no verdict on other parts explains.
func (tb *Table) unexplained(s *suspect) []*loss {
	var out []*loss
	for _, l := range s.losses {
		byOther := slices.ContainsFunc(tb.verdicts, func(v *Verdict) bool {
			return !slices.Contains(v.Parts, s.part) && l.has(v.Parts)
		})
		if !byOther {
			out = append(out, l)
		}
	}
	return out
}

// explained reports whether a verdict in force explains a loss.
func (tb *Table) explained(l *loss) bool {
	return slices.ContainsFunc(tb.verdicts, func(v *Verdict) bool { return l.has(v.Parts) })
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

// covered reports whether a verdict in force withholds all prompts with the given parts.
func (tb *Table) covered(parts []core.PartID) bool { return tb.Withholds(parts) != nil }

// give puts a verdict in force in place of those that it covers, and of the oldest if there are too many.
func (tb *Table) give(v *Verdict, reason string) {
	tb.verdicts = slices.DeleteFunc(tb.verdicts, func(o *Verdict) bool { return containsAll(o.Parts, v.Parts) })
	if len(tb.verdicts) == maxVerdicts {
		tb.changes = append(tb.changes, Change{Verdict: *tb.verdicts[0], Ended: true, Reason: "there are too many"})
		tb.verdicts = tb.verdicts[1:]
	}
	tb.verdicts = append(tb.verdicts, v)
	tb.changes = append(tb.changes, Change{Verdict: *v, Reason: reason})
}

// releaseCovering ends the verdicts that cover a prompt that was proven harmless.
func (tb *Table) releaseCovering(now core.Time, parts []core.PartID) {
	for v := tb.Withholds(parts); v != nil; v = tb.Withholds(parts) {
		tb.release(now, v, "a prompt with these parts did no harm")
		tb.news.urgent = true
	}
}

// release ends a verdict, as of an instant.
func (tb *Table) release(at core.Time, v *Verdict, reason string) {
	tb.verdicts = slices.DeleteFunc(tb.verdicts, func(o *Verdict) bool { return o == v })
	tb.released[key(v.Parts)] = release{parts: v.Parts, at: at}
	for _, part := range v.Parts {
		delete(tb.suspects, part)
	}
	tb.changes = append(tb.changes, Change{Verdict: *v, Ended: true, Reason: reason})
}

// ratesText describes how prompts fare, for the log.
func (tb *Table) ratesText(now core.Time) string {
	r := tb.totalRates(now)
	return fmt.Sprintf("lately %.1f prompts proven harmless, %.1f s of exposure", r.Proven, r.ExposureMs/1000)
}
