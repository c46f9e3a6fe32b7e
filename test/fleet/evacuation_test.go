package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core/evacuation"
	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

const (
	// evacuationBound is how long after the platform's confirmation requests may still reach the targets of a zone.
	evacuationBound = 5 * time.Second
	// platformReaders is the number of hosts that read the platform.
	platformReaders = 3
)

// evacuate makes the platform say which zones are evacuated. Only the hosts that read it learn of it from the platform.
func (f *fleet) evacuate(zones ...string) {
	revision := f.evacuations.Version + 10
	f.evacuations = evacuation.Published{Version: hostlist.VersionOf(0, revision), Zones: zones}
	readers := f.hosts[:min(platformReaders, len(f.hosts))]
	for _, h := range readers {
		h.Post(node.EvacuationsRead{Published: f.evacuations})
	}
}

// arrivalsIn returns how many requests of hosts that are not excused reached the targets of a zone in a span, and when the last
// one did; from if none did.
func (f *fleet) arrivalsIn(zone string, from, to virtual.Time) (count int, last virtual.Time) {
	last = from
	for _, t := range f.targets {
		if f.entryOf(t).Zone != zone {
			continue
		}
		for _, a := range t.arrivals {
			if a.at >= from && a.at < to && !a.excused {
				count++
				last = max(last, a.at)
			}
		}
	}
	return count, last
}

// evacuationHosts returns the numbers of hosts of the plays: 4 and 32, or EVACUATION_HOSTS.
func evacuationHosts(t *testing.T) []int {
	if hosts := fromEnvironment(t, "EVACUATION_HOSTS", 0); hosts > 0 {
		return []int{int(hosts)}
	}
	return []int{4, 32}
}

// TestEvacuatedZoneGetsNothingFromAnyHost guards against hosts that go on sending to an evacuated zone: those that the platform
// does not tell, that start, wake or come back meanwhile.
func TestEvacuatedZoneGetsNothingFromAnyHost(t *testing.T) {
	for _, hosts := range evacuationHosts(t) {
		for seed := range limitSeeds(t, 2) {
			t.Run(fmt.Sprint(hosts, "-hosts-seed-", seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, fleetOptions{hosts: hosts, engines: 9, desks: 6, seed: seed})
				until := f.world.Now() + 30*time.Second
				for _, h := range f.hosts {
					f.send(h, pathAsk, 40/float64(hosts), until)
					f.send(h, pathRead, 60/float64(hosts), until)
				}
				f.disturb(until)
				f.runFor(2 * time.Second)
				evacuated := f.world.Now()
				f.evacuate("a")
				f.runFor(10 * time.Second)
				f.evacuate("a", "c")
				both := f.world.Now()
				f.runFor(8 * time.Second)
				f.evacuate()
				ended := f.world.Now()
				f.world.Run(until)
				late, _ := f.arrivalsIn("a", evacuated+evacuationBound, ended)
				assert.Equal(t, late, 0)
				late, _ = f.arrivalsIn("c", both+evacuationBound, ended)
				assert.Equal(t, late, 0)
				_, last := f.arrivalsIn("a", evacuated, both)
				t.Logf("last request %v after the platform's word", last-evacuated)
				again, _ := f.arrivalsIn("a", ended, until)
				assert.Assert(t, again > 0, "the zone is in use again")
			})
		}
	}
}

// Terms of cold targets: how long one is cold, and what all hosts may send it in any second beside its requests a second.
const (
	coldTime      = 3 * time.Second
	coldPerSecond = 14
	coldOvershoot = 1.5
	coldSlack     = 5
)

// busiestSecond returns the most requests that reached the target within a second of a span.
func (t *target) busiestSecond(from, to virtual.Time) int {
	most := 0
	var window []virtual.Time
	for _, a := range t.arrivals {
		if a.at < from || a.at >= to {
			continue
		}
		window = append(window, a.at)
		for window[0] <= a.at-time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// TestZoneComesBackColdUnderABurstOfShortPrompts guards against engines that come back empty, look best to every host at the
// same moment, and get more than they take while they are cold: at the end of an evacuation, before their entries say so, and
// when they start under load and their entries do.
func TestZoneComesBackColdUnderABurstOfShortPrompts(t *testing.T) {
	const allowed = coldPerSecond*coldOvershoot + coldSlack
	for _, hosts := range evacuationHosts(t) {
		t.Run(fmt.Sprint(hosts, "-hosts"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{hosts: hosts, engines: 9, desks: 3, seed: 5, coldPerSecond: coldPerSecond})
			until := f.world.Now() + 20*time.Second
			for _, h := range f.hosts {
				f.send(h, pathAsk, 120/float64(hosts), until)
			}
			f.runFor(time.Second)
			f.evacuate("a")
			f.runFor(6 * time.Second)
			f.evacuate()
			returned := f.world.Now()
			f.runFor(time.Second)
			var entries []hostlist.Host
			for _, entry := range f.all {
				entry.Cold = entry.Zone == "a" && entry.Role == hostlist.RoleEngine
				entries = append(entries, entry)
			}
			f.publish(entries)
			f.runFor(coldTime)
			for _, target := range f.targets {
				if !target.engine || f.entryOf(target).Zone != "a" {
					continue
				}
				most := target.busiestSecond(returned, f.world.Now())
				t.Logf("%s: at most %d requests in a second, of %g", target.address, most, allowed)
				assert.Check(t, float64(most) <= allowed)
				used := slices.ContainsFunc(target.arrivals, func(a arrival) bool { return a.at > returned })
				assert.Check(t, used, "it gets some")
			}
			f.world.Run(until)
		})
	}
}
