// Package limit keeps each team within its published rate across all entry hosts, without shared state and without
// asking another host on admission.
//
// Each host that serves a team holds a base share of the team's rate. A host that needs more asks for it in its
// heartbeats; a host with rate to spare lends it for a short term. The lender counts the loan as gone from the moment
// of the grant until the term ends on its own clock. The borrower's term ends on the borrower's clock and begins when
// it sent the heartbeat that the grant answers, so it ends first. Hence the rates of all hosts never add up to more
// than the published one, whatever messages are lost or late and whichever hosts are cut off. A host that receives no
// heartbeats keeps its base share.
package limit

import (
	"time"

	"carobshunt/internal/core"
)

// Term is how long a lent rate may be used.
const Term = 2 * time.Second

// burst is how much unused rate a host may accumulate, as time at that rate.
const burst = time.Second

// lendableFraction is the fraction of its base share that a host may lend. A restarted host no longer knows its loans,
// so it leaves this fraction unused for one term.
const lendableFraction = 0.5

// deferredFraction is the fraction of the rate that pays for requests larger than the burst, so that they do not block
// small ones.
const deferredFraction = 0.75

// maxDeferral limits the time that the deferred tokens take to pay; above it, no further large request is admitted.
const maxDeferral = 60 * time.Second

// demandWindow is the time over which demand is averaged.
const demandWindow = time.Second

// account is one team's account on one host. Rates are in tokens per second, amounts in tokens.
type account struct {
	// base is this host's own share of the published rate.
	base float64
	// balance is what may be spent at once, at most a burst.
	balance float64
	// deferred is the tokens of admitted large requests that are not paid for yet.
	deferred float64
	// demand is the averaged rate of requested tokens, admitted or not. Admitted large requests count in deferred instead,
	// refused ones with their tokens spread over maxDeferral.
	demand  float64
	updated core.Time
	lent    []loan
	// borrowed has at most one entry for each lender; a renewed one moves to the end.
	borrowed []credit
}

// loan is a rate lent to a peer until a time on this host's clock.
type loan struct {
	// peer is the borrower; empty for the excess of a loan that was replaced by a smaller one.
	peer  string
	rate  float64
	until core.Time
}

// credit is a rate borrowed from a peer until a time on this host's clock.
type credit struct {
	lender string
	rate   float64
	until  core.Time
}

// newAccount returns an account from which nothing was taken since the process started.
func newAccount(base float64) *account { return &account{base: base} }

// rate returns the rate that the host may spend now. Without fullShare, the host keeps unused what it could have lent.
func (a *account) rate(now core.Time, fullShare bool) float64 {
	own := a.base - a.lentRate(now)
	if !fullShare {
		own = a.base * (1 - lendableFraction)
	}
	return max(own, 0) + a.borrowedRate(now)
}

func (a *account) lentRate(now core.Time) float64 {
	sum := 0.0
	for _, l := range a.lent {
		if now < l.until {
			sum += l.rate
		}
	}
	return sum
}

func (a *account) borrowedRate(now core.Time) float64 {
	sum := 0.0
	for _, c := range a.borrowed {
		if now < c.until {
			sum += c.rate
		}
	}
	return sum
}

// advance accounts for the time since the last update. The rate pays for deferred tokens first, up to its fraction for
// them; the rest is added to the balance.
func (a *account) advance(now core.Time, fullShare bool) {
	rate := a.rate(now, fullShare)
	seconds := (now - a.updated).Seconds()
	a.updated = now
	earned := rate * seconds
	paid := min(a.deferred, earned*deferredFraction)
	a.deferred -= paid
	a.balance = min(a.balance+earned-paid, rate*burst.Seconds())
	a.demand -= a.demand * min(seconds/demandWindow.Seconds(), 1)
}

// take admits a request of that many tokens, or returns how long to wait before the next try.
func (a *account) take(now core.Time, fullShare bool, tokens float64) (time.Duration, bool) {
	a.advance(now, fullShare)
	rate := a.rate(now, fullShare)
	if rate <= 0 {
		return Term, false
	}
	if tokens > rate*burst.Seconds() {
		return a.takeLarge(rate, tokens)
	}
	a.demand += tokens / demandWindow.Seconds()
	return a.takeSmall(rate, tokens)
}

// neededRate returns the rate that would serve the demand on this host, with headroom, and pay the deferred tokens within
// maxDeferral.
func (a *account) neededRate() float64 { return a.demand*headroom + a.deferred/maxDeferral.Seconds() }

// takeSmall admits a request if the balance covers it.
func (a *account) takeSmall(rate, tokens float64) (time.Duration, bool) {
	if tokens <= a.balance {
		a.balance -= tokens
		return 0, true
	}
	return seconds((tokens - a.balance) / rate), false
}

// takeLarge admits a request larger than the burst, to be paid for over time, unless the deferred tokens take too long.
func (a *account) takeLarge(rate, tokens float64) (time.Duration, bool) {
	backlog := seconds(a.deferred / (rate * deferredFraction))
	if backlog > maxDeferral {
		a.demand += tokens / maxDeferral.Seconds()
		return backlog - maxDeferral, false
	}
	a.deferred += tokens
	return 0, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
