package routes

import (
	"strings"

	"carobshunt/internal/core"
)

// Caller is who asks for entry hosts: for an authority, from a zone and region as far as the caller names them.
type Caller struct{ Authority, Region, Zone string }

// Restricts reports whether an answer to the caller may name only some of the hosts.
func (t *Table) Restricts(c *Caller) bool {
	_, restricted := t.restrictions.byAuthority[strings.ToLower(c.Authority)]
	return restricted
}

// HostZones returns the zones whose hosts an answer to the caller may name: those that all routes of the authority allow,
// and second those of the caller's own region. That is the region that the caller names or, if it contains no zone, the one of
// the caller's zone.
func (t *Table) HostZones(c *Caller) (allowed, own core.ZoneSet) {
	x := &t.restrictions
	allowed = x.byAuthority[strings.ToLower(c.Authority)]
	own, known := x.byRegion[c.Region]
	if !known {
		own, known = x.byRegion[x.regions[c.Zone]]
	}
	if !known {
		return allowed, core.OnlyZones(nil)
	}
	return allowed, own
}
