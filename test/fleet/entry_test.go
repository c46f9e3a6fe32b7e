package fleet

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// listAs publishes a version of the host list in which the entry of a target is another one.
func (f *fleet) listAs(t *target, change func(*hostlist.Host)) {
	var entries []hostlist.Host
	for _, entry := range f.all {
		if entry.Address == t.address {
			change(&entry)
		}
		entries = append(entries, entry)
	}
	f.publish(entries)
}

// leavingFleet returns four hosts under load, and an engine and a plain service's target that have a twin each.
func leavingFleet(t *testing.T, seed uint64) (f *fleet, engine, desk *target) {
	t.Helper()
	f = newFleet(t, fleetOptions{hosts: 4, engines: 2, desks: 2, seed: seed})
	for _, h := range f.hosts {
		f.send(h, pathAsk, 10, f.world.Now()+time.Minute)
		f.send(h, pathRead, 20, f.world.Now()+time.Minute)
	}
	f.world.Run(f.world.Now() + 2*time.Second)
	return f, f.targets[0], f.targets[2]
}

func (f *fleet) runFor(d time.Duration) { f.world.Run(f.world.Now() + d) }

func (t *target) checkNothingLate() {
	t.fleet.t.Helper()
	if n := len(t.late); n > 0 {
		t.fleet.t.Errorf("%s: %d requests after it had said that it leaves, the first %v after",
			t.address, n, t.late[0].submitted-t.toldLeaving[t.late[0].home])
	}
}

// TestTargetThatLeavesStaysLeftWhenItsEntryShowsAnotherStart guards against requests to a target that has said that it leaves,
// once the host list has it with another start: an older copy of its entry, one that is read late, or one without a start.
func TestTargetThatLeavesStaysLeftWhenItsEntryShowsAnotherStart(t *testing.T) {
	for name, startMs := range map[string]int64{"older": firstStartMs - 1, "newer": firstStartMs + 1} {
		t.Run(name, func(t *testing.T) {
			f, engine, desk := leavingFleet(t, 1)
			for _, left := range []*target{engine, desk} {
				left.sayLeaving()
				f.runFor(3 * time.Second)
				f.listAs(left, func(entry *hostlist.Host) { entry.Start = startMs })
				f.runFor(5 * time.Second)
				f.relist(nil)
				f.runFor(3 * time.Second)
				left.checkNothingLate()
			}
		})
	}
}

// TestTargetThatLeavesStaysLeftWhenItsAnswerArrivesUnderAnotherEntry guards against word of leaving that is taken for that of
// the process which the host list has at the address when the answer arrives, and is lost for the one that gave it.
func TestTargetThatLeavesStaysLeftWhenItsAnswerArrivesUnderAnotherEntry(t *testing.T) {
	f, engine, desk := leavingFleet(t, 1)
	for _, left := range []*target{engine, desk} {
		left.sayLeaving()
		f.listAs(left, func(entry *hostlist.Host) { entry.Instance = "before" })
		f.runFor(3 * time.Second)
		f.relist(nil)
		f.runFor(3 * time.Second)
		left.checkNothingLate()
	}
}

// TestTargetIsServedAgainAfterItsProcessHasLeft guards against a target that gets nothing for good because an earlier process
// under its name has said that it leaves.
func TestTargetIsServedAgainAfterItsProcessHasLeft(t *testing.T) {
	for _, lag := range []time.Duration{0, 2 * time.Second} {
		t.Run(fmt.Sprint("listed-after-", lag), func(t *testing.T) {
			f, engine, desk := leavingFleet(t, 1)
			for _, left := range []*target{engine, desk} {
				left.sayLeaving()
				f.runFor(4 * time.Second)
				left.nextProcess()
				f.runFor(lag)
				for i := range f.all {
					if f.all[i].Address == left.address {
						f.all[i].Start = left.startMs
					}
				}
				f.relist(nil)
				listed := f.world.Now()
				f.runFor(5 * time.Second)
				assert.Assert(t, left.arrivals[len(left.arrivals)-1].at > listed)
				for _, a := range left.arrivals {
					if a.at > listed {
						assert.Check(t, a.at < listed+2*time.Second, "%s gets nothing until %v after it is listed", left.address, a.at-listed)
						break
					}
				}
				left.checkNothingLate()
			}
		})
	}
}
