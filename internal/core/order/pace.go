package order

import (
	"slices"
	"time"

	"carobshunt/internal/core"
)

// paceWindow is the time over which loads are counted: a minute plus the longest time between the decision to order a
// load and its start at the weight store, so that loads decided in different minutes can't start within one.
const paceWindow = time.Minute + 10*time.Second

// Shares divides a rate among the members of the published list. The shares add up to the rate and need no messages
// between the members. Members without a share are left out.
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

// Pace limits the loads that one host orders to its share. A raised share takes effect after a whole window, since until
// then other hosts may have used it. The same holds after a process start, since the former process may have used an
// unknown part of the share. It is not safe for concurrent use.
type Pace struct {
	share int64
	// ended are the former shares that were in force within the window. A new process begins with a share of 0.
	ended []endedShare
	// spent are the times of the loads within the window.
	spent []core.Time
}

type endedShare struct {
	share int64
	at    core.Time
}

// Set sets the share, in loads per minute.
func (p *Pace) Set(now core.Time, share int64) {
	if share == p.share {
		return
	}
	p.ended = append(p.ended, endedShare{share: p.share, at: now})
	p.share = share
}

// Take uses one load of the share and reports whether the share allowed it.
func (p *Pace) Take(now core.Time) bool {
	p.forget(now)
	if int64(len(p.spent)) >= p.allowed() {
		return false
	}
	p.spent = append(p.spent, now)
	return true
}

// allowed returns the lowest share within the window.
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
