package limit

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/internal/core"

	"github.com/cespare/xxhash/v2"
)

// TeamHosts is how many hosts serve one team at most. With fewer hosts than that, all serve every team.
const TeamHosts = 8

// Limiter holds the accounts of all teams on one host. It is not safe for concurrent use.
type Limiter struct {
	self  string
	teams map[string]*Team
	rates map[string]float64
	hosts []string
	// spread is how many hosts shared each team's rate under the list before, until settled. joining is set while
	// other hosts may not know of this one.
	spread  int
	joining bool
	settled core.Time
}

// settleTime is how long a host that is new, or whose share grows because the host list became shorter, waits before
// it uses the whole share, unless all hosts have shown that they know the list.
const settleTime = 10 * time.Second

// New returns the limiter of the host with that peer address.
func New(self string) *Limiter {
	return &Limiter{
		self:    self,
		teams:   make(map[string]*Team),
		rates:   make(map[string]float64),
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

// SetHosts takes the peer addresses of the listed entry hosts. A list that is shorter than the one before makes
// shares grow only after settleTime, since other hosts may still go by the longer one.
func (l *Limiter) SetHosts(now core.Time, hosts []string) {
	before := len(l.hosts)
	l.hosts = slices.Clone(hosts)
	slices.Sort(l.hosts)
	if len(l.hosts) < before {
		l.spread = max(l.spread, before)
		l.settled = now + settleTime
	}
	l.rebase(now)
}

// Settle lets shares grow now: every listed host has shown that it knows the list.
func (l *Limiter) Settle(now core.Time) {
	l.settled = min(l.settled, now)
	l.settle(now)
}

// settle ends the wait for hosts that may go by an older list.
func (l *Limiter) settle(now core.Time) {
	if now < l.settled || (l.spread == 0 && !l.joining) {
		return
	}
	l.spread = 0
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
	hosts := HostsOf(team, l.hosts)
	if !slices.Contains(hosts, l.self) {
		return 0
	}
	spread := max(len(hosts), min(l.spread, TeamHosts))
	return rate / float64(spread)
}

// HostsOf returns which of the listed hosts serve a team, by rendezvous hashing, best first.
func HostsOf(team string, hosts []string) []string {
	ranked := slices.Clone(hosts)
	weights := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		weights[h] = xxhash.Sum64String(team + "\x00" + h)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), TeamHosts)]
}

// started tells whether every loan that an earlier process of this host may have made is over, and the other hosts
// count with this one.
func (l *Limiter) started(now core.Time) bool { return now >= Term && !l.joining }

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
