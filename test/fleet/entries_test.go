package fleet

import (
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// staleEntry is an entry of a target that the host list shows again after the target has said there that it leaves.
type staleEntry struct {
	// missing is how long the entry is missing before it is shown, shown how long it is shown.
	missing, shown time.Duration
	// earlier is by how much its start is earlier than that of the process, in milliseconds.
	earlier int64
	// restored is set if the store has come back from an older copy; otherwise it has carried out a write late.
	restored bool
	// unannounced is set if the target has not said in its entry that it leaves, which is missing only.
	unannounced bool
}

// staleEntries are the ways in which the list may show an older entry of a target.
var staleEntries = map[string]staleEntry{
	"copy with an earlier start for 4 s":    {shown: 4 * time.Second, earlier: 2, restored: true},
	"copy with an earlier start for 13 s":   {shown: 13 * time.Second, earlier: 2, restored: true},
	"copy with the same start for 4 s":      {shown: 4 * time.Second, restored: true},
	"copy with the same start for 13 s":     {shown: 13 * time.Second, restored: true},
	"late write":                            {shown: 1500 * time.Millisecond},
	"late write after the entry is missing": {missing: time.Second, shown: 1500 * time.Millisecond},
	"late write after it left unannounced":  {missing: 4 * time.Second, shown: 1500 * time.Millisecond, unannounced: true},
	"copy after it left unannounced":        {missing: 4 * time.Second, shown: 13 * time.Second, restored: true, unannounced: true},
}

// newEntriesFleet returns four hosts under load, and an engine and a target of a plain service beside others.
func newEntriesFleet(t *testing.T) (f *fleet, engine, desk *target) {
	t.Helper()
	f = newFleet(t, fleetOptions{hosts: 4, engines: 3, desks: 2, seed: 9})
	for i := range f.all {
		f.all[i].Start = firstEntryStart
	}
	for _, target := range f.targets {
		target.startMs = firstEntryStart
	}
	f.relist(nil)
	until := f.world.Now() + time.Minute
	f.answerReads(until)
	for _, h := range f.hosts {
		f.send(h, pathAsk, 10, until)
		f.send(h, pathRead, 20, until)
	}
	f.runFor(2 * time.Second)
	return f, f.targets[0], f.targets[3]
}

// answerReads lets the platform answer all hosts' reads until an instant.
func (f *fleet) answerReads(until virtual.Time) {
	for _, h := range f.hosts {
		h.Post(node.PlatformAnswered{Restores: hostlist.RestoresOf(f.list.Version)})
	}
	if f.world.Now() < until {
		f.world.After(500*time.Millisecond, func() { f.answerReads(until) })
	}
}

// firstEntryStart is the start of the first processes, with room for earlier ones.
const firstEntryStart = 1_000

// changeEntries changes the entries that the platform has.
func (f *fleet) changeEntries(change func(*hostlist.Host), targets ...*target) {
	for _, t := range targets {
		for i := range f.all {
			if f.all[i].Address == t.address {
				change(&f.all[i])
			}
		}
	}
}

// publishWithout publishes what the platform has, without the entries of some targets. A platform that has been restored gives its
// revisions out again.
func (f *fleet) publishWithout(restores uint64, targets ...*target) {
	entries := slices.DeleteFunc(slices.Clone(f.all), func(e hostlist.Host) bool {
		return slices.ContainsFunc(targets, func(t *target) bool { return t.address == e.Address })
	})
	version := f.list.Version + 1
	if restores > hostlist.RestoresOf(version) {
		version = hostlist.VersionOf(restores, 1)
	}
	f.publishAs(version, entries)
}

// checkNothingSentAfter checks that nothing has reached a target that callers sent later than drainTime after an instant.
func (t *target) checkNothingSentAfter(said virtual.Time) {
	t.fleet.t.Helper()
	late, all := 0, 0
	for _, a := range t.arrivals {
		if a.submitted > said+drainTime {
			late++
		}
	}
	for _, other := range t.fleet.targets {
		for _, a := range other.arrivals {
			if other.engine == t.engine && a.submitted > said+drainTime {
				all++
			}
		}
	}
	assert.Check(t.fleet.t, late == 0, "%s: %d of %d requests, sent later than %v after its word", t.address, late, all, drainTime)
	assert.Check(t.fleet.t, all > late, "others of its service are in use")
}

// TestTargetStaysLeftWhenTheListShowsAnOlderEntry guards against requests to a target whose entry has said that it leaves, or has
// been withdrawn, once the list shows an older entry of it as live. Its answers don't say that it leaves, and its health does not show
// that it serves.
func TestTargetStaysLeftWhenTheListShowsAnOlderEntry(t *testing.T) {
	for name, stale := range staleEntries {
		t.Run(name, func(t *testing.T) {
			f, engine, desk := newEntriesFleet(t)
			for _, left := range []*target{engine, desk} {
				left.unhealthy = true
			}
			if !stale.unannounced {
				f.changeEntries(func(e *hostlist.Host) { e.State = hostlist.StateLeaving }, engine, desk)
				f.publishWithout(0)
			} else {
				f.publishWithout(0, engine, desk)
			}
			said := f.world.Now()
			f.runFor(3 * time.Second)
			if stale.missing > 0 {
				f.publishWithout(0, engine, desk)
				f.runFor(stale.missing)
			}
			restores := uint64(0)
			if stale.restored {
				restores = 1
			}
			f.changeEntries(func(e *hostlist.Host) { e.State, e.Start = hostlist.StateLive, firstEntryStart-stale.earlier }, engine, desk)
			f.publishWithout(restores)
			f.runFor(stale.shown)
			f.publishWithout(restores, engine, desk)
			f.runFor(26*time.Second - stale.shown - stale.missing)
			engine.checkNothingSentAfter(said)
			desk.checkNothingSentAfter(said)
		})
	}
}

// TestHostThatStartsHearsWhichTargetsLeftByTheirEntries guards against requests to a target whose entry has said that it leaves, from a
// host that starts while the list shows an older entry of it: nothing but its peers can tell it.
func TestHostThatStartsHearsWhichTargetsLeftByTheirEntries(t *testing.T) {
	f, engine, desk := newEntriesFleet(t)
	engine.unhealthy, desk.unhealthy = true, true
	f.changeEntries(func(e *hostlist.Host) { e.State = hostlist.StateLeaving }, engine, desk)
	f.publishWithout(0)
	said := f.world.Now()
	f.runFor(3 * time.Second)
	f.changeEntries(func(e *hostlist.Host) { e.State = hostlist.StateLive }, engine, desk)
	f.publishWithout(1)
	for _, h := range f.hosts {
		f.restart(h)
		h.Post(node.PlatformAnswered{Restores: 1})
		f.runFor(3 * time.Second)
	}
	engine.checkNothingSentAfter(said)
	desk.checkNothingSentAfter(said)
	for _, h := range f.hosts {
		assert.Check(t, h.Snapshot().Ready)
	}
}

// TestTargetStaysLeftWhenItsHealthIsFalse guards against a health answer that is taken as proof of another process, while the list
// shows an earlier start and the process that has said that it leaves still has the address.
func TestTargetStaysLeftWhenItsHealthIsFalse(t *testing.T) {
	f, engine, desk := newEntriesFleet(t)
	for _, left := range []*target{engine, desk} {
		left.sayLeaving()
		left.falseHealth = true
	}
	f.runFor(3 * time.Second)
	f.changeEntries(func(e *hostlist.Host) { e.Start = firstEntryStart - 1 }, engine, desk)
	f.publishWithout(0)
	f.runFor(8 * time.Second)
	engine.checkNothingLate()
	desk.checkNothingLate()
}

// servedWithin is how soon a process is used after its entry is there.
const servedWithin = 2 * time.Second

// TestTargetIsServedAgainAfterItsEntryHasSaidThatItLeaves guards against a target that gets nothing for good: a new process under the
// same name, and a process whose entry was only missing, as after a time without contact to the platform.
func TestTargetIsServedAgainAfterItsEntryHasSaidThatItLeaves(t *testing.T) {
	for name, c := range map[string]struct{ leaves, startsAgain bool }{
		"new process after it left":       {leaves: true, startsAgain: true},
		"new process, entry was missing":  {startsAgain: true},
		"the same process, entry is back": {},
	} {
		t.Run(name, func(t *testing.T) {
			f, engine, desk := newEntriesFleet(t)
			if c.leaves {
				f.changeEntries(func(e *hostlist.Host) { e.State = hostlist.StateLeaving }, engine, desk)
				f.publishWithout(0)
				f.runFor(3 * time.Second)
			}
			f.publishWithout(0, engine, desk)
			f.runFor(4 * time.Second)
			for _, back := range []*target{engine, desk} {
				if c.startsAgain {
					back.nextProcess()
				}
				f.changeEntries(func(e *hostlist.Host) { e.State, e.Start = hostlist.StateLive, back.startMs }, back)
			}
			f.publishWithout(0)
			listed := f.world.Now()
			f.runFor(5 * time.Second)
			for _, back := range []*target{engine, desk} {
				first := never
				for _, a := range back.arrivals {
					if a.at > listed && first == never {
						first = a.at
					}
				}
				soon := first != never && first < listed+servedWithin
				assert.Check(t, soon, "%s gets the first request at %v, listed at %v", back.address, first, listed)
			}
		})
	}
}
