package node_test

import (
	"testing"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// list posts a version of the host list and lets a tick pass.
func (e *routedHost) list(l *hostlist.List) {
	e.step(node.HostsReceived{List: l, Source: conf.SourcePlatform})
	e.after(50 * time.Millisecond).step(node.Tick{})
}

// eligible returns the addresses of the targets that new work may be sent to.
func (e *routedHost) eligible() []string {
	var out []string
	for _, t := range e.node.Snapshot().Status.Targets {
		if t.Eligible {
			out = append(out, t.Address)
		}
	}
	return out
}

// wait lets time pass, tick by tick.
func (e *routedHost) wait(d time.Duration) {
	for range int(d / (50 * time.Millisecond)) {
		e.after(50 * time.Millisecond).step(node.Tick{})
	}
}

// TestRestoredPlatformBringsBackNoTargetThatLeft guards against a platform that comes back from an older copy, in which a
// target that has left is still there, and one that has come since is missing for a moment.
func TestRestoredPlatformBringsBackNoTargetThatLeft(t *testing.T) {
	e := newRoutedHost(t)
	targetList := func(version uint64, addresses ...string) *hostlist.List {
		list := targetList(version, addresses...)
		for i := range list.Hosts {
			list.Hosts[i].Start = 7
		}
		return list
	}
	e.list(targetList(hostlist.VersionOf(0, 50), "e1", "s1", "s2", "s3"))
	leaving := targetList(hostlist.VersionOf(0, 60), "e1", "s1", "s2", "s3")
	leaving.Hosts[1].State = hostlist.StateLeaving // s1 leaves, s2 has left with the next list
	e.list(leaving)
	leaving = targetList(hostlist.VersionOf(0, 70), "e1", "s1", "s3", "s4")
	leaving.Hosts[1].State = hostlist.StateLeaving
	e.list(leaving)
	assert.DeepEqual(t, e.eligible(), []string{"e1", "s3", "s4"})

	e.list(targetList(hostlist.VersionOf(1, 55), "e1", "s1", "s2", "s3"))
	assert.DeepEqual(t, e.eligible(), []string{"e1", "s3", "s4"})
	e.wait(time.Second)
	assert.DeepEqual(t, e.eligible(), []string{"e1", "s3", "s4"}) // s4 will be written again
	e.list(targetList(hostlist.VersionOf(1, 56), "e1", "s1", "s2", "s3"))
	assert.DeepEqual(t, e.eligible(), []string{"e1", "s3", "s4"})
	e.wait(3 * time.Second)
	assert.DeepEqual(t, e.eligible(), []string{"e1", "s3"}) // s4 is gone
	e.wait(time.Minute)
	assert.DeepEqual(t, e.eligible(), []string{"e1", "s2", "s3"}) // s1 has said that it leaves; s2 can't be checked, and is believed
}

// TestTargetsChangeAfterThePlatformWasRestored guards against host lists that are ignored because the revisions of a restored
// store are lower.
func TestTargetsChangeAfterThePlatformWasRestored(t *testing.T) {
	e := newRoutedHost(t)
	e.list(targetList(hostlist.VersionOf(2, 500), "e1", "s1"))
	e.wait(3 * time.Second)
	e.list(targetList(hostlist.VersionOf(3, 20), "e1", "s1", "s5"))
	assert.DeepEqual(t, e.eligible(), []string{"e1", "s1", "s5"})
	e.list(targetList(hostlist.VersionOf(2, 900), "e1"))
	assert.DeepEqual(t, e.eligible(), []string{"e1", "s1", "s5"}) // a list from before the restore is old
}

// TestHostThatStartsBesideARestoredPlatformAsksItsPeers guards against a process that starts, reads an older copy of the
// configuration and serves with a key that has been withdrawn, though its peers know better.
func TestHostThatStartsBesideARestoredPlatformAsksItsPeers(t *testing.T) {
	start := func(restores uint64) *routedHost {
		e := startRoutedHost(t)
		e.step(node.SeedsReloaded{Peers: []string{"10.0.0.2:2"}})
		e.publish(7)
		e.step(node.PlatformAnswered{Restores: restores})
		e.step(node.HostsReceived{List: targetList(hostlist.VersionOf(restores, 9), "e1", "s1"), Source: conf.SourcePlatform})
		e.wait(200 * time.Millisecond)
		return e
	}
	assert.Assert(t, start(0).node.Snapshot().Ready, "a platform that was never restored has the newest configuration")
	e := start(1)
	assert.Assert(t, !e.node.Snapshot().Ready)
	e.step(node.HeartbeatReceived{Heartbeat: member.Heartbeat{
		Peer: "10.0.0.2:2", Address: "10.0.0.2:1", Zone: "a", Incarnation: "i", ClockMs: 5, Revision: 9, Digest: 1, Ready: true, State: 1,
	}})
	assert.Assert(t, !e.node.Snapshot().Ready, "its peer has a newer one")
	e.publish(9)
	e.wait(time.Second)
	assert.Assert(t, e.node.Snapshot().Ready)
}
