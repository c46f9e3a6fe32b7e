// Package limit keeps each team within its published rate across all entry hosts, without shared state and without
// asking anybody when a request comes.
//
// Each host that serves a team holds a base share of the team's rate. A host that needs more says so in its
// heartbeats; one that has some to spare lends it for a short term. The lender counts what it lent as gone from the
// moment of the grant until the term is over on its own clock; the borrower's term ends on the borrower's clock,
// counted from a reading that it sent before the grant was made. So at every instant the rates of all hosts add up
// to no more than the published one, whatever is lost, late or cut, and a host that hears nobody keeps its base
// share.
package limit

import (
	"time"

	"carobshunt/internal/core"
)

// Term is how long a lent rate may be used.
const Term = 2 * time.Second

// burst is how much unused rate a host may save up.
const burst = time.Second

// lendablePart is the part of its base share that a host may lend. It is what a restarted host, which has forgotten
// its loans, leaves unused for one term.
const lendablePart = 0.5

// deferredPart is the part of the rate that pays for requests too large for the burst, so that they do not keep
// small ones out.
const deferredPart = 0.75

// maxDeferred is how far ahead deferred tokens may reach; beyond it, no further large request is admitted.
const maxDeferred = 60 * time.Second

// demandWindow is the time over which demand is averaged.
const demandWindow = time.Second

// Team is one team's account on one host. Rates are in tokens a second, amounts in tokens.
type Team struct {
	// base is this host's own share of the published rate.
	base float64
	// balance is what may be spent at once; at most a burst's worth.
	balance float64
	// deferred are tokens of admitted large requests that are still to be paid for.
	deferred float64
	// demand is the averaged rate at which requests ask for tokens, admitted or not.
	demand  float64
	updated core.Time
	lent    []loan
	// borrowed is by lender, in the order in which lenders were first heard.
	borrowed []credit
}

// loan is a rate lent to a peer until an instant of this host's clock.
type loan struct {
	peer  string
	rate  float64
	until core.Time
}

// credit is a rate borrowed from a peer until an instant of this host's clock.
type credit struct {
	lender string
	rate   float64
	until  core.Time
}

// newTeam returns an account that nothing was taken from since the process started.
func newTeam(base float64) *Team { return &Team{base: base} }

// rate is what the host may spend now.
func (t *Team) rate(now core.Time, started bool) float64 {
	own := t.base - t.lentRate(now)
	if !started {
		own = t.base * (1 - lendablePart)
	}
	return max(own, 0) + t.borrowedRate(now)
}

func (t *Team) lentRate(now core.Time) float64 {
	sum := 0.0
	for _, l := range t.lent {
		if now < l.until {
			sum += l.rate
		}
	}
	return sum
}

func (t *Team) borrowedRate(now core.Time) float64 {
	sum := 0.0
	for _, c := range t.borrowed {
		if now < c.until {
			sum += c.rate
		}
	}
	return sum
}

// advance lets time pass: the rate pays for deferred tokens first, up to its part, and the rest is saved.
func (t *Team) advance(now core.Time, started bool) {
	rate := t.rate(now, started)
	seconds := (now - t.updated).Seconds()
	t.updated = now
	earned := rate * seconds
	paid := min(t.deferred, earned*deferredPart)
	t.deferred -= paid
	t.balance = min(t.balance+earned-paid, rate*burst.Seconds())
	t.demand -= t.demand * min(seconds/demandWindow.Seconds(), 1)
}

// take admits a request of that many tokens, or returns how long to wait before asking again.
func (t *Team) take(now core.Time, started bool, tokens float64) (time.Duration, bool) {
	t.advance(now, started)
	rate := t.rate(now, started)
	if rate <= 0 {
		return Term, false
	}
	if tokens > rate*burst.Seconds() {
		return t.takeLarge(rate, tokens)
	}
	t.demand += tokens / demandWindow.Seconds()
	return t.takeSmall(rate, tokens)
}

// need is the rate that would serve what is asked of this host.
func (t *Team) need() float64 { return t.demand*headroom + t.deferred/maxDeferred.Seconds() }

func (t *Team) takeSmall(rate, tokens float64) (time.Duration, bool) {
	if tokens <= t.balance {
		t.balance -= tokens
		return 0, true
	}
	return seconds((tokens - t.balance) / rate), false
}

func (t *Team) takeLarge(rate, tokens float64) (time.Duration, bool) {
	ahead := seconds(t.deferred / (rate * deferredPart))
	if ahead > maxDeferred {
		t.demand += tokens / maxDeferred.Seconds()
		return ahead - maxDeferred, false
	}
	t.deferred += tokens
	return 0, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
