package loadshare_test

import (
	"testing"
	"time"

	"carobshunt/internal/core/loadshare"

	"gotest.tools/v3/assert"
)

// Bandwidths of the hosts, in megabits a second.
const (
	smallLink = 14
	largeLink = 200
)

// The load of newUnevenFleet: 96 small hosts beside 6 large, in 3 zones.
const (
	unevenZones   = 3
	smallInZone   = 32
	largeInZone   = 2
	hostsInZone   = smallInZone + largeInZone
	changesPerSec = 400
)

// unevenLink returns the bandwidth of a host of a zone: the first are small, the last are large.
func unevenLink(number int) float64 {
	if number < smallInZone {
		return smallLink
	}
	return largeLink
}

func newUnevenFleet(t *testing.T) *fleet {
	return newFleetWithLinks(t, unevenZones, hostsInZone, unevenLink)
}

// runChanges changes loads of random hosts, changesPerSec times a second in the fleet, and counts only what is sent meanwhile.
func (f *fleet) runChanges(d time.Duration) {
	f.crossed = 0
	for _, h := range f.hosts {
		h.sent = 0
	}
	start, changes := f.now, time.Duration(0)
	for f.now < start+d {
		for ; changes*time.Second < (f.now-start)*changesPerSec; changes++ {
			f.hosts[f.rng.IntN(len(f.hosts))].changes++
		}
		f.step()
	}
}

// 96 small hosts beside 6 large: a relay sends about 700 datagrams a second, which the link of a small host can't carry. The
// small hosts must send no more than their own digests to two relays.
func TestOnlyLargeHostsAreRelaysOf96SmallHostsBeside6Large(t *testing.T) {
	f := newUnevenFleet(t)
	f.run(time.Second)
	const seconds = 5
	f.runChanges(seconds * time.Second)
	mostSmall, leastLarge := 0, 1<<30
	for _, h := range f.hosts {
		if h.member.LinkMbps == largeLink {
			leastLarge = min(leastLarge, h.sent)
		} else {
			mostSmall = max(mostSmall, h.sent)
		}
	}
	t.Logf("datagrams a second: at most %d at a small host, at least %d at a large one", mostSmall/seconds, leastLarge/seconds)
	assert.Assert(t, mostSmall <= 40*seconds, "a small host sends %d datagrams a second", mostSmall/seconds)
	assert.Assert(t, leastLarge >= 10*mostSmall, "a large host sends %d datagrams a second", leastLarge/seconds)
	longest := time.Duration(0)
	for i := range 20 {
		longest = max(longest, f.change(f.hosts[i*5]))
	}
	t.Logf("a change is known everywhere after %v at most", longest)
	assert.Assert(t, longest <= 110*time.Millisecond, "%v", longest)
}

// Both large hosts of a zone stop without a sign. Small hosts take their place until heartbeats show the loss.
func TestSmallHostsAreRelaysWhenTheLargeOnesOfTheirZoneAreDead(t *testing.T) {
	f := newUnevenFleet(t)
	f.run(time.Second)
	f.hosts[smallInZone].dead, f.hosts[smallInZone+1].dead = true, true
	f.run(4 * time.Second)
	for _, i := range []int{0, 17, hostsInZone + 3} {
		took := f.change(f.hosts[i])
		assert.Assert(t, took <= 110*time.Millisecond, "%v", took)
	}
}

// During a rolling update, some hosts don't know the bandwidth of others, or still hold an old one. The hosts of a zone then
// send to different relays, and no change may be lost or late for that.
func TestHostsThatDisagreeOnLinksLoseNoDigest(t *testing.T) {
	for seed := range uint64(3) {
		f := newUnevenFleet(t)
		views := make(map[*fleetHost]map[string]float64)
		for _, h := range f.hosts {
			views[h] = make(map[string]float64)
			for _, o := range f.hosts {
				views[h][o.member.Peer] = []float64{0, o.member.LinkMbps, smallLink, largeLink}[(f.rng.Uint64()+seed)%4]
			}
		}
		f.view = func(of *fleetHost, m loadshare.Member) loadshare.Member {
			m.LinkMbps = views[of][m.Peer]
			return m
		}
		f.run(2 * time.Second)
		for i := range 10 {
			took := f.change(f.hosts[i*10])
			assert.Assert(t, took <= 110*time.Millisecond, "%v", took)
		}
	}
}

// relaysIn returns which hosts of a fleet that has run for d pass digests on.
func relaysIn(f *fleet, d time.Duration) map[string]bool {
	f.runChanges(d)
	out := make(map[string]bool)
	for _, h := range f.hosts {
		if h.sent > int(d.Seconds()*200) {
			out[h.member.Peer] = true
		}
	}
	return out
}

// Without bandwidths, with the same one everywhere, and with one that only some hosts name, the relays must stay those that
// the rendezvous hash chooses. A host with an unknown bandwidth is preferred to one with a narrow link beside a wide one.
func TestHostsWithoutANamedLinkAreEqual(t *testing.T) {
	const d = 2 * time.Second
	chosen := relaysIn(newFleet(t, 2, 10), d)
	assert.Equal(t, len(chosen), 4)
	assert.DeepEqual(t, relaysIn(newFleetWithLinks(t, 2, 10, func(int) float64 { return smallLink }), d), chosen)
	assert.DeepEqual(t, relaysIn(newFleetWithLinks(t, 2, 10, func(number int) float64 { return float64(number%2) * smallLink }), d), chosen)
	for wide := range 10 {
		mixed := newFleetWithLinks(t, 1, 10, func(number int) float64 { return []float64{smallLink, 0}[number%2] })
		for i, h := range mixed.hosts {
			if i == wide {
				h.member.LinkMbps = largeLink
				h.sharer = loadshare.New(h.member, "i")
			}
		}
		relays := relaysIn(mixed, d)
		assert.Assert(t, len(relays) > 0)
		for _, h := range mixed.hosts {
			assert.Assert(t, h.member.LinkMbps != smallLink || !relays[h.member.Peer], "%s with %d wide", h.member.Peer, wide)
		}
	}
}

// During a rolling update, hosts of an older version can't read the compact form. Each host must get the form that it reads,
// and the same digests in both.
func TestEachHostGetsTheFormThatItReads(t *testing.T) {
	for _, hosts := range []int{4, 20} {
		f := newFleet(t, 1, hosts)
		for i, h := range f.hosts {
			h.member.ReadsCompact = i%2 == 0
		}
		f.run(time.Second)
		for i := range 4 {
			f.change(f.hosts[i])
		}
		for _, h := range f.hosts {
			compact, plain := f.compactTo[h.member.LoadsAddress], f.plainTo[h.member.LoadsAddress]
			assert.Equal(t, compact > 0, h.member.ReadsCompact, h.member.Peer)
			assert.Equal(t, plain > 0, !h.member.ReadsCompact, h.member.Peer)
		}
	}
}
