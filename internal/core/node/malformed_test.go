package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"

	"gotest.tools/v3/assert"
)

// FuzzHeartbeat guards against a process that one malformed message of a peer takes down: any heartbeat that can be decoded,
// and any load digest, must leave a host that goes on serving.
func FuzzHeartbeat(f *testing.F) {
	for _, hb := range []member.Heartbeat{
		{Peer: "10.0.0.2:2", Address: "10.0.0.2:1", Zone: "a", Incarnation: "i", ClockMs: 5, Revision: 9, Digest: 1, Ready: true, State: 1},
		{Peer: "10.0.0.2:2", Incarnation: "i", ClockMs: -1 << 62, Repeats: true, State: 7, Loads: []byte{255, 1, 255}},
		{
			Peer: "", Incarnation: "j", IntervalMs: -1, AnsweredMs: 1 << 62, PlatformAgesMs: []int64{-1, 1 << 62}, Ask: true,
			Introduces: []string{"", "10.0.0.1:2"}, LoadsAddress: "x",
			Notices: []target.PublishedNotice{{
				Process: target.Process{Address: "s1", Instance: "is1"}, Limit: -3, HeardMs: -1 << 62, Leaving: true,
			}},
		},
	} {
		raw, err := json.Marshal(hb)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, []byte{1, 2, 3})
	}
	f.Fuzz(func(t *testing.T, raw, loads []byte) {
		var hb member.Heartbeat
		if json.Unmarshal(raw, &hb) != nil {
			return
		}
		e := newRoutedHost(t)
		for range 2 {
			e.step(node.HeartbeatReceived{Heartbeat: hb})
			e.step(node.LoadsReceived{From: hb.Peer, Bundle: loadshare.Bundle{
				Hop: loadshare.HopToRelay, Digests: []loadshare.Digest{{Peer: hb.Peer, Incarnation: hb.Incarnation, Sequence: 1, Loads: loads}},
			}})
			e.after(50 * time.Millisecond).step(node.Tick{})
		}
		assert.Assert(t, e.node.Snapshot().Ready)
	})
}
