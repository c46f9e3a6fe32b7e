package peer

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"

	"gotest.tools/v3/assert"
)

// digestLoads is the size of the loads in the digests below, in bytes: five targets, of which each takes about 5 bytes for
// its identifier, 1 for the mask and 6 for three fields.
const digestLoads = 60

// largestDigest returns the digest of a host of a store platform, all of whose fields take as many bytes as after a day.
func largestDigest(rng *rand.Rand, peer string) loadshare.Digest {
	incarnation, loads := make([]byte, 8), make([]byte, digestLoads)
	for i := range incarnation {
		incarnation[i] = byte(rng.Uint32())
	}
	for i := range loads {
		loads[i] = byte(rng.Uint32())
	}
	return loadshare.Digest{
		Peer: peer, Incarnation: hex.EncodeToString(incarnation), Sequence: 400_000 + rng.Uint64N(1000), Loads: loads,
		Freshness: loadshare.Freshness{
			Age:    time.Duration(rng.IntN(1000)) * time.Millisecond,
			Config: conf.Version{Revision: 31_000, Digest: 1<<63 + 12_345},
			Hosts:  conf.Version{Revision: 1<<40 + rng.Uint64N(2), Digest: 1<<62 + rng.Uint64N(2)},
		},
	}
}

// peerAddress returns the peer address of a host by its zone and its number there.
func peerAddress(zone, number int) string { return fmt.Sprintf("10.20.%d.%d:7402", zone, number+100) }

// encodings are the forms of a datagram by name.
var encodings = map[string]func(from string, b *loadshare.Bundle) ([]byte, error){
	"plain":   func(from string, b *loadshare.Bundle) ([]byte, error) { return encodeLoads(from, b, false) },
	"compact": func(from string, b *loadshare.Bundle) ([]byte, error) { return encodeLoads(from, b, true) },
}

// A relay sends its datagrams to each host of its zone, so their size decides which link carries them.
func TestCompactFormTakesThreeTenthsLess(t *testing.T) {
	for _, digests := range []int{1, 34, 100} {
		size := make(map[string]int)
		for name, encode := range encodings {
			rng := rand.New(rand.NewPCG(1, 1))
			b := loadshare.Bundle{}
			for i := range digests {
				b.Digests = append(b.Digests, largestDigest(rng, peerAddress(i/34, i%34)))
			}
			raw, err := encode(peerAddress(0, 0), &b)
			assert.NilError(t, err)
			size[name] = len(raw)
			t.Logf("%s: %d digests: %d bytes, %d a digest", name, digests, len(raw), len(raw)/digests)
		}
		assert.Assert(t, digests == 1 || 10*size["compact"] <= 7*size["plain"], "%v", size)
	}
}

// Three zones with 34 hosts each, whose loads change 400 times a second in all: the link of a relay must carry what it sends.
func TestBytesThatARelaySends(t *testing.T) {
	const zones, hostsInZone, changesPerSec, seconds = 3, 34, 400, 4
	var members []loadshare.Member
	sharers := make(map[string]*loadshare.Sharer)
	for zone := range zones {
		for i := range hostsInZone {
			m := loadshare.Member{Peer: peerAddress(zone, i), Zone: fmt.Sprint(zone)}
			m.LoadsAddress = m.Peer
			members = append(members, m)
			sharers[m.Peer] = loadshare.New(m, "0123456789abcdef")
		}
	}
	sent := make(map[string]map[string]int) // bytes by encoding and host
	for name := range encodings {
		sent[name] = make(map[string]int)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	changes := make(map[string]uint64)
	type arrival struct {
		from, to string
		bundle   loadshare.Bundle
	}
	var inFlight []arrival
	others := func(self string) []loadshare.Member {
		return slices.DeleteFunc(slices.Clone(members), func(m loadshare.Member) bool { return m.Peer == self })
	}
	start := time.Second
	for now, changed := start, 0; now < start+seconds*time.Second; now += time.Millisecond {
		for ; changed*int(time.Second) < int(now-start)*changesPerSec; changed++ {
			changes[members[rng.IntN(len(members))].Peer]++
		}
		arriving := inFlight
		inFlight = nil
		for _, a := range arriving {
			sharers[a.to].Receive(now, a.from, a.bundle, func(_, _ string) bool { return true })
		}
		for _, m := range members {
			own := func() ([]byte, loadshare.Freshness) {
				d := largestDigest(rng, m.Peer)
				return d.Loads, d.Freshness
			}
			for _, message := range sharers[m.Peer].Send(now, changes[m.Peer], func() []loadshare.Member { return others(m.Peer) }, own) {
				for name, encode := range encodings {
					raw, err := encode(m.Peer, &message.Bundle)
					assert.NilError(t, err)
					sent[name][m.Peer] += len(raw) * len(message.To)
				}
				for _, to := range message.To {
					inFlight = append(inFlight, arrival{from: m.Peer, to: to, bundle: message.Bundle})
				}
			}
		}
	}
	for name := range encodings {
		most := 0
		for _, bytes := range sent[name] {
			most = max(most, bytes)
		}
		t.Logf("%s: a relay sends %d bytes a second at most", name, most/seconds)
	}
}
