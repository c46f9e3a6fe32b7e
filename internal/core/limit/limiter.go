package limit

import (
	"slices"
	"time"

	"carobshunt/internal/core"
)

// Limiter holds the accounts of all teams on one host. It is not safe for concurrent use.
type Limiter struct {
	self     string
	accounts map[string]*account
	// rates are the published rates by team, in tokens per second.
	rates map[string]float64
	// serving is the assignment in force; previous is the oldest one that other hosts may still apply, or nil.
	serving  Assignment
	previous Assignment
	// joining is set while other hosts may not include this process in their shares yet.
	joining bool
	// settlesAt is when previous and joining are cleared.
	settlesAt core.Time
}

// Assignment returns the peer addresses of the hosts that serve a team.
type Assignment func(team string) []string

// settleTime is how long other hosts may apply an older assignment, unless all have confirmed the host list.
const settleTime = 10 * time.Second

// New returns the limiter of the host with that peer address.
func New(self string) *Limiter {
	return &Limiter{
		self:      self,
		accounts:  make(map[string]*account),
		rates:     make(map[string]float64),
		serving:   func(string) []string { return nil },
		joining:   true,
		settlesAt: settleTime,
	}
}

// SetRates replaces the published rates.
func (l *Limiter) SetRates(now core.Time, rates []Rate) {
	l.rates = make(map[string]float64, len(rates))
	for _, r := range rates {
		l.rates[r.Team] = float64(r.TokensPerSecond)
	}
	l.updateBaseShares(now)
}

// Rate is one team's published limit, in tokens per second.
type Rate struct {
	Team            string
	TokensPerSecond int64
}

// Assign sets a new assignment. Until it has settled, no share is larger than under the previous one, which other hosts
// may still apply.
func (l *Limiter) Assign(now core.Time, serving Assignment) {
	if !l.joining {
		if l.previous == nil {
			l.previous = l.serving
		}
		l.settlesAt = now + settleTime
	}
	l.serving = serving
	l.updateBaseShares(now)
}

// Settle records that every listed host has confirmed the host list, which ends the wait after Assign or after the start
// of the process.
func (l *Limiter) Settle(now core.Time) {
	l.settlesAt = min(l.settlesAt, now)
	l.settle(now)
}

// settle ends the wait for hosts that may apply an older assignment, or may not know this process, if it is over.
func (l *Limiter) settle(now core.Time) {
	if now < l.settlesAt || (l.previous == nil && !l.joining) {
		return
	}
	l.previous = nil
	l.joining = false
	l.updateBaseShares(now)
}

// updateBaseShares recomputes the base shares and drops the accounts of teams that are no longer published.
func (l *Limiter) updateBaseShares(now core.Time) {
	for name, a := range l.accounts {
		a.advance(now, l.fullShare(now))
		rate, published := l.rates[name]
		if !published {
			delete(l.accounts, name)
			continue
		}
		a.base = l.baseShare(name, rate)
	}
}

// baseShare returns this host's share of a rate: the smaller one while other hosts may still apply an older assignment.
func (l *Limiter) baseShare(team string, rate float64) float64 {
	share := l.shareUnder(l.serving, team, rate)
	if l.previous != nil {
		share = min(share, l.shareUnder(l.previous, team, rate))
	}
	return share
}

func (l *Limiter) shareUnder(serving Assignment, team string, rate float64) float64 {
	hosts := serving(team)
	if !slices.Contains(hosts, l.self) {
		return 0
	}
	return rate / float64(len(hosts))
}

// fullShare reports whether the host may use and lend its whole base share: every loan of an earlier process of this
// host has ended, and the other hosts include this one in their shares.
func (l *Limiter) fullShare(now core.Time) bool { return now >= Term && !l.joining }

// Serves reports whether this host serves a team's requests.
func (l *Limiter) Serves(team string) bool { return slices.Contains(l.serving(team), l.self) }

// Take admits a request of a team, or returns how long to wait before the next try: 0 if the team has no published rate.
func (l *Limiter) Take(now core.Time, team string, tokens int64) (time.Duration, bool) {
	l.settle(now)
	a := l.account(team)
	if a == nil {
		return 0, false
	}
	return a.take(now, l.fullShare(now), float64(tokens))
}

// Refund refunds the tokens of a request that did not run.
func (l *Limiter) Refund(now core.Time, team string, tokens int64) {
	a := l.accounts[team]
	if a == nil {
		return
	}
	a.advance(now, l.fullShare(now))
	refund := float64(tokens)
	paid := min(refund, a.deferred)
	a.deferred -= paid
	a.balance = min(a.balance+refund-paid, a.rate(now, l.fullShare(now))*burst.Seconds())
}

// account returns the account of a published team, or nil. It opens the account on first use.
func (l *Limiter) account(name string) *account {
	if a := l.accounts[name]; a != nil {
		return a
	}
	rate, published := l.rates[name]
	if !published {
		return nil
	}
	a := newAccount(l.baseShare(name, rate))
	l.accounts[name] = a
	return a
}

// names returns the teams with an account, sorted.
func (l *Limiter) names() []string {
	out := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
