package loadshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/loadshare"

	"gotest.tools/v3/assert"
)

// fleet runs the Sharers of several hosts in virtual time, over a network that may lose datagrams and hosts that may die.
type fleet struct {
	t     *testing.T
	now   core.Time
	rng   *rand.Rand
	lossy float64
	hosts []*fleetHost
	// inFlight are the datagrams that arrive with the next step.
	inFlight []datagram
	// crossed counts the digests that went into another zone.
	crossed int
	// view, if set, returns what a host takes another one to be, in place of its member.
	view func(of *fleetHost, m loadshare.Member) loadshare.Member
	// compactTo counts the datagrams in the compact form, and plainTo the others, by load address.
	compactTo, plainTo map[string]int
}

type fleetHost struct {
	member loadshare.Member
	sharer *loadshare.Sharer
	// changes counts the changes of its load, which its digest carries.
	changes uint64
	// known holds the last change heard of each host, by peer address, and when it was heard.
	known map[string]byte
	dead  bool
	// sent counts its datagrams.
	sent int
}

type datagram struct {
	from    *fleetHost
	to      string
	content loadshare.Bundle
}

func newFleet(t *testing.T, zones, hostsPerZone int) *fleet {
	return newFleetWithLinks(t, zones, hostsPerZone, func(int) float64 { return 0 })
}

// newFleetWithLinks returns a fleet in whose zones the host with each number has the bandwidth that link returns.
func newFleetWithLinks(t *testing.T, zones, hostsPerZone int, link func(number int) float64) *fleet {
	f := &fleet{
		t: t, now: time.Second, rng: rand.New(rand.NewPCG(1, 1)), compactTo: make(map[string]int), plainTo: make(map[string]int),
	}
	for z := range zones {
		for h := range hostsPerZone {
			address := fmt.Sprintf("10.%d.0.%d", z, h)
			m := loadshare.Member{Peer: address + ":1", Zone: fmt.Sprint("zone-", z), LoadsAddress: address + ":2", LinkMbps: link(h)}
			f.hosts = append(f.hosts, &fleetHost{member: m, sharer: loadshare.New(m, "i"), known: make(map[string]byte)})
		}
	}
	return f
}

// others returns the hosts that a host takes to be reachable: it does not know of deaths.
func (f *fleet) others(of *fleetHost) []loadshare.Member {
	var out []loadshare.Member
	for _, h := range f.hosts {
		if h == of {
			continue
		}
		m := h.member
		if f.view != nil {
			m = f.view(of, m)
		}
		out = append(out, m)
	}
	return out
}

// step advances the time by a millisecond, which is also how long a datagram takes.
func (f *fleet) step() {
	f.now += time.Millisecond
	arriving := f.inFlight
	f.inFlight = nil
	for _, d := range arriving {
		f.deliver(d)
	}
	for _, h := range f.hosts {
		f.send(h)
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

func (f *fleet) deliver(d datagram) {
	for _, h := range f.hosts {
		if h.member.LoadsAddress != d.to || h.dead {
			continue
		}
		if h.member.Zone != d.from.member.Zone {
			f.crossed += len(d.content.Digests)
		}
		current := func(string, string) bool { return true }
		for _, digest := range h.sharer.Receive(f.now, d.from.member.Peer, d.content, current) {
			h.known[digest.Peer] = digest.Loads[0]
		}
	}
}

func (f *fleet) send(h *fleetHost) {
	if h.dead {
		return
	}
	messages := h.sharer.Send(f.now, h.changes, func() []loadshare.Member { return f.others(h) }, func() ([]byte, loadshare.Freshness) {
		return []byte{byte(h.changes)}, loadshare.Freshness{Age: 0}
	})
	for _, m := range messages {
		for _, to := range m.To {
			h.sent++
			if m.Compact {
				f.compactTo[to]++
			} else {
				f.plainTo[to]++
			}
			if f.rng.Float64() >= f.lossy {
				f.inFlight = append(f.inFlight, datagram{from: h, to: to, content: m.Bundle})
			}
		}
	}
}

// change changes the load of a host and returns how long it takes until all others that are alive know of it.
func (f *fleet) change(h *fleetHost) time.Duration {
	f.t.Helper()
	h.changes++
	start := f.now
	for f.now < start+10*time.Second {
		f.step()
		if !slices.ContainsFunc(f.hosts, func(o *fleetHost) bool {
			return o != h && !o.dead && o.known[h.member.Peer] != byte(h.changes)
		}) {
			return f.now - start
		}
	}
	f.t.Fatalf("a change at %s is not known everywhere", h.member.Peer)
	return 0
}

func TestFewHostsSendToEachOtherDirectly(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.run(time.Second)
	assert.Assert(t, f.change(f.hosts[0]) <= 6*time.Millisecond)
}

// 77 hosts in 5 zones, all of whose loads change 20 times a second.
func TestDigestCrossesIntoAZoneOnceForEachRelay(t *testing.T) {
	f := newFleet(t, 5, 15)
	f.run(time.Second)
	for _, h := range f.hosts {
		h.sent = 0
	}
	f.crossed = 0
	const changes = 100
	for range changes {
		for _, h := range f.hosts {
			h.changes++
		}
		f.run(50 * time.Millisecond)
	}
	otherZones, relays := 4, 2
	assert.Assert(t, f.crossed <= len(f.hosts)*changes*otherZones*relays, "%d", f.crossed)
	most, sum := 0, 0
	for _, h := range f.hosts {
		most = max(most, h.sent)
		sum += h.sent
	}
	seconds := 5
	t.Logf("datagrams a second: %d on average, %d at a relay", sum/len(f.hosts)/seconds, most/seconds)
	assert.Assert(t, most <= 800*seconds, "a relay sends %d datagrams a second", most/seconds)
	assert.Assert(t, sum/len(f.hosts) <= 150*seconds, "a host sends %d datagrams a second on average", sum/len(f.hosts)/seconds)
}

func TestChangeIsKnownEverywhereWithinTwoRelayIntervals(t *testing.T) {
	f := newFleet(t, 5, 15)
	f.run(time.Second)
	longest := time.Duration(0)
	for i := range 20 {
		f.run(100 * time.Millisecond)
		longest = max(longest, f.change(f.hosts[i*3]))
	}
	t.Logf("longest %v", longest)
	assert.Assert(t, longest <= 60*time.Millisecond, "%v", longest)
}

// Any one host of a zone may be a relay. Its death must not delay what others tell each other.
func TestDeathOfARelayDelaysNothing(t *testing.T) {
	f := newFleet(t, 5, 15)
	f.run(time.Second)
	for i := range 15 {
		f.hosts[i].dead = true
		took := f.change(f.hosts[(i+1)%15])
		assert.Assert(t, took <= 60*time.Millisecond, "%v", took)
		took = f.change(f.hosts[40])
		assert.Assert(t, took <= 60*time.Millisecond, "%v", took)
		f.hosts[i].dead = false
	}
}

// Two of three hosts of a zone die at once, both relays among them, and nobody learns of it from heartbeats.
func TestOtherHostsTakeThePlaceOfDeadRelays(t *testing.T) {
	for first := range 15 {
		f := newFleet(t, 5, 15)
		f.run(time.Second)
		for i := range 10 {
			f.hosts[(first+i)%15].dead = true
		}
		f.run(4 * time.Second)
		survivor := f.hosts[(first+12)%15]
		for range 3 {
			took := f.change(survivor)
			assert.Assert(t, took <= 60*time.Millisecond, "%v", took)
			took = f.change(f.hosts[40])
			assert.Assert(t, took <= 60*time.Millisecond, "%v", took)
			f.run(100 * time.Millisecond)
		}
	}
}

func TestLostDatagramsAreRepaired(t *testing.T) {
	f := newFleet(t, 3, 10)
	f.lossy = 0.2
	f.run(time.Second)
	for i := range 10 {
		took := f.change(f.hosts[i])
		assert.Assert(t, took <= 3*time.Second, "%v", took)
	}
}

func TestLeavingHostIsNoRelay(t *testing.T) {
	f := newFleet(t, 2, 10)
	for i := range 9 {
		f.hosts[i].member.Leaving = true
	}
	f.run(time.Second)
	for _, h := range f.hosts {
		h.sent = 0
	}
	for range 20 {
		f.change(f.hosts[15])
	}
	assert.Assert(t, f.hosts[9].sent > 20, "the only host of the zone that stays passes on")
	for i := range 9 {
		assert.Assert(t, f.hosts[i].sent <= f.hosts[9].sent/3, "%d sent %d", i, f.hosts[i].sent)
	}
}

func TestAgeGrowsWhileADigestWaitsAtARelay(t *testing.T) {
	self := loadshare.Member{Peer: "10.0.0.1:1", Zone: "a", LoadsAddress: "10.0.0.1:2"}
	other := loadshare.Member{Peer: "10.0.0.2:1", Zone: "a", LoadsAddress: "10.0.0.2:2"}
	s := loadshare.New(self, "i")
	current := func(string, string) bool { return true }
	for i, c := range []struct{ age, want time.Duration }{{100 * time.Millisecond, 130 * time.Millisecond}, {-1, -1}} {
		d := loadshare.Digest{Peer: "10.0.0.3:1", Incarnation: "j", Sequence: uint64(i + 1), Freshness: loadshare.Freshness{Age: c.age}}
		now := time.Duration(i+1) * time.Second
		s.Receive(now, d.Peer, loadshare.Bundle{Hop: loadshare.HopToRelay, Digests: []loadshare.Digest{d}}, current)
		messages := s.Send(now+30*time.Millisecond, 0, func() []loadshare.Member { return []loadshare.Member{other} },
			func() ([]byte, loadshare.Freshness) { return nil, loadshare.Freshness{Age: -1} })
		passed := messages[len(messages)-1].Bundle
		assert.Equal(t, passed.Digests[0].Freshness.Age, c.want)
	}
}

func TestOldDigestsAndThoseOfOtherProcessesAreIgnored(t *testing.T) {
	s := loadshare.New(loadshare.Member{Peer: "10.0.0.1:1"}, "i")
	receive := func(incarnation string, sequence uint64) int {
		b := loadshare.Bundle{Digests: []loadshare.Digest{{Peer: "10.0.0.2:1", Incarnation: incarnation, Sequence: sequence}}}
		return len(s.Receive(time.Second, "10.0.0.2:1", b, func(_, incarnation string) bool { return incarnation != "old" }))
	}
	assert.Equal(t, receive("j", 7), 1)
	assert.Equal(t, receive("j", 7), 0)
	assert.Equal(t, receive("j", 6), 0)
	assert.Equal(t, receive("old", 9), 0)
	assert.Equal(t, receive("k", 1), 1, "a new process counts anew")
}
