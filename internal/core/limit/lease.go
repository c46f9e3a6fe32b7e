package limit

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/internal/core"
)

// Demand is what a host asks for in its heartbeat.
type Demand struct {
	Team string `json:"t"`
	// Want is the rate that is missing, in tokens a second.
	Want float64 `json:"w"`
}

// Grant lends a part of the sender's rate.
type Grant struct {
	Team string `json:"t"`
	// To is the borrower's peer address, Incarnation its process.
	To          string `json:"to"`
	Incarnation string `json:"inc"`
	// Rate is in tokens a second.
	Rate float64 `json:"r"`
	// UntilMs is the end of the term on the borrower's clock, in milliseconds.
	UntilMs int64 `json:"u"`
}

// Borrower is a peer that asks, as its last heartbeat showed it.
type Borrower struct {
	Peer        string
	Incarnation string
	// ClockMs is the borrower's clock when it sent the heartbeat, in milliseconds.
	ClockMs int64
	Demands []Demand
}

// maxDemands bounds the demands and grants of one heartbeat.
const maxDemands = 32

// headroom is how much more than its demand a host keeps for itself before it lends.
const headroom = 1.2

// idleDemand is the demand, in tokens a second, below which an account counts as unused.
const idleDemand = 1

// Demands returns what this host lacks, the largest first.
func (l *Limiter) Demands(now core.Time) []Demand {
	l.settle(now)
	var out []Demand
	for _, name := range l.names() {
		t := l.teams[name]
		t.advance(now, l.started(now))
		if want := t.need() - t.base; t.base > 0 && want > idleDemand {
			out = append(out, Demand{Team: name, Want: want})
		}
	}
	slices.SortStableFunc(out, func(a, b Demand) int { return cmp.Compare(b.Want, a.Want) })
	return out[:min(len(out), maxDemands)]
}

// Lend grants what this host can spare, split in proportion to what the borrowers want. What was lent before stays
// lent until its term is over.
func (l *Limiter) Lend(now core.Time, borrowers []Borrower) []Grant {
	if !l.started(now) {
		return nil
	}
	wanted := make(map[string]float64)
	for _, b := range borrowers {
		for _, d := range b.Demands {
			wanted[d.Team] += d.Want
		}
	}
	spare := make(map[string]float64)
	var out []Grant
	for _, b := range borrowers {
		for _, d := range b.Demands {
			if _, seen := spare[d.Team]; !seen {
				spare[d.Team] = l.spare(now, d.Team)
			}
			rate := min(d.Want, spare[d.Team]*d.Want/wanted[d.Team])
			if grant, ok := l.grant(now, b, d.Team, rate); ok && len(out) < maxDemands {
				out = append(out, grant)
			}
		}
	}
	return out
}

// spare is the part of the base share that may be lent, with what is lent already.
func (l *Limiter) spare(now core.Time, team string) float64 {
	t := l.team(team)
	if t == nil {
		return 0
	}
	t.advance(now, true)
	return max(min(t.base-t.need(), t.base*lendablePart), 0)
}

// grant replaces the loan to a borrower by one of a new rate and term, as far as what others still hold allows.
func (l *Limiter) grant(now core.Time, b Borrower, team string, rate float64) (Grant, bool) {
	t := l.teams[team]
	if t == nil {
		return Grant{}, false
	}
	t.expireLoans(now)
	before := t.takeBack(b.Peer)
	rate = max(min(rate, t.base*lendablePart-t.lentRate(now)), 0)
	t.lent = append(t.lent, before.replaced(loan{peer: b.Peer, rate: rate, until: now + Term})...)
	if rate < idleDemand {
		return Grant{}, false
	}
	return Grant{
		Team: team, To: b.Peer, Incarnation: b.Incarnation, Rate: rate,
		UntilMs: b.ClockMs + Term.Milliseconds(),
	}, true
}

// takeBack removes the loan to a peer, to be replaced.
func (t *Team) takeBack(peer string) loan {
	for i, one := range t.lent {
		if one.peer == peer {
			t.lent = slices.Delete(t.lent, i, i+1)
			return one
		}
	}
	return loan{}
}

// replaced returns the loans that stand after a further one to the same peer: the new one, and what the old one was
// higher by until its own term is over, since the new grant may be lost.
func (l loan) replaced(by loan) []loan {
	out := []loan{by}
	if l.rate > by.rate {
		out = append(out, loan{rate: l.rate - by.rate, until: l.until})
	}
	return out
}

func (t *Team) expireLoans(now core.Time) {
	t.lent = slices.DeleteFunc(t.lent, func(one loan) bool { return now >= one.until })
}

// Borrow takes the grants of a lender's heartbeat that are meant for this process.
func (l *Limiter) Borrow(now core.Time, lender, incarnation string, grants []Grant) {
	for _, g := range grants {
		if g.To != l.self || g.Incarnation != incarnation {
			continue
		}
		if t := l.team(g.Team); t != nil {
			t.advance(now, l.started(now))
			t.credit(now, lender, g)
		}
	}
}

func (t *Team) credit(now core.Time, lender string, g Grant) {
	t.borrowed = slices.DeleteFunc(t.borrowed, func(c credit) bool { return c.lender == lender || now >= c.until })
	until := core.Time(g.UntilMs) * time.Millisecond
	t.borrowed = append(t.borrowed, credit{lender: lender, rate: g.Rate, until: until})
}
