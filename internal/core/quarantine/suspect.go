package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// lossID identifies a loss by the host that saw it and its number there.
type lossID struct {
	host, incarnation string
	number            uint64
}

// loss is a dispatch that was cut before its prompt was proven harmless.
type loss struct {
	host    string
	process target.Process
	at      core.Time
	// exposure is how long a harmless prompt like this would have run until it was proven harmless, ran how long this one
	// did.
	exposure time.Duration
	ran      time.Duration
	// parts are the parts of the prompt that were not proven harmless.
	parts []core.PartID
}

// has reports whether the loss has all the parts.
func (l *loss) has(parts []core.PartID) bool { return containsAll(l.parts, parts) }

// containsAll reports whether all wanted parts are among the given ones.
func containsAll(parts, wanted []core.PartID) bool {
	return !slices.ContainsFunc(wanted, func(p core.PartID) bool { return !slices.Contains(parts, p) })
}

// suspect is a part of prompts that were lost. No prompt with it was proven harmless since.
type suspect struct {
	part   core.PartID
	losses []*loss
}

const (
	// maxSuspects is the number of suspected parts, maxLosses that of the losses of each.
	maxSuspects = 1024
	maxLosses   = 64
	// maxLossParts is the number of parts of a loss that are considered.
	maxLossParts = 64
)

// recordOwnLoss records the loss of a run of this host.
func (tb *Table) recordOwnLoss(now core.Time, r *run) {
	l := &loss{
		host: tb.self, process: r.Process, at: now, ran: now - r.began, exposure: max(r.Exposure, now-r.began),
		parts: tb.unproven(now, r.Parts),
	}
	if len(l.parts) == 0 {
		return
	}
	tb.addLoss(l)
	tb.news.addLoss(l)
}

// unproven returns the parts that no proof clears of a loss, at most maxLossParts.
func (tb *Table) unproven(lossAt core.Time, parts []core.PartID) []core.PartID {
	var out []core.PartID
	for _, part := range parts {
		if len(out) < maxLossParts && !tb.proofs.clears(part, lossAt) {
			out = append(out, part)
		}
	}
	return out
}

// addLoss adds a loss to the suspects of its parts.
func (tb *Table) addLoss(l *loss) {
	if at, ok := tb.lost[l.process]; ok || len(tb.lost) < maxRemembered {
		tb.lost[l.process] = max(at, l.at)
	}
	tb.recent = append(tb.recent, l)
	for _, part := range l.parts {
		s := tb.suspects[part]
		if s == nil {
			tb.makeRoom()
			s = &suspect{part: part}
			tb.suspects[part] = s
		}
		if len(s.losses) == maxLosses {
			s.losses = s.losses[1:]
		}
		s.losses = append(s.losses, l)
	}
	tb.unjudged = true
}

// makeRoom drops the suspect with the oldest last loss if there is no room for another.
func (tb *Table) makeRoom() {
	if len(tb.suspects) < maxSuspects {
		return
	}
	var oldest *suspect
	for _, s := range tb.suspects {
		if oldest == nil || s.olderThan(oldest) {
			oldest = s
		}
	}
	delete(tb.suspects, oldest.part)
}

// olderThan orders suspects by their last loss, then by their part.
func (s *suspect) olderThan(o *suspect) bool {
	return cmp.Or(cmp.Compare(s.losses[len(s.losses)-1].at, o.losses[len(o.losses)-1].at), cmp.Compare(s.part, o.part)) < 0
}

// keepLosses drops the losses of a suspect that are not to be kept, and the suspect with the last of them.
func (tb *Table) keepLosses(s *suspect, keep func(*loss) bool) {
	s.losses = slices.DeleteFunc(s.losses, func(l *loss) bool { return !keep(l) })
	if len(s.losses) == 0 {
		delete(tb.suspects, s.part)
	}
}

// clearSuspect clears a part that was proven harmless at an instant.
func (tb *Table) clearSuspect(part core.PartID, at core.Time) {
	if s := tb.suspects[part]; s != nil {
		tb.keepLosses(s, func(l *loss) bool { return l.at > at+proofTTL })
	}
}

// retract drops the losses at a process that has not ended.
func (tb *Table) retract(process target.Process) {
	delete(tb.lost, process)
	for _, s := range tb.suspects {
		tb.keepLosses(s, func(l *loss) bool { return l.process != process })
	}
	tb.news.retract(process)
}

// Suspects reports whether prompts with one of the parts have been lost at several processes, so that another dispatch of
// such a prompt is not worth its risk.
func (tb *Table) Suspects(parts []core.PartID) bool {
	return slices.ContainsFunc(parts, func(part core.PartID) bool {
		s := tb.suspects[part]
		return s != nil && endsOf(s.losses).moments >= minMoments-1
	})
}

// momentTime is the time within which the ends of processes may have one cause, such as a failure of a zone or of a path.
const momentTime = 100 * time.Millisecond

// maxEndsAtMoment is the number of processes that count of those that ended at one moment.
const maxEndsAtMoment = 2

// ends are the ends of processes at which the prompts of a suspect were lost.
type ends struct {
	// moments is the number of moments apart from each other, counted one loss for each end that counts.
	moments int
	counted []*loss
}

// endsOf returns the ends that losses show. A process ends once.
func endsOf(losses []*loss) ends {
	ordered := slices.Clone(losses)
	slices.SortStableFunc(ordered, func(a, b *loss) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.exposure, a.exposure))
	})
	var out ends
	var began core.Time
	atMoment := 0
	ended := make(map[target.Process]bool)
	for _, l := range ordered {
		if ended[l.process] && identified(l.process) {
			continue
		}
		ended[l.process] = true
		if out.moments == 0 || l.at-began >= momentTime {
			began, atMoment = l.at, 0
			out.moments++
		}
		if atMoment++; atMoment <= maxEndsAtMoment {
			out.counted = append(out.counted, l)
		}
	}
	return out
}

// priorLost and priorExposure are losses and exposure that are added to those of the prompts without a part: with few of
// them, they say little.
const (
	priorLost     = 1
	priorExposure = 2 * time.Second
)

// evidence returns the logarithm of how unlikely it is that all counted losses are accidents. How often accidents come is
// seen from the losses at processes that have another cause, and so is the chance of one within a loss's exposure.
func (tb *Table) evidence(now core.Time, counted []*loss, caused map[target.Process]bool) float64 {
	rate := tb.accidentRate(now, caused)
	sum := 0.0
	for _, l := range counted {
		sum -= math.Log(-math.Expm1(-rate * ms(l.exposure)))
	}
	return sum
}

// accidentRate returns how often a prompt is lost by accident, in 1/ms: the higher one of the last seconds and of a longer
// time. The ends of the caused processes are no accidents, nor is what was lost with them.
func (tb *Table) accidentRate(now core.Time, caused map[target.Process]bool) float64 {
	all := tb.totalRates(now)
	lately := accidents{exposure: all.ExposureMs, constant: rateTime}
	briefly := accidents{exposure: all.BriefMs, constant: briefTime}
	for _, l := range tb.recent {
		lately.add(now, l, !caused[l.process])
		briefly.add(now, l, !caused[l.process])
	}
	return max(lately.rate(), briefly.rate())
}

// accidents counts losses by accident, with weights that fall with their age by a time constant.
type accidents struct {
	lost, exposure float64
	constant       time.Duration
}

// add counts a loss, or leaves it out with its exposure if it was no accident.
func (a *accidents) add(now core.Time, l *loss, accident bool) {
	w := weight(now-l.at, a.constant)
	if accident {
		a.lost += w
	} else {
		a.exposure -= w * ms(l.ran)
	}
}

// rate returns the accidents for each millisecond of exposure.
func (a *accidents) rate() float64 {
	return (a.lost + priorLost) / (max(a.exposure, 0) + ms(priorExposure))
}

// totalRates returns the rates of all hosts.
func (tb *Table) totalRates(now core.Time) Rates {
	tb.rates.decay(now)
	sum := tb.rates.Rates
	for _, r := range tb.peers {
		sum = sum.plus(r)
	}
	return sum
}
