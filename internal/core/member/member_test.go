package member

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/cell"

	"gotest.tools/v3/assert"
)

const other = "10.1.0.1:2"

// beat is a heartbeat of the other host's process that started an hour before this one.
func beat(sent core.Time) Heartbeat {
	return Heartbeat{Peer: other, Incarnation: "i1", ClockMs: (time.Hour + sent).Milliseconds(), IntervalMs: Interval.Milliseconds()}
}

func TestHeartbeatsThatWaitedDoNotMakeTheirSenderAlive(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", []string{other})
	for sent := time.Second; sent < 10*time.Second; sent += Interval {
		hearing := table.Hear(sent+time.Millisecond, beat(sent))
		assert.Assert(t, hearing.Fresh)
	}
	woke := 40 * time.Second
	for sent := 10 * time.Second; sent < 20*time.Second; sent += Interval {
		assert.Assert(t, !table.Hear(woke, beat(sent)).Fresh, "sent at %v", sent)
	}
	assert.Assert(t, !table.Get(other).Alive(woke))
	assert.Assert(t, table.Hear(woke+Interval, beat(woke+Interval)).Fresh)
	assert.Assert(t, table.Get(other).Alive(woke+Interval))
}

func TestClocksThatDriftApartDoNotMakeAPeerSilent(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", []string{other})
	for now := time.Second; now < 24*time.Hour; now += 10 * time.Second {
		sent := now - now/5000
		assert.Assert(t, table.Hear(now, beat(sent)).Fresh, "after %v", now)
	}
}

func TestPeerWithALongIntervalIsNotSilentBetweenHeartbeats(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", []string{other})
	hb := beat(0)
	hb.IntervalMs = 2000
	table.Hear(0, hb)
	assert.Assert(t, table.Get(other).Alive(5*time.Second))
	assert.Assert(t, !table.Get(other).Alive(9*time.Second))
}

func TestStrangersAreAnsweredWhileTheyAreHeardAndBounded(t *testing.T) {
	list := listOf(40, 4)
	self := list.Hosts[0]
	table := NewTable(self.Peer, self.Zone, nil)
	table.Apply(0, list, cell.New(list))
	listed := len(table.Addresses())
	for _, h := range list.Hosts {
		table.Hear(time.Second, Heartbeat{Peer: h.Peer, Incarnation: "i1"})
	}
	assert.Equal(t, len(table.Addresses()), listed+maxStrangers)
	table.Expire(time.Minute)
	assert.Equal(t, len(table.Addresses()), listed)
}

func TestReplacedHostIsTheOneThatWasHeardLast(t *testing.T) {
	table := NewTable("10.1.0.0:2", "a", nil)
	for i, peer := range []string{"10.1.0.1:4", "10.1.0.1:3", "10.1.0.1:5"} {
		table.Hear(core.Time(i)*time.Second, Heartbeat{Peer: peer, Address: "10.1.0.1:1", Incarnation: peer})
		assert.Equal(t, table.ByCallersAddress("10.1.0.1:1").Last.Incarnation, peer)
	}
}
