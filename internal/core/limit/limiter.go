package limit

import (
	"slices"
	"time"

	"carobshunt/internal/core"
)

// Limiter holds the accounts of all teams on one host. It is not safe for concurrent use.
type Limiter struct {
	self  string
	teams map[string]*Team
	rates map[string]float64
	// serving is the assignment in force. before is the oldest one that other hosts may still go by, or nil.
	serving Assignment
	before  Assignment
	// joining is set while other hosts may not count with this process.
	joining bool
	settled core.Time
}

// Assignment tells the peer addresses of the hosts that serve a team.
type Assignment func(team string) []string

// settleTime is how long other hosts may go by an older assignment, unless all have shown that they know the list.
const settleTime = 10 * time.Second

// New returns the limiter of the host with that peer address.
func New(self string) *Limiter {
	return &Limiter{
		self:    self,
		teams:   make(map[string]*Team),
		rates:   make(map[string]float64),
		serving: func(string) []string { return nil },
		joining: true,
		settled: settleTime,
	}
}

// SetRates takes the published rates, in tokens a second by team.
func (l *Limiter) SetRates(now core.Time, rates []Rate) {
	l.rates = make(map[string]float64, len(rates))
	for _, r := range rates {
		l.rates[r.Team] = float64(r.TokensPerSecond)
	}
	l.rebase(now)
}

// Rate is one team's published limit.
type Rate struct {
	Team            string
	TokensPerSecond int64
}

// Assign takes a new assignment. Until it has settled, no share is larger than under the one before, since other
// hosts may still go by that.
func (l *Limiter) Assign(now core.Time, serving Assignment) {
	if !l.joining {
		if l.before == nil {
			l.before = l.serving
		}
		l.settled = now + settleTime
	}
	l.serving = serving
	l.rebase(now)
}

// Settle tells that every listed host has shown that it knows the list.
func (l *Limiter) Settle(now core.Time) {
	l.settled = min(l.settled, now)
	l.settle(now)
}

// settle ends the wait for hosts that may go by an older assignment.
func (l *Limiter) settle(now core.Time) {
	if now < l.settled || (l.before == nil && !l.joining) {
		return
	}
	l.before = nil
	l.joining = false
	l.rebase(now)
}

// rebase works out the base shares anew. Accounts of teams that are no longer published are dropped.
func (l *Limiter) rebase(now core.Time) {
	for name, t := range l.teams {
		t.advance(now, l.started(now))
		rate, published := l.rates[name]
		if !published {
			delete(l.teams, name)
			continue
		}
		t.base = l.baseShare(name, rate)
	}
}

func (l *Limiter) baseShare(team string, rate float64) float64 {
	share := l.shareUnder(l.serving, team, rate)
	if l.before != nil {
		share = min(share, l.shareUnder(l.before, team, rate))
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

// started tells whether every loan that an earlier process of this host may have made is over, and the other hosts
// count with this one.
func (l *Limiter) started(now core.Time) bool { return now >= Term && !l.joining }

// Serves tells whether this host is to take a team's requests.
func (l *Limiter) Serves(team string) bool { return slices.Contains(l.serving(team), l.self) }

// Take admits a request of a team, or returns after how long it may come again.
func (l *Limiter) Take(now core.Time, team string, tokens int64) (time.Duration, bool) {
	l.settle(now)
	t := l.team(team)
	if t == nil {
		return 0, false
	}
	return t.take(now, l.started(now), float64(tokens))
}

// Return gives back what a request took that did not run.
func (l *Limiter) Return(now core.Time, team string, tokens int64) {
	t := l.teams[team]
	if t == nil {
		return
	}
	t.advance(now, l.started(now))
	back := float64(tokens)
	paid := min(back, t.deferred)
	t.deferred -= paid
	t.balance = min(t.balance+back-paid, t.rate(now, l.started(now))*burst.Seconds())
}

// team returns the account of a published team, made when it is first needed.
func (l *Limiter) team(name string) *Team {
	if t := l.teams[name]; t != nil {
		return t
	}
	rate, published := l.rates[name]
	if !published {
		return nil
	}
	t := newTeam(l.baseShare(name, rate))
	l.teams[name] = t
	return t
}

// names returns the teams with an account, sorted.
func (l *Limiter) names() []string {
	out := make([]string, 0, len(l.teams))
	for name := range l.teams {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
