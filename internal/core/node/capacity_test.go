package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// A host with a narrow link must not be a relay because its bandwidth is lost on the way: it is part of what full heartbeats
// carry, and a brief heartbeat keeps it.
func TestDigestsGoToPeersWhoseHeartbeatsNameAWideLink(t *testing.T) {
	e := startRoutedHostOf(t, core.Capacity{Cores: 0.134, LinkMbps: 14})
	e.makeReady()
	wide := []string{"10.0.0.4:3", "10.0.0.9:3"}
	beat := func(clockMs int64, repeats bool) {
		for i := range 10 {
			hb := node.HeartbeatReceived{}
			hb.Heartbeat.Peer, hb.Heartbeat.Zone = fmt.Sprintf("10.0.0.%d:2", i+2), "a"
			hb.Heartbeat.LoadsAddress = fmt.Sprintf("10.0.0.%d:3", i+2)
			hb.Heartbeat.Incarnation, hb.Heartbeat.ClockMs, hb.Heartbeat.IntervalMs, hb.Heartbeat.State = "j", clockMs, 1650, 1
			hb.Heartbeat.Capacity = core.Capacity{Cores: 0.134, LinkMbps: 14}
			if slices.Contains(wide, hb.Heartbeat.LoadsAddress) {
				hb.Heartbeat.Capacity = core.Capacity{Cores: 0.8, LinkMbps: 200}
			}
			hb.Heartbeat.CompactLoads = hb.Heartbeat.LoadsAddress == wide[0] // the other one is of an older version
			if repeats {
				hb.Heartbeat = hb.Heartbeat.Brief()
			}
			e.step(hb)
		}
	}
	for i, repeats := range []bool{false, true} {
		beat(int64(1+i*1000), repeats)
		to := make(map[string]bool)
		d := e.send("/ask/1")
		for range 5 {
			e.after(100 * time.Millisecond).step(node.Tick{})
			for _, a := range e.actions {
				if s, ok := a.(node.SendLoads); ok {
					for _, address := range s.To {
						to[address] = true
						assert.Equal(t, s.Compact, address == wide[0], address)
					}
				}
			}
		}
		e.end(d, node.EndedDone)
		assert.DeepEqual(t, to, map[string]bool{wide[0]: true, wide[1]: true})
	}
}

func TestHeartbeatCarriesTheCapacityOfTheSettings(t *testing.T) {
	capacity := core.Capacity{Cores: 0.8, MemoryMB: 536, Connections: 11_000, LinkMbps: 200}
	n := node.New(node.Options{Peer: "10.0.0.1:2", Zone: "a", Capacity: capacity})
	hb := n.Snapshot().Heartbeat
	assert.Equal(t, hb.Capacity, capacity)
	assert.Equal(t, hb.Content().Capacity, capacity, "a change of it makes a new State")
}

func TestSnapshotHoldsTheCapacitiesThatHostsState(t *testing.T) {
	e := newRoutedHost(t)
	assert.Assert(t, e.node.Snapshot().Capacities == nil, "no host states anything")
	stated := core.Capacity{Cores: 0.8, LinkMbps: 200}
	for i, c := range []core.Capacity{stated, {}} {
		hb := node.HeartbeatReceived{}
		hb.Heartbeat.Peer, hb.Heartbeat.Address = fmt.Sprintf("10.0.0.%d:2", i+2), fmt.Sprintf("10.0.0.%d:1", i+2)
		hb.Heartbeat.Incarnation, hb.Heartbeat.ClockMs, hb.Heartbeat.IntervalMs, hb.Heartbeat.Ready = "j", 1, 450, true
		hb.Heartbeat.Capacity = c
		e.step(hb)
	}
	snap := e.node.Snapshot()
	assert.Equal(t, len(snap.Hosts), 3)
	assert.DeepEqual(t, snap.Capacities, map[string]core.Capacity{"10.0.0.2:1": stated})
}
