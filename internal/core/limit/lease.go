package limit

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/internal/core"
)

// Demand asks other hosts for a loan, in a heartbeat.
type Demand struct {
	Team string `json:"t"`
	// Want is the rate that the host lacks, in tokens per second.
	Want float64 `json:"w"`
}

// Grant lends a part of the sender's rate.
type Grant struct {
	Team string `json:"t"`
	// To is the borrower's peer address, Incarnation its process.
	To          string `json:"to"`
	Incarnation string `json:"inc"`
	// Rate is in tokens per second.
	Rate float64 `json:"r"`
	// UntilMs is the end of the term on the borrower's clock, in milliseconds.
	UntilMs int64 `json:"u"`
}

// Borrower is a peer that asks for a loan, as of its last heartbeat.
type Borrower struct {
	Peer        string
	Incarnation string
	// ClockMs is the borrower's clock when it sent the heartbeat, in milliseconds.
	ClockMs int64
	Demands []Demand
}

// maxDemands limits the demands, and the grants, in one heartbeat.
const maxDemands = 32

// headroom is the factor on its own averaged demand up to which a host keeps its rate for itself before it lends, and up to
// which it asks for loans.
const headroom = 1.2

// negligibleRate is the rate, in tokens per second, below which nothing is asked for and no grant is sent.
const negligibleRate = 1

// Demands returns what this host lacks for the teams that it serves: the maxDemands largest demands, the largest first.
func (l *Limiter) Demands(now core.Time) []Demand {
	l.settle(now)
	var out []Demand
	for _, name := range l.names() {
		a := l.accounts[name]
		a.advance(now, l.fullShare(now))
		if want := a.neededRate() - a.base; a.base > 0 && want > negligibleRate {
			out = append(out, Demand{Team: name, Want: want})
		}
	}
	slices.SortStableFunc(out, func(a, b Demand) int { return cmp.Compare(b.Want, a.Want) })
	return out[:min(len(out), maxDemands)]
}

// Lend records loans of what this host can spare, for one Term from now and in proportion to the borrowers' demands, and
// returns the grants to send. The new loan of a team's rate to a borrower replaces the old one; if the old rate was higher,
// the excess stays booked until the old term ends. All other loans last until their term ends. Nothing is lent until the
// host has its full share. A loan that is too small to send, or for which there is no room beside maxDemands grants, stays
// booked for its term although the borrower does not learn of it.
func (l *Limiter) Lend(now core.Time, borrowers []Borrower) []Grant {
	if !l.fullShare(now) {
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
				spare[d.Team] = l.spareRate(now, d.Team)
			}
			rate := min(d.Want, spare[d.Team]*d.Want/wanted[d.Team])
			if grant, ok := l.grant(now, b, d.Team, rate); ok && len(out) < maxDemands {
				out = append(out, grant)
			}
		}
	}
	return out
}

// spareRate returns the part of the base share that may be lent, including what is lent already.
func (l *Limiter) spareRate(now core.Time, team string) float64 {
	a := l.account(team)
	if a == nil {
		return 0
	}
	a.advance(now, true)
	return max(min(a.base-a.neededRate(), a.base*lendableFraction), 0)
}

// grant replaces the loan to a borrower by one with a new rate and term, within what the other loans leave. It reports
// whether there is a grant to send; a negligible loan is recorded all the same.
func (l *Limiter) grant(now core.Time, b Borrower, team string, rate float64) (Grant, bool) {
	a := l.accounts[team]
	if a == nil {
		return Grant{}, false
	}
	a.expireLoans(now)
	old := a.removeLoan(b.Peer)
	rate = max(min(rate, a.base*lendableFraction-a.lentRate(now)), 0)
	a.lent = append(a.lent, old.replacedBy(loan{peer: b.Peer, rate: rate, until: now + Term})...)
	if rate < negligibleRate {
		return Grant{}, false
	}
	return Grant{
		Team: team, To: b.Peer, Incarnation: b.Incarnation, Rate: rate,
		UntilMs: b.ClockMs + Term.Milliseconds(),
	}, true
}

// removeLoan removes and returns the loan to a peer.
func (a *account) removeLoan(peer string) loan {
	for i, l := range a.lent {
		if l.peer == peer {
			a.lent = slices.Delete(a.lent, i, i+1)
			return l
		}
	}
	return loan{}
}

// replacedBy returns the loans in force after a new one to the same peer: the new one and, until the old term ends, the
// amount by which the old rate was higher. The new grant may be lost, so the borrower may still use the old one.
func (l loan) replacedBy(by loan) []loan {
	out := []loan{by}
	if l.rate > by.rate {
		out = append(out, loan{rate: l.rate - by.rate, until: l.until})
	}
	return out
}

func (a *account) expireLoans(now core.Time) {
	a.lent = slices.DeleteFunc(a.lent, func(l loan) bool { return now >= l.until })
}

// Borrow applies the grants in a lender's heartbeat that are addressed to this process; each replaces the lender's earlier
// loan of the same team's rate.
func (l *Limiter) Borrow(now core.Time, lender, incarnation string, grants []Grant) {
	for _, g := range grants {
		if g.To != l.self || g.Incarnation != incarnation {
			continue
		}
		if a := l.account(g.Team); a != nil {
			a.advance(now, l.fullShare(now))
			a.borrow(now, lender, g)
		}
	}
}

func (a *account) borrow(now core.Time, lender string, g Grant) {
	a.borrowed = slices.DeleteFunc(a.borrowed, func(c credit) bool { return c.lender == lender || now >= c.until })
	until := core.Time(g.UntilMs) * time.Millisecond
	a.borrowed = append(a.borrowed, credit{lender: lender, rate: g.Rate, until: until})
}
