package node_test

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/rendezvous"

	"gotest.tools/v3/assert"
)

// heartbeatOf delivers a heartbeat of a peer with that many cores, and a digest by which the platform has answered it.
func (r *readers) heartbeatOf(peer, zone string, cores float64) {
	hb := node.HeartbeatReceived{}
	hb.Heartbeat.Peer, hb.Heartbeat.Incarnation, hb.Heartbeat.Zone = peer, "j", zone
	hb.Heartbeat.ClockMs, hb.Heartbeat.IntervalMs = r.now.Milliseconds(), 1600
	hb.Heartbeat.LoadsAddress, hb.Heartbeat.Capacity = peer+"3", core.Capacity{Cores: cores}
	r.step(hb)
	r.sequence++
	digest := loadshare.Digest{Peer: peer, Incarnation: "j", Sequence: r.sequence}
	digest.Freshness = loadshare.Freshness{Age: 100 * time.Millisecond, Config: conf.Version{Revision: 1}}
	r.step(node.LoadsReceived{From: peer, Bundle: loadshare.Bundle{Digests: []loadshare.Digest{digest}}})
}

// TestHostsWithFewCoresReadOnlyIfNoOtherDoes guards against configurations that reach a whole zone late, since a host with a tenth of the
// processor of others read or fetched them first.
func TestHostsWithFewCoresReadOnlyIfNoOtherDoes(t *testing.T) {
	const few, many, peers = 0.1, 0.8, 40
	for _, c := range []struct {
		own   float64
		reads bool
	}{{few, false}, {many, true}} {
		r := &readers{routedHost: startRoutedHostOf(t, core.Capacity{Cores: c.own})}
		r.makeReady()
		r.after(200 * time.Millisecond).step(node.Tick{})
		for i := range peers {
			r.heartbeatOf(fmt.Sprintf("10.1.0.%d:2", i), "b", few)
		}
		strong := 3
		if c.own == many {
			strong = 2
		}
		for i := range strong {
			r.heartbeatOf(fmt.Sprintf("10.2.0.%d:2", i), "b", many)
		}
		r.step(node.Tick{})
		assert.Equal(t, r.reads(), c.reads, "%v cores", c.own)
	}
}

// TestHostsTakeOverFromReadersInTurn guards against a whole fleet that begins to read the platform within one tick, as all hosts learn at
// the same moment that the last answers to the readers are too old.
func TestHostsTakeOverFromReadersInTurn(t *testing.T) {
	const self, zonePeers = "10.0.0.1:2", 30
	for _, precede := range []bool{false, true} {
		r := &readers{routedHost: newRoutedHost(t)}
		for _, peer := range readerPeers {
			r.heartbeat(peer, "b")
		}
		for i, added := 0, 0; added < zonePeers; i++ {
			peer := fmt.Sprintf("10.1.%d.%d:2", i/250, i%250)
			if (rendezvous.Position("read", self, []string{self, peer}) == 1) == precede {
				r.heartbeat(peer, "a")
				added++
			}
		}
		r.report(100*time.Millisecond, 1)
		assert.Assert(t, !r.reads())
		r.run(1050 * time.Millisecond)
		assert.Equal(t, r.reads(), !precede, "the first hosts of the zone take over at once")
		r.run(800 * time.Millisecond)
		assert.Assert(t, r.reads(), "none of them was answered")
	}
}
