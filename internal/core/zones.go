package core

import "slices"

// ZoneSet is the set of availability zones in which a request may run. The zero value is the set of all zones.
type ZoneSet struct {
	restricted bool
	zones      []string
}

// OnlyZones returns the set of the given zones; without any, the set is empty.
func OnlyZones(zones []string) ZoneSet { return ZoneSet{restricted: true, zones: zones} }

// Restricted reports whether the set leaves out any zone.
func (s ZoneSet) Restricted() bool { return s.restricted }

// Has reports whether a zone is in the set.
func (s ZoneSet) Has(zone string) bool { return !s.restricted || slices.Contains(s.zones, zone) }

// Intersect returns the set of the zones that are in both sets.
func (s ZoneSet) Intersect(other ZoneSet) ZoneSet {
	switch {
	case !s.restricted:
		return other
	case !other.restricted:
		return s
	}
	var both []string
	for _, zone := range s.zones {
		if other.Has(zone) {
			both = append(both, zone)
		}
	}
	return OnlyZones(both)
}
