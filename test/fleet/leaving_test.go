package fleet

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// drainTime is how long a request that a caller sends may still reach a target after the host has passed on an answer in
// which the target says that it leaves.
const drainTime = 2 * time.Second

// sayLeaving makes the target say that it is about to stop, from now on.
func (t *target) sayLeaving() {
	t.notice.Leaving = true
	t.leavingSince = t.fleet.world.Now()
}

// relist publishes a new version of the host list, with or without a target.
func (f *fleet) relist(without *target) {
	var entries []hostlist.Host
	for _, entry := range f.all {
		if without == nil || entry.Address != without.address {
			entries = append(entries, entry)
		}
	}
	f.publish(entries)
}

// TestTargetThatSaysItLeavesGetsNothingNew guards against requests to a target that has said in an answer that it leaves,
// while the platform's list still has it as live.
func TestTargetThatSaysItLeavesGetsNothingNew(t *testing.T) {
	for seed := range limitSeeds(t, 3) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			f := newFleet(t, fleetOptions{hosts: 4, engines: 3, desks: 2, seed: seed})
			until := f.world.Now() + 20*time.Second
			for _, h := range f.hosts {
				f.send(h, pathAsk, 10, until)
				f.send(h, pathRead, 20, until)
			}
			f.world.Run(f.world.Now() + 2*time.Second)
			engine, desk := f.targets[0], f.targets[3]
			engine.sayLeaving()
			desk.sayLeaving()
			f.world.Run(f.world.Now() + 4*time.Second)
			f.relist(desk) // its entry is missing for a moment, or the store has come back from an older copy
			f.world.Run(f.world.Now() + time.Second)
			f.relist(nil)
			f.world.Run(f.world.Now() + time.Second)
			restarted := f.hosts[int(seed)%len(f.hosts)]
			f.restart(restarted) // it has forgotten what it knew
			f.world.Run(until)
			for _, left := range []*target{engine, desk} {
				late := len(left.late)
				assert.Check(t, late == 0, "%s: %d requests after it had said that it leaves", left.address, late)
				last := left.arrivals[len(left.arrivals)-1]
				assert.Check(t, last.at < left.leavingSince+drainTime, "%s: %v sends to it, which was told by others", left.address, last.home)
			}
			served := f.targets[4].arrivals
			assert.Assert(t, served[len(served)-1].at > until-time.Second, "the other target is in use")
		})
	}
}

// TestNewTargetAtTheAddressOfOneThatLeftIsServed guards against an address that is never used again.
func TestNewTargetAtTheAddressOfOneThatLeftIsServed(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 4, engines: 1, desks: 2, seed: 9})
	until := f.world.Now() + 15*time.Second
	for _, h := range f.hosts {
		f.send(h, pathRead, 20, until)
	}
	desk := f.targets[1]
	desk.sayLeaving()
	f.world.Run(f.world.Now() + 5*time.Second)
	desk.nextProcess()
	for i := range f.all {
		if f.all[i].Address == desk.address {
			f.all[i].Instance, f.all[i].Start = "another", desk.startMs
			desk.instance = "another"
		}
	}
	f.relist(nil)
	again := f.world.Now()
	f.world.Run(until)
	assert.Assert(t, desk.arrivals[len(desk.arrivals)-1].at > again+time.Second)
}

// holdTime is what a target asks for that wants no requests for a while, holdGrace how long after its answer requests may
// still be on their way, and maxWhileHeld how many may reach it in between.
const (
	holdTime     = 3 * time.Second
	holdGrace    = 500 * time.Millisecond
	maxWhileHeld = 2
)

// heldArrivals returns the largest number of requests that one process sent while the target wanted none from it.
func (t *target) heldArrivals() int {
	most := 0
	for home, since := range t.refused {
		for _, from := range since {
			n := 0
			for _, a := range t.arrivals {
				if a.home == home && a.at > from+holdGrace && a.at < from+holdTime {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// TestTargetThatWantsNothingForAWhileIsLeftAlone guards against requests to a target whose refusal says for how long it
// wants none, and against all hosts returning to it in one wave.
func TestTargetThatWantsNothingForAWhileIsLeftAlone(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 4, engines: 2, desks: 3, seed: 4})
	until := f.world.Now() + 20*time.Second
	for _, h := range f.hosts {
		f.send(h, pathAsk, 10, until)
		f.send(h, pathRead, 40, until)
	}
	f.world.Run(f.world.Now() + 2*time.Second)
	refusing := []*target{f.targets[0], f.targets[2]}
	for _, r := range refusing {
		r.refuses, r.notice.RetryAfter = true, holdTime
	}
	f.world.Run(f.world.Now() + 7*time.Second)
	back := f.world.Now()
	for _, r := range refusing {
		r.refuses, r.notice.RetryAfter = false, 0
	}
	f.world.Run(until)
	for _, r := range refusing {
		assert.Check(t, r.heldArrivals() <= maxWhileHeld, "%s: %d requests of one host while it wanted none", r.address, r.heldArrivals())
		perHost := make(map[core.Home]virtual.Time)
		for _, a := range r.arrivals {
			if a.at >= back && perHost[a.home] == 0 {
				perHost[a.home] = a.at
			}
		}
		assert.Check(t, len(perHost) == len(f.hosts), "%s: %d hosts use it again", r.address, len(perHost))
		for home, first := range perHost {
			wave := 0
			for _, a := range r.arrivals {
				if a.home == home && a.at >= first && a.at < first+deskTime {
					wave++
				}
			}
			assert.Check(t, wave == 1, "%s: %v sends %d requests before the first is answered", r.address, home, wave)
		}
	}
}
