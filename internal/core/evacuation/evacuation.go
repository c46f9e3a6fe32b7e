// Package evacuation keeps which availability zones are evacuated: operators want nothing new sent to the targets there.
//
// The platform's store holds one key for each evacuated zone. Hosts that read the store learn of all keys together, as of a
// revision of the store, and tell the other hosts both. Of two sets, the one as of the later revision is right, whatever the
// order in which a host hears of them.
package evacuation

import (
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// rewriteTime is how long after the store came back from an older copy its set is not taken as complete: what operators wrote
// since that copy is written again within two seconds.
const rewriteTime = 2200 * time.Millisecond

// MaxZones is the maximum number of zones of a set. There are far fewer zones; more would only be a malformed message.
const MaxZones = 1024

// Published is the set of evacuated zones as of a revision of the store, as hosts tell it each other.
type Published struct {
	// Version is that of hostlist.VersionOf, with the revision of the store as of which the set was complete; 0 if unknown.
	Version uint64 `json:"v,omitempty"`
	// Zones are the evacuated zones, sorted.
	Zones []string `json:"z,omitempty"`
}

// Set is one host's view of the evacuated zones. It is not safe for concurrent use.
type Set struct {
	latest Published
	// keptUntil holds the zones that were evacuated before the store came back from an older copy, and until when each
	// counts as evacuated although the store does not say so.
	keptUntil map[string]core.Time
	// inForce are the zones that counted as evacuated at the last Update, sorted.
	inForce []string
}

// Change is what Update has changed. The zones are sorted.
type Change struct {
	Evacuated []string
	Ended     []string
}

// Empty reports whether there is no change.
func (c *Change) Empty() bool { return len(c.Evacuated) == 0 && len(c.Ended) == 0 }

// Published returns the set for the heartbeats to peers.
func (s *Set) Published() Published { return s.latest }

// Offer takes a set unless a later one is known, and reports whether it did. The caller calls Update next.
func (s *Set) Offer(now core.Time, p Published) bool {
	if p.Version <= s.latest.Version || len(p.Zones) > MaxZones {
		return false
	}
	if s.latest.Version > 0 && hostlist.RestoresOf(p.Version) > hostlist.RestoresOf(s.latest.Version) {
		s.awaitRewrite(now)
	}
	zones := slices.Clone(p.Zones)
	slices.Sort(zones)
	s.latest = Published{Version: p.Version, Zones: slices.Compact(zones)}
	return true
}

// awaitRewrite keeps the zones of the latest set evacuated for rewriteTime after the store was restored.
func (s *Set) awaitRewrite(now core.Time) {
	if s.keptUntil == nil {
		s.keptUntil = make(map[string]core.Time)
	}
	for _, zone := range s.latest.Zones {
		s.keptUntil[zone] = now + rewriteTime
	}
}

// Update brings the zones in force up to date and returns what has changed since the last call.
func (s *Set) Update(now core.Time) Change {
	next := slices.Clone(s.latest.Zones)
	for zone, until := range s.keptUntil {
		if now >= until {
			delete(s.keptUntil, zone)
			continue
		}
		next = append(next, zone)
	}
	slices.Sort(next)
	next = slices.Compact(next)
	change := Change{Evacuated: without(next, s.inForce), Ended: without(s.inForce, next)}
	s.inForce = next
	return change
}

// without returns the elements of a that b lacks.
func without(a, b []string) []string {
	var out []string
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// Evacuated reports whether a zone counted as evacuated at the last Update.
func (s *Set) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(s.inForce, zone)
	return found
}

// Zones returns the zones in force, sorted. The caller must not change the slice.
func (s *Set) Zones() []string { return s.inForce }
