package member_test

import (
	"testing"
	"time"

	"carobshunt/internal/core/cell"
	"carobshunt/internal/core/member"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// When the host list names no entry hosts, hosts find each other by seeds and introductions only.

func targetsOnly(version uint64) *hostlist.List {
	return &hostlist.List{Version: version, Hosts: []hostlist.Host{{Address: "t:1", Zone: "a", Role: hostlist.RoleEngine}}}
}

func TestHostsBeyondTheSeedsAreIntroduced(t *testing.T) {
	tb := member.NewTable("a:1", "a", []string{"a:1", "b:1", "c:1"})
	list := targetsOnly(1)
	tb.Apply(0, list, cell.New(list))
	assert.DeepEqual(t, tb.Addresses(), []string{"b:1", "c:1"})
	tb.Receive(time.Second, member.Heartbeat{Peer: "b:1", Incarnation: "i", ClockMs: 1000, IntervalMs: 450})
	tb.Introduce(time.Second, []string{"a:1", "d:1"})
	assert.DeepEqual(t, tb.Addresses(), []string{"b:1", "c:1", "d:1"})
	assert.DeepEqual(t, tb.Introductions(time.Second), []string{"b:1"}) // only hosts that are alive are introduced
}

func TestIntroducedHostExpires(t *testing.T) {
	tb := member.NewTable("a:1", "a", []string{"b:1"})
	tb.Introduce(time.Second, []string{"d:1"})
	tb.Expire(30 * time.Second)
	assert.DeepEqual(t, tb.Addresses(), []string{"b:1", "d:1"})
	tb.Expire(32 * time.Second)
	assert.DeepEqual(t, tb.Addresses(), []string{"b:1"}) // seeds stay
}

func TestSeedReplacesEarlierSeeds(t *testing.T) {
	tb := member.NewTable("a:1", "a", []string{"b:1"})
	tb.Seed(time.Second, []string{"c:1"})
	assert.DeepEqual(t, tb.Addresses(), []string{"b:1", "c:1"})
	tb.Expire(time.Minute)
	assert.DeepEqual(t, tb.Addresses(), []string{"c:1"})
}

func TestListedDeploymentIntroducesNobody(t *testing.T) {
	list := &hostlist.List{Version: 1, Hosts: []hostlist.Host{
		{Address: "a:0", Peer: "a:1", Zone: "a", Role: hostlist.RoleEntry, State: hostlist.StateLive},
	}}
	tb := member.NewTable("a:1", "a", nil)
	tb.Apply(0, list, cell.New(list))
	tb.Introduce(0, []string{"x:1"})
	assert.Equal(t, len(tb.Addresses()), 0)
	assert.Assert(t, tb.Introductions(0) == nil)
}
