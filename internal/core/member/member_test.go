package member

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/cell"

	"gotest.tools/v3/assert"
)

const other = "10.1.0.1:2"

// heartbeat returns a heartbeat of the other host, whose process started an hour before this one.
func heartbeat(sent core.Time) Heartbeat {
	return Heartbeat{Peer: other, Incarnation: "i1", ClockMs: (time.Hour + sent).Milliseconds(), IntervalMs: Interval.Milliseconds()}
}

func TestBufferedHeartbeatsDoNotMakeSenderAlive(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", []string{other})
	for sent := time.Second; sent < 10*time.Second; sent += Interval {
		receipt := table.Receive(sent+time.Millisecond, heartbeat(sent))
		assert.Assert(t, receipt.Fresh)
	}
	resumed := 40 * time.Second
	for sent := 10 * time.Second; sent < 20*time.Second; sent += Interval {
		assert.Assert(t, !table.Receive(resumed, heartbeat(sent)).Fresh, "sent at %v", sent)
	}
	assert.Assert(t, !table.Get(other).Alive(resumed))
	assert.Assert(t, table.Receive(resumed+Interval, heartbeat(resumed+Interval)).Fresh)
	assert.Assert(t, table.Get(other).Alive(resumed+Interval))
}

func TestClockDriftKeepsHeartbeatsFresh(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", []string{other})
	for now := time.Second; now < 24*time.Hour; now += 10 * time.Second {
		sent := now - now/5000
		assert.Assert(t, table.Receive(now, heartbeat(sent)).Fresh, "after %v", now)
	}
}

func TestPeerTimeoutFollowsHeartbeatInterval(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", []string{other})
	hb := heartbeat(0)
	hb.IntervalMs = 2000
	table.Receive(0, hb)
	assert.Assert(t, table.Get(other).Alive(5*time.Second))
	assert.Assert(t, !table.Get(other).Alive(9*time.Second))
}

func TestNonNeighboursAreBoundedAndExpire(t *testing.T) {
	list := listOf(40, 4)
	self := list.Hosts[0]
	table := NewTable(self.Peer, self.Zone, nil)
	table.Apply(0, list, cell.New(list))
	listed := len(table.Addresses())
	for _, h := range list.Hosts {
		table.Receive(time.Second, Heartbeat{Peer: h.Peer, Incarnation: "i1"})
	}
	assert.Equal(t, len(table.Addresses()), listed+maxNonNeighbours)
	table.Expire(time.Minute)
	assert.Equal(t, len(table.Addresses()), listed)
}

func TestByCallersAddressReturnsPeerLastSeen(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", nil)
	for i, peer := range []string{"10.1.0.1:4", "10.1.0.1:3", "10.1.0.1:5"} {
		table.Receive(core.Time(i)*time.Second, Heartbeat{Peer: peer, Address: "10.1.0.1:1", Incarnation: peer})
		assert.Equal(t, table.ByCallersAddress("10.1.0.1:1").Last.Incarnation, peer)
	}
}

// After a suspension, the buffered heartbeats arrive together. The drift of the clocks is allowed for once over that
// time, not again with each of them.
func TestDriftIsAllowedForOnceWhenBufferedHeartbeatsArrive(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", []string{other})
	const suspended, resumed = 10 * time.Second, 40 * time.Second
	last := resumed - 1200*time.Millisecond
	for sent := time.Second; sent < suspended; sent += Interval {
		table.Receive(sent, heartbeat(sent))
	}
	for sent := suspended; sent < last; sent += Interval {
		table.Receive(resumed, heartbeat(sent))
	}
	got := table.Receive(resumed, heartbeat(last))
	assert.Assert(t, !got.Fresh, "a heartbeat that is late by 1.2 s does not show that its sender is alive")
}
