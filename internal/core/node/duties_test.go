package node_test

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/node"

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
