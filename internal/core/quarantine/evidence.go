package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// priorLost and priorExposure are losses and exposure that are added to those of the requests that are no suspect's: with few
// of them, they say little.
const (
	priorLost     = 1
	priorExposure = 2 * time.Second
)

// minExposure is the least exposure of a loss: a connection may break whatever the request does.
const minExposure = 50 * time.Millisecond

// evidence returns the logarithm of how unlikely it is that all counted losses are accidents. How often accidents come is
// seen from the losses at processes that have another cause, and so is the chance of one within a loss's exposure.
func (tb *Table) evidence(now core.Time, counted []*loss, caused map[target.Process]bool) float64 {
	sum := 0.0
	for _, expected := range tb.expectedAccidents(now, counted, caused) {
		sum -= math.Log(-math.Expm1(-expected))
	}
	return sum
}

// workEvidence returns the logarithm of how unlikely it is that as many runs of a work as counted are lost by accident. Other
// runs of the work were under way beside each of them and could have been lost too. The ends of the caused processes don't count
// for how often accidents come lately, those of the explained ones not for how often they came around a loss.
func (tb *Table) workEvidence(
	now core.Time, work core.WorkID, counted []*loss, caused, explained map[target.Process]bool,
) float64 {
	seen := make(map[bool]*accidentsSeen) // of plain requests and of prompts
	chances := make([]float64, len(counted))
	for i, l := range counted {
		if seen[l.plain] == nil {
			seen[l.plain] = tb.accidentsSeen(now, l.plain, work, caused, explained)
		}
		chances[i] = -math.Expm1(-seen[l.plain].rateAt(l) * ms(max(l.exposure, minExposure)))
	}
	return -math.Log(lossesTail(counted, chances))
}

// lossesTail returns the chance that at least as many runs as the given losses are lost, if each run is lost with the chance of
// the loss that it was or ran beside.
func lossesTail(losses []*loss, chances []float64) float64 {
	count := len(losses)
	lost := make([]float64, count+1) // by number of lost runs, the last for all from count on
	lost[0] = 1
	for i, l := range losses {
		for range 1 + min(l.beside, maxBesideCounted) {
			lost[count] += lost[count-1] * chances[i]
			for j := count - 1; j > 0; j-- {
				lost[j] += (lost[j-1] - lost[j]) * chances[i]
			}
			lost[0] -= lost[0] * chances[i]
		}
	}
	return min(max(lost[count], math.SmallestNonzeroFloat64), 1)
}

// maxBesideCounted bounds the runs beside a loss that are considered.
const maxBesideCounted = 100

// aroundTime is how long before and after a loss others tell how likely it was an accident. Accidents come in waves, as when the
// targets of a release end one after the other; an average over the calm before a wave says too little.
const aroundTime = 500 * time.Millisecond

// accidentsSeen tells how often requests of one kind are lost by accident.
type accidentsSeen struct {
	// lately is the rate over the last seconds, in 1/ms.
	lately float64
	// recent are the last losses of other works, by time. underWay is how many requests were under way at a time.
	recent   []*loss
	underWay float64
}

// accidentsSeen returns how often requests are lost by accident: over the last seconds at processes without a cause, and lately at
// those whose end is not explained. The latter may include processes at which the work was lost: a request that is always under
// way is lost at most processes that end, so that the rest show too few ends.
func (tb *Table) accidentsSeen(
	now core.Time, plain bool, work core.WorkID, caused, explained map[target.Process]bool,
) *accidentsSeen {
	all := tb.ratesOf(plain).total(now)
	lately := accidents{exposure: all.ExposureMs, constant: rateTime}
	out := &accidentsSeen{underWay: max(all.ExposureMs/ms(rateTime), all.BriefMs/ms(briefTime))}
	for _, l := range tb.recent {
		if l.plain != plain {
			continue
		}
		lately.add(now, l, !caused[l.process])
		if !explained[l.process] && !slices.Contains(l.works, work) {
			out.recent = append(out.recent, l)
		}
	}
	slices.SortStableFunc(out.recent, func(a, b *loss) int { return cmp.Compare(a.at, b.at) })
	out.lately = lately.rate()
	return out
}

// rateAt returns how often requests were lost by accident when one of the work was, in 1/ms. What was lost with it says nothing of
// that.
func (a *accidentsSeen) rateAt(l *loss) float64 {
	first, _ := slices.BinarySearchFunc(a.recent, l.at-aroundTime, func(o *loss, at core.Time) int { return cmp.Compare(o.at, at) })
	around := 0
	for _, o := range a.recent[first:] {
		if o.at > l.at+aroundTime {
			break
		}
		if o.process != l.process {
			around++
		}
	}
	return max(a.lately, float64(around)/(a.underWay*ms(2*aroundTime)+ms(priorExposure)))
}

// expectedAccidents returns for each loss how many accidents are expected within its exposure.
func (tb *Table) expectedAccidents(now core.Time, counted []*loss, caused map[target.Process]bool) []float64 {
	rates := make(map[bool]float64) // in 1/ms, of plain requests and of prompts
	out := make([]float64, len(counted))
	for i, l := range counted {
		if _, known := rates[l.plain]; !known {
			rates[l.plain] = tb.accidentRate(now, l.plain, caused)
		}
		out[i] = rates[l.plain] * ms(max(l.exposure, minExposure))
	}
	return out
}

// accidentRate returns how often a prompt or a plain request is lost by accident, in 1/ms: the higher one of the last seconds
// and of a longer time. The ends of the caused processes are no accidents, nor is what was lost with them.
func (tb *Table) accidentRate(now core.Time, plain bool, caused map[target.Process]bool) float64 {
	all := tb.ratesOf(plain).total(now)
	lately := accidents{exposure: all.ExposureMs, constant: rateTime}
	briefly := accidents{exposure: all.BriefMs, constant: briefTime}
	for _, l := range tb.recent {
		if l.plain == plain {
			lately.add(now, l, !caused[l.process])
			briefly.add(now, l, !caused[l.process])
		}
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
