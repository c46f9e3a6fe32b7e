package target

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// fleet returns a table of targets spread evenly over three availability zones.
func fleet(n int) *Table {
	list := &hostlist.List{Version: 1}
	for i := range n {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.0.0.%02d:1", i), Zone: string(rune('a' + i%3)),
			Role: hostlist.RoleEngine, State: hostlist.StateLive,
		})
	}
	table := NewTable()
	table.Apply(list)
	return table
}

// simulate tries every eligible target at each step, and returns for how many steps each target was not eligible.
func simulate(table *Table, from, to core.Time, cut func(*Target) bool) map[string]int {
	const step = 50 * time.Millisecond
	out := make(map[string]int)
	for now := from; now < to; now += step {
		for _, t := range table.All() {
			switch {
			case !t.Eligible(now):
				out[t.Address]++
			case cut(t):
				t.Failed(now)
			default:
				t.Answered(Dispatch{})
			}
		}
	}
	return out
}

func all(*Target) bool  { return true }
func none(*Target) bool { return false }

func eligible(table *Table, now core.Time) int {
	n := 0
	for _, t := range table.All() {
		if t.Eligible(now) {
			n++
		}
	}
	return n
}

func TestOwnLinkFailureEjectsNoTarget(t *testing.T) {
	for _, cutFor := range []time.Duration{time.Second, 30 * time.Second, 10 * time.Minute} {
		table := fleet(20)
		restored := time.Second + cutFor
		simulate(table, time.Second, restored, all)
		assert.Assert(t, table.Suspects(restored).Link)
		assert.Equal(t, eligible(table, restored+linkBackoff), 20, "cut for %v", cutFor)
		simulate(table, restored, restored+2*linkBackoff, none)
		assert.DeepEqual(t, table.Suspects(restored+2*linkBackoff), Suspects{})
	}
}

func TestOneBadTargetIsEjectedAlone(t *testing.T) {
	table := fleet(20)
	bad := table.All()[7]
	out := simulate(table, 0, time.Minute, func(t *Target) bool { return t == bad })
	assert.Equal(t, len(out), 1, "%v", out)
	assert.Assert(t, out[bad.Address] > 1100, "not eligible in %d of 1200 steps", out[bad.Address])
	assert.DeepEqual(t, table.Suspects(time.Minute), Suspects{})
}

func TestZoneIsEjectedOnlyWhileCutOff(t *testing.T) {
	table := fleet(21)
	out := simulate(table, 0, time.Minute, func(t *Target) bool { return t.Zone == "b" })
	for address := range out {
		assert.Equal(t, table.Get(address).Zone, "b")
	}
	assert.DeepEqual(t, table.Suspects(time.Minute), Suspects{Zones: []string{"b"}})
	assert.Equal(t, eligible(table, time.Minute+2*zoneBackoff), 21)
	simulate(table, time.Minute, time.Minute+zoneBackoff+50*time.Millisecond, none)
	assert.DeepEqual(t, table.Suspects(time.Minute+2*zoneBackoff), Suspects{})
}

func TestBadTargetInSmallZoneDoesNotEjectTheOthers(t *testing.T) {
	table := fleet(9)
	bad := table.Get("10.0.0.00:1")
	simulate(table, 0, time.Second, func(t *Target) bool { return t.Zone == "a" })
	out := simulate(table, time.Second, time.Minute, func(t *Target) bool { return t == bad })
	for address, steps := range out {
		assert.Assert(t, address == bad.Address || steps <= int(2*zoneBackoff/(50*time.Millisecond)), "%v", out)
	}
}

func TestOldFailuresAreNoEvidence(t *testing.T) {
	table := fleet(6)
	for i, target := range table.All() {
		target.Failed(time.Duration(i) * (failureWindow + time.Second))
	}
	assert.DeepEqual(t, table.Suspects(6*(failureWindow+time.Second)), Suspects{})
}

func TestTargetThatLeavesIsNotEligible(t *testing.T) {
	table := fleet(4)
	list := &hostlist.List{Version: 2}
	for i, target := range table.All() {
		host := target.Host
		if i == 0 {
			host.State = hostlist.StateLeaving
		}
		if i != 1 {
			list.Hosts = append(list.Hosts, host)
		}
	}
	table.Apply(list)
	assert.Equal(t, eligible(table, time.Hour), 2)
	list.Version = 1
	assert.Assert(t, !table.Apply(list))
}

func TestRefusalsAreNoEvidenceOfFailure(t *testing.T) {
	table := fleet(3)
	for _, target := range table.All() {
		target.Refused(time.Second)
	}
	assert.DeepEqual(t, table.Suspects(time.Second), Suspects{})
	assert.Equal(t, eligible(table, time.Second), 0)
	assert.Equal(t, eligible(table, time.Second+initialBackoff), 3)
	target := table.All()[0]
	target.Refused(2 * time.Second)
	assert.Assert(t, !target.Eligible(2*time.Second+initialBackoff))
	target.Answered(Dispatch{})
	assert.Assert(t, target.Eligible(2*time.Second))
}
