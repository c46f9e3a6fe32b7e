package node_test

import (
	"testing"

	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// loadDigest returns the digest of a host with pending work at both targets of newLone.
func loadDigest(t *testing.T) []byte {
	t.Helper()
	list := &hostlist.List{Version: 1}
	for _, address := range []string{loneTarget, otherTarget} {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: address, Zone: "a", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{"orders"},
		})
	}
	tb := target.NewTable()
	assert.Assert(t, tb.Apply(list))
	for _, address := range []string{loneTarget, otherTarget} {
		tb.Get(address).Begin(0, target.Dispatch{Number: 1}, target.Job{Work: 5_000})
	}
	return tb.Digest()
}

// pendingAtDispatch returns the pending work that a new request finds at the target it is sent to.
func pendingAtDispatch(t *testing.T, l *lone, id string) int64 {
	t.Helper()
	req := idempotent(1)
	req.ID, req.Deadline = id, l.now+loneBudget
	assert.Equal(t, l.submit(req).Kind, node.Admit)
	for _, a := range l.step(node.BodyEnded{Key: req.Key, Attempt: 1}) {
		if d, ok := a.(node.StartDispatch); ok {
			l.step(node.DispatchEnded{Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: node.EndedDone})
			return d.Basis.Pending
		}
	}
	t.Fatal("no dispatch")
	return 0
}

// A host that the list does not name yet sends heartbeats and then dies: it is removed from the peers in the same tick in
// which it becomes unreachable. Its load must go with it.
func TestLoadOfARemovedPeerIsForgotten(t *testing.T) {
	l := newLone(t)
	l.step(node.HeartbeatReceived{Heartbeat: member.Heartbeat{
		Address: "10.0.0.9:1", Peer: "10.0.0.9:2", Zone: "a", Incarnation: "j", ClockMs: 1, IntervalMs: 450, Loads: loadDigest(t),
	}})
	l.step(node.Tick{})
	assert.Equal(t, pendingAtDispatch(t, l, "request-1"), int64(5_000))
	silent := false
	for range 60 {
		for _, a := range l.after(node.TickInterval).step(node.Tick{}) {
			change, ok := a.(node.StateChange)
			silent = silent || ok && change.Event == node.EventPeerSilent && change.Text == "10.0.0.9:2"
		}
	}
	assert.Equal(t, pendingAtDispatch(t, l, "request-2"), int64(0))
	assert.Assert(t, silent, "its loss is reported")
}
