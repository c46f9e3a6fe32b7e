package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// departures is a play of targets that say that they leave, beside all other trouble that targets, the platform and hosts
// have: see trouble.
type departures struct {
	*fleet
	until virtual.Time
	// entries are what the targets wrote last, by address, and past is what the platform held before, the newest last.
	entries map[string]hostlist.Host
	past    []map[string]hostlist.Host
	// shown replaces what the targets wrote while an older copy, or another writer's entries, are read.
	shown map[string]hostlist.Host
	// restores counts how often the platform has come back from an older copy, revision the lists that it has published.
	restores uint64
	revision uint64
	prompts  prompts
	// departed counts the targets that said that they leave.
	departed int
}

// pastCopies is the number of earlier states that the platform may come back from.
const pastCopies = 12

func newDepartures(t *testing.T, hosts int, seed uint64, length time.Duration) *departures {
	t.Helper()
	f := newFleet(t, fleetOptions{hosts: hosts, engines: 6, desks: 4, seed: seed})
	d := &departures{fleet: f, until: f.world.Now() + length, entries: make(map[string]hostlist.Host)}
	d.prompts.rng = f.rng
	d.revision = f.list.Version
	for _, entry := range f.all {
		d.entries[entry.Address] = entry
	}
	d.harms = func(parts []core.PartID) (core.PartID, bool) {
		return harmfulParts, slices.Contains(parts, harmfulParts) && d.world.Now() < d.until
	}
	d.listEngine = func(t *target, listed bool) {
		if listed {
			d.register(t)
			return
		}
		d.write(t, func(entries map[string]hostlist.Host, _ hostlist.Host) { delete(entries, t.address) })
	}
	return d
}

// publishAll publishes what is shown now, to the hosts that are not cut off.
func (d *departures) publishAll() {
	shown := d.entries
	if d.shown != nil {
		shown = d.shown
	}
	d.revision++
	d.list = &hostlist.List{Version: hostlist.VersionOf(d.restores, d.revision)}
	for _, entry := range d.all {
		if e, ok := shown[entry.Address]; ok {
			d.list.Hosts = append(d.list.Hosts, e)
		}
	}
	for _, h := range d.hosts {
		if !d.down[h.Peer()] {
			d.tell(h)
		}
	}
}

func (d *departures) tell(h *virtual.Host) {
	h.Post(node.PlatformAnswered{Restores: d.restores})
	h.Post(node.HostsReceived{List: d.list, Source: conf.SourcePlatform})
	if !h.Alive() || h.Paused() {
		return
	}
	for _, entry := range d.list.Hosts {
		for _, t := range d.targets {
			if entry.State == hostlist.StateLeaving && t.address == entry.Address && t.startMs == entry.Start {
				t.tellLeaving(h.Self())
			}
		}
	}
}

// write changes what a target has written, and publishes it.
func (d *departures) write(t *target, change func(map[string]hostlist.Host, hostlist.Host)) {
	d.past = append(d.past, maps.Clone(d.entries))
	d.past = d.past[max(len(d.past)-pastCopies, 0):]
	entry := d.entryOf(t)
	change(d.entries, entry)
	d.publishAll()
}

func (d *departures) register(t *target) {
	d.write(t, func(entries map[string]hostlist.Host, entry hostlist.Host) { entries[t.address] = entry })
}

// upTo returns a random duration below a bound.
func (d *departures) upTo(bound time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(bound)))
}

// depart lets a target say that it leaves. Then its process ends, and another one takes its place, often under the same name.
// What it writes arrives late.
func (d *departures) depart(t *target) {
	if t.down || t.notice.Leaving || t.unhealthy {
		return
	}
	d.departed++
	process := t.starts
	switch d.rng.IntN(4) {
	case 0: // by its entry alone
		t.unhealthy = true
		d.departByEntry(t, 0)
	case 1: // in its first answers alone
		t.sayLeaving()
		d.world.After(d.upTo(time.Second), func() {
			if t.starts == process {
				t.notice.Leaving, t.unhealthy = false, true
			}
		})
	default:
		t.sayLeaving()
		if d.rng.IntN(3) == 0 { // many say it to the platform too
			d.departByEntry(t, d.upTo(2*time.Second))
		}
	}
	d.world.After(3*time.Second+d.upTo(6*time.Second), func() {
		if t.starts == process {
			d.end(t)
		}
	})
}

// departByEntry lets the entry of a target say that it leaves, and then be missing or, for a moment, live again, as by a write that the
// store carries out late.
func (d *departures) departByEntry(t *target, after time.Duration) {
	process := t.starts
	write := func(after time.Duration, change func(map[string]hostlist.Host, hostlist.Host)) {
		d.world.After(after, func() {
			if t.starts == process && !t.down {
				d.write(t, change)
			}
		})
	}
	leave := func(entries map[string]hostlist.Host, entry hostlist.Host) {
		entry.State = hostlist.StateLeaving
		entries[t.address] = entry
	}
	remove := func(entries map[string]hostlist.Host, _ hostlist.Host) { delete(entries, t.address) }
	live := func(entries map[string]hostlist.Host, entry hostlist.Host) { entries[t.address] = entry }
	write(after, leave)
	if d.rng.IntN(2) == 0 {
		write(after+d.upTo(time.Second), remove)
	}
	if d.rng.IntN(2) == 0 {
		late := after + time.Second + d.upTo(3*time.Second)
		write(late, live)
		write(late+d.upTo(1500*time.Millisecond), leave)
	}
}

// end ends the process of a target, and starts another one.
func (d *departures) end(t *target) {
	if t.down {
		return
	}
	t.down = true
	for _, r := range slices.Clone(t.runs) {
		t.finish(r, node.EndedLost)
	}
	d.world.After(d.upTo(3*time.Second), func() {
		t.down = false
		t.nextProcess()
		if d.rng.IntN(3) == 0 {
			t.instance += "+"
		}
		if d.rng.IntN(3) == 0 && d.world.Now() < d.until { // it is about to leave at once
			t.sayLeaving()
			d.world.After(5*time.Second, func() { d.end(t) })
		}
		d.world.After(d.upTo(4*time.Second), func() { d.register(t) })
	})
}

// restore lets the platform come back from an older copy for a while.
func (d *departures) restore() {
	if d.shown != nil || len(d.past) == 0 {
		return
	}
	d.restores++
	d.shown = d.past[d.rng.IntN(len(d.past))]
	d.publishAll()
	d.world.After(d.upTo(5*time.Second), func() {
		d.shown = nil
		d.publishAll()
	})
}

// spoil lets another writer write the entry of a target for a moment: it names no target then.
func (d *departures) spoil(t *target) {
	if d.shown != nil {
		return
	}
	d.shown = maps.Clone(d.entries)
	delete(d.shown, t.address)
	d.publishAll()
	d.world.After(d.upTo(2*time.Second), func() {
		d.shown = nil
		d.publishAll()
	})
}

// refuse lets a target refuse requests, and ask for quiet.
func (d *departures) refuse(t *target) {
	process := t.starts
	t.refuses, t.notice.RetryAfter = true, time.Second
	d.world.After(d.upTo(3*time.Second), func() {
		if t.starts == process {
			t.refuses, t.notice.RetryAfter = false, 0
		}
	})
}

// trouble causes one random trouble after the other.
func (d *departures) trouble() {
	d.world.After(d.upTo(time.Second), func() {
		if d.world.Now() >= d.until {
			return
		}
		t := d.targets[d.rng.IntN(len(d.targets))]
		switch d.rng.IntN(8) {
		case 0, 1, 2:
			d.depart(t)
		case 3:
			d.end(t)
		case 4:
			d.restore()
		case 5:
			d.spoil(t)
		case 6:
			d.refuse(t)
		case 7:
			t.nameLimit(1 + 20*d.rng.Float64())
			d.world.After(d.upTo(6*time.Second), t.endLimit)
		}
		d.trouble()
	})
}

// disturbHosts kills, suspends and cuts off hosts, and tells those that come back what the platform has then.
func (d *departures) disturbHosts() {
	d.world.After(time.Second+d.upTo(4*time.Second), func() {
		if d.world.Now() >= d.until {
			return
		}
		h := d.hosts[d.rng.IntN(len(d.hosts))]
		if length := 200*time.Millisecond + d.upTo(6*time.Second); !d.excused(h) {
			d.disturbHost(h, length)
			for _, t := range d.targets {
				if h.Paused() {
					delete(t.toldLeaving, h.Self())
				}
			}
			d.world.After(length+4*time.Second, func() { d.tell(h) })
		}
		d.disturbHosts()
	})
}

// callers send requests, some with harmful prompts, and some leave soon.
func (d *departures) callers(h *virtual.Host, rate float64) {
	pause := time.Duration(d.rng.ExpFloat64() / rate * float64(time.Second))
	d.world.After(pause, func() {
		path, parts := pathRead, []core.PartID(nil)
		if d.rng.IntN(3) == 0 {
			path, parts = pathAsk, d.prompts.sound()
			if d.rng.IntN(150) == 0 {
				parts = d.prompts.withPart(harmfulParts, 1)
			}
		}
		id := d.submitPrompt(h, path, parts)
		if d.rng.IntN(10) == 0 {
			d.world.After(d.upTo(100*time.Millisecond), func() { h.Post(node.CallerLeft{Key: core.Key{ID: id}}) })
		}
		d.callers(h, rate)
	})
}

// recoveryTime is how long after the last trouble every host uses every target again.
const recoveryTime = 25 * time.Second

// run plays, checks that all targets are in use again after the trouble, and returns the number of requests that were late.
func (d *departures) run() int {
	for _, h := range d.hosts {
		d.callers(h, max(120/float64(len(d.hosts)), 2))
	}
	d.trouble()
	d.disturbHosts()
	d.world.Run(d.until + recoveryTime)
	late := 0
	for _, t := range d.targets {
		late += len(t.late)
		for _, a := range t.late {
			d.t.Logf("%s: %v sends a request at %v that was submitted at %v", t.address, a.home, a.at, a.submitted)
		}
	}
	for _, h := range d.hosts {
		d.checkInUse(h)
	}
	return late
}

// checkInUse checks that a host uses all targets that don't leave.
func (d *departures) checkInUse(h *virtual.Host) {
	known := make(map[string]api.TargetStatus)
	for _, t := range h.Snapshot().Status.Targets {
		known[t.Address] = t
	}
	for _, t := range d.targets {
		status := known[t.address]
		ok := status.Eligible || t.notice.Leaving || t.unhealthy
		assert.Check(d.t, ok, "%s does not use %s from %d ms: %+v", h.Peer(), t.instance, t.startMs, status)
	}
}

// TestTargetsThatLeaveGetNothingNewBesideOtherTrouble guards against requests to a target that has said that it leaves, while
// targets start again under their names, their entries are late, spoiled, or of an older copy, hosts come and go, prompts do
// harm, and callers leave; and against a target that gets nothing for good.
func TestTargetsThatLeaveGetNothingNewBesideOtherTrouble(t *testing.T) {
	for seed := range fromEnvironment(t, "DEPARTURE_SEEDS", 8) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			d := newDepartures(t, 4, seed, time.Minute)
			late := d.run()
			assert.Check(t, late == 0, "%d late requests", late)
			assert.Check(t, d.departed > 10)
		})
	}
}

// TestTargetsThatLeaveGetNothingNewFromManyHosts guards against the same beside many hosts, which hear of each other late.
// DEPARTURE_HOSTS sets their number.
func TestTargetsThatLeaveGetNothingNewFromManyHosts(t *testing.T) {
	hosts := int(fromEnvironment(t, "DEPARTURE_HOSTS", 77))
	late := newDepartures(t, hosts, 1, 25*time.Second).run()
	assert.Check(t, late == 0, "%d late requests", late)
}
