package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobshunt/internal/core"

	"gotest.tools/v3/assert"
)

const (
	testTeam  = "desk"
	testRate  = 100_000
	heartbeat = 250 * time.Millisecond
	step      = 10 * time.Millisecond
)

// fleet is a set of limiters that exchange heartbeats in virtual time, with delays, message loss, network partitions,
// pauses and restarts.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	hosts    []*member
	messages []message
	// admitted is the number of tokens of admitted requests, all of them small, in each step.
	admitted []int64
}

// member is one host. Times are on the fleet's clock; demand is in tokens per second, backlog in tokens.
type member struct {
	name        string
	limiter     *Limiter
	started     time.Duration
	incarnation int
	pausedUntil time.Duration
	received    map[string]Borrower
	demand      float64
	backlog     float64
}

type message struct {
	at       time.Duration
	to       *member
	borrower Borrower
	from     string
	grants   []Grant
}

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed))}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for _, name := range names {
		m := &member{name: name}
		f.hosts = append(f.hosts, m)
		f.restart(m, names)
	}
	return f
}

func (f *fleet) names() []string {
	var out []string
	for _, m := range f.hosts {
		out = append(out, m.name)
	}
	return out
}

func (f *fleet) restart(m *member, names []string) {
	m.limiter = New(m.name)
	m.started = f.now
	m.incarnation++
	m.received = make(map[string]Borrower)
	m.limiter.Assign(0, func(string) []string { return names })
	m.limiter.SetRates(0, []Rate{{Team: testTeam, TokensPerSecond: testRate}})
}

func (m *member) clock(now time.Duration) core.Time { return now - m.started }

func (m *member) incarnationID() string { return fmt.Sprint(m.incarnation) }

// sendHeartbeat sends a host's demands and grants to all others.
func (f *fleet) sendHeartbeat(m *member, cut func(a, b *member) bool) {
	clock := m.clock(f.now)
	var borrowers []Borrower
	for _, other := range f.hosts {
		if b, ok := m.received[other.name]; ok {
			borrowers = append(borrowers, b)
		}
	}
	grants := m.limiter.Lend(clock, borrowers)
	self := Borrower{Peer: m.name, Incarnation: m.incarnationID(), ClockMs: clock.Milliseconds(), Demands: m.limiter.Demands(clock)}
	for _, other := range f.hosts {
		if other == m || cut(m, other) || f.rng.IntN(20) == 0 {
			continue
		}
		delay := time.Duration(f.rng.Int64N(int64(400 * time.Millisecond)))
		f.messages = append(f.messages, message{at: f.now + delay, to: other, borrower: self, from: m.name, grants: grants})
	}
}

func (f *fleet) deliver() {
	var later []message
	for _, msg := range f.messages {
		if msg.at > f.now || msg.to.pausedUntil > f.now {
			later = append(later, msg)
			continue
		}
		msg.to.received[msg.from] = msg.borrower
		msg.to.limiter.Borrow(msg.to.clock(f.now), msg.from, msg.to.incarnationID(), msg.grants)
	}
	f.messages = later
}

// offer lets every host try to admit its demand of one step.
func (f *fleet) offer() {
	sum := int64(0)
	for _, m := range f.hosts {
		if m.pausedUntil > f.now {
			continue
		}
		m.backlog += m.demand * step.Seconds()
		for m.backlog > 0 {
			tokens := 500 + f.rng.Int64N(1500)
			m.backlog -= float64(tokens)
			if _, ok := m.limiter.Take(m.clock(f.now), testTeam, tokens); ok {
				sum += tokens
			}
		}
	}
	f.admitted = append(f.admitted, sum)
}

// rates returns the sum of the rates that all hosts may spend now.
func (f *fleet) rates() float64 {
	sum := 0.0
	for _, m := range f.hosts {
		clock := m.clock(f.now)
		if a := m.limiter.accounts[testTeam]; a != nil && m.pausedUntil <= f.now {
			sum += a.rate(clock, m.limiter.fullShare(clock))
		}
	}
	return sum
}

// worstWindow returns the most that was admitted in any ten seconds, as a fraction of the limit.
func (f *fleet) worstWindow() float64 {
	const window = int(10 * time.Second / step)
	worst, sum := int64(0), int64(0)
	for i, n := range f.admitted {
		sum += n
		if i >= window {
			sum -= f.admitted[i-window]
		}
		worst = max(worst, sum)
	}
	return float64(worst) / (testRate * 10)
}

func (f *fleet) run(until time.Duration, disturb func(), cut func(a, b *member) bool) (highest float64) {
	for ; f.now < until; f.now += step {
		f.deliver()
		disturb()
		for i, m := range f.hosts {
			if (f.now+time.Duration(i)*step)%heartbeat == 0 && m.pausedUntil <= f.now {
				f.sendHeartbeat(m, cut)
			}
		}
		f.offer()
		highest = max(highest, f.rates())
	}
	return highest
}

func neverCut(_, _ *member) bool { return false }

// TestRatesOfAllHostsNeverExceedTheLimit: under random demand, message loss, partitions, pauses and restarts, the rates
// of all hosts never add up to more than the limit, and no ten seconds admit more than 1.1 times the limit.
func TestRatesOfAllHostsNeverExceedTheLimit(t *testing.T) {
	for seed := range uint64(60) {
		f := newFleet(seed, 4)
		partition := map[*member]bool{}
		cut := func(a, b *member) bool { return partition[a] != partition[b] }
		disturb := func() {
			m := f.hosts[f.rng.IntN(len(f.hosts))]
			switch f.rng.IntN(1000) {
			case 0:
				f.restart(m, f.names())
			case 1, 2:
				m.pausedUntil = f.now + time.Duration(f.rng.Int64N(int64(6*time.Second)))
			case 3, 4:
				partition[m] = !partition[m]
			case 5, 6, 7, 8:
				m.demand = f.rng.Float64() * 2 * testRate
			case 9, 10:
				m.demand = 0
			}
		}
		highest := f.run(60*time.Second, disturb, cut)
		assert.Assert(t, highest <= testRate*1.000001, "seed %d: rates add up to %.0f", seed, highest)
		assert.Assert(t, f.worstWindow() <= 1.1, "seed %d: ten seconds admitted %.3f of the limit", seed, f.worstWindow())
	}
}

// TestDemandOnOneHostUsesMostOfTheLimit: lending makes most of the limit usable at a single host.
func TestDemandOnOneHostUsesMostOfTheLimit(t *testing.T) {
	f := newFleet(1, 4)
	f.hosts[2].demand = 2 * testRate
	f.run(40*time.Second, func() {}, neverCut)
	last := int64(0)
	for _, n := range f.admitted[len(f.admitted)-1000:] {
		last += n
	}
	used := float64(last) / (testRate * 10)
	assert.Assert(t, used > 0.55, "one host admits %.3f of the limit", used)
}

// TestIsolatedHostKeepsItsBaseShare: a host without contact to the others keeps using its base share.
func TestIsolatedHostKeepsItsBaseShare(t *testing.T) {
	f := newFleet(1, 4)
	f.hosts[0].demand = 2 * testRate
	alone := func(a, b *member) bool { return a == f.hosts[0] || b == f.hosts[0] }
	f.run(40*time.Second, func() {}, alone)
	last := int64(0)
	for _, n := range f.admitted[len(f.admitted)-1000:] {
		last += n
	}
	used := float64(last) / (testRate * 10)
	assert.Assert(t, used > 0.24 && used < 0.26, "a cut host admits %.3f of the limit", used)
}

func TestTakeAndRefund(t *testing.T) {
	l := New("10.0.0.1:1")
	l.Assign(0, func(string) []string { return []string{"10.0.0.1:1"} })
	l.SetRates(0, []Rate{{Team: testTeam, TokensPerSecond: 1000}})
	l.Settle(0)
	now := 10 * time.Second
	_, ok := l.Take(now, "nobody", 1)
	assert.Assert(t, !ok)
	_, ok = l.Take(now, testTeam, 600)
	assert.Assert(t, ok)
	wait, ok := l.Take(now, testTeam, 600)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 200*time.Millisecond)
	l.Refund(now, testTeam, 600)
	_, ok = l.Take(now, testTeam, 1000)
	assert.Assert(t, ok)
}

func TestLargeRequestsArePaidForOverTime(t *testing.T) {
	l := New("10.0.0.1:1")
	l.Assign(0, func(string) []string { return []string{"10.0.0.1:1"} })
	l.SetRates(0, []Rate{{Team: testTeam, TokensPerSecond: 1000}})
	l.Settle(0)
	now := 10 * time.Second
	_, ok := l.Take(now, testTeam, 60_000)
	assert.Assert(t, ok)
	wait, ok := l.Take(now, testTeam, 60_000)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 20*time.Second)
	now += time.Second
	_, ok = l.Take(now, testTeam, 200)
	assert.Assert(t, ok, "small requests go on with a quarter of the rate")
	now += 19 * time.Second
	_, ok = l.Take(now, testTeam, 60_000)
	assert.Assert(t, ok)
}

// TestShareGrowsOnlyWhenTheAssignmentHasSettled: until then, other hosts may still apply the previous host list.
func TestShareGrowsOnlyWhenTheAssignmentHasSettled(t *testing.T) {
	three, two := []string{"a", "b", "c"}, []string{"a", "d"}
	for _, c := range []struct {
		name   string
		self   string
		before []string
		after  []string
		// during and then are the shares of a rate of 600 tokens per second before and after the assignment has
		// settled.
		during, then float64
	}{
		{"fewer hosts", "a", three, two, 200, 300},
		{"more hosts", "a", two, three, 200, 200},
		{"a host that is new to the team", "d", three, two, 0, 300},
		{"a host that leaves the team", "b", three, two, 0, 0},
	} {
		l := New(c.self)
		l.SetRates(0, []Rate{{Team: testTeam, TokensPerSecond: 600}})
		l.Assign(0, func(string) []string { return c.before })
		l.Settle(time.Second)
		l.account(testTeam)
		l.Assign(5*time.Second, func(string) []string { return c.after })
		assert.Equal(t, l.account(testTeam).base, c.during, c.name)
		l.settle(5*time.Second + settleTime)
		assert.Equal(t, l.account(testTeam).base, c.then, c.name)
	}
}
