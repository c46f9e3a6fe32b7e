package order

import (
	"slices"
	"time"

	"carobshunt/internal/core"
)

// paceWindow is the time over which loads are counted: a minute, and the longest time between the decision to order
// a load and its begin at the weight store, so that loads that were decided apart can't begin together.
const paceWindow = time.Minute + 10*time.Second

// Shares are the parts of a rate that the members of the published list may use, each on its own. They add up to the
// rate, with no message between the members. A member without a part is left out.
func Shares(rate int64, published []string) map[string]int64 {
	sorted := slices.Clone(published)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	out := make(map[string]int64)
	n := int64(len(sorted))
	for i, member := range sorted {
		share := rate / n
		if int64(i) < rate%n {
			share++
		}
		if share > 0 {
			out[member] = share
		}
	}
	return out
}

// Pace keeps one host to its share. A share that rises counts only when it has stood for a whole window, since
// others may have used it until then; a process that has just started has used an unknown part of its own. It is
// not safe for concurrent use.
type Pace struct {
	share int64
	// ended are the shares that were in force within the window, with the time at which each ended. A new process
	// begins with a share of 0.
	ended []endedShare
	spent []core.Time
}

type endedShare struct {
	share int64
	at    core.Time
}

// Set puts a share into force.
func (p *Pace) Set(now core.Time, share int64) {
	if share == p.share {
		return
	}
	p.ended = append(p.ended, endedShare{share: p.share, at: now})
	p.share = share
}

// Take uses one load, if the share allows it.
func (p *Pace) Take(now core.Time) bool {
	p.forget(now)
	if int64(len(p.spent)) >= p.allowed() {
		return false
	}
	p.spent = append(p.spent, now)
	return true
}

func (p *Pace) allowed() int64 {
	least := p.share
	for _, e := range p.ended {
		least = min(least, e.share)
	}
	return least
}

func (p *Pace) forget(now core.Time) {
	p.spent = slices.DeleteFunc(p.spent, func(at core.Time) bool { return now-at >= paceWindow })
	p.ended = slices.DeleteFunc(p.ended, func(e endedShare) bool { return now-e.at >= paceWindow })
}
