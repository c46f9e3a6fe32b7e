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
	tb.lost[l.process] = max(tb.lost[l.process], l.at)
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
		return s != nil && len(moments(s.losses)) >= minMoments-1
	})
}

// momentTime is the time within which the ends of processes count as one: a failure of a zone or of a path ends many.
const momentTime = 200 * time.Millisecond

// moments returns one loss for each moment at which processes ended, the one with the longest exposure. A process ends
// once.
func moments(losses []*loss) []*loss {
	ordered := slices.Clone(losses)
	slices.SortStableFunc(ordered, func(a, b *loss) int { return cmp.Compare(a.at, b.at) })
	var out []*loss
	var began core.Time
	ended := make(map[target.Process]bool)
	for _, l := range ordered {
		if ended[l.process] && identified(l.process) {
			continue
		}
		ended[l.process] = true
		switch {
		case len(out) == 0 || l.at-began >= momentTime:
			began = l.at
			out = append(out, l)
		case l.exposure > out[len(out)-1].exposure:
			out[len(out)-1] = l
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

// evidence returns the logarithm of how unlikely it is that all of a suspect's losses are accidents, one loss for each
// moment. How often accidents come is seen from the losses at processes that did not end with the suspect, and so is the
// chance of one within a loss's exposure. What was lost together with the suspect is no accident if the suspect did it.
func (tb *Table) evidence(now core.Time, s *suspect, moments []*loss) float64 {
	with := make(map[target.Process]bool, len(s.losses))
	for _, l := range s.losses {
		with[l.process] = true
	}
	lost, exposure := 0.0, tb.totalRates(now).ExposureMs
	for _, l := range tb.recent {
		w := weight(now - l.at)
		if with[l.process] || tb.explained(l) {
			exposure -= w * ms(l.ran)
		} else {
			lost += w
		}
	}
	rate := (lost + priorLost) / (max(exposure, 0) + ms(priorExposure))
	sum := 0.0
	for _, l := range moments {
		sum -= math.Log(-math.Expm1(-rate * ms(l.exposure)))
	}
	return sum
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
