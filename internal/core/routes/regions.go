package routes

import (
	"maps"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/document"
)

// Regions maps availability zones to the regions that contain them. A zone that it does not have is in no region.
type Regions map[string]string

// zones returns the set of the zones in the listed regions: all zones if there is no list.
func (r Regions) zones(regions []string) core.ZoneSet {
	if regions == nil {
		return core.ZoneSet{}
	}
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(r)) {
		if slices.Contains(regions, r[zone]) {
			zones = append(zones, zone)
		}
	}
	return core.OnlyZones(zones)
}

// restrictions are the sets of zones in which requests of the document's routes and teams may run, as far as they have
// regions.
type restrictions struct {
	regions Regions
	byRoute map[*document.Route]core.ZoneSet
	byTeam  map[string]core.ZoneSet
	// byAuthority holds the zones that all routes of an authority allow, as a lookup does not name the path.
	byAuthority map[string]core.ZoneSet
	// byRegion holds the zones of each region.
	byRegion map[string]core.ZoneSet
	// unknown are the regions that are listed and contain no zone, sorted.
	unknown []string
}

func restrictionsOf(doc *document.Document, regions Regions, byAuthority map[string][]*document.Route) restrictions {
	x := restrictions{
		regions:     regions,
		byRoute:     make(map[*document.Route]core.ZoneSet),
		byTeam:      make(map[string]core.ZoneSet),
		byAuthority: make(map[string]core.ZoneSet),
		byRegion:    make(map[string]core.ZoneSet),
	}
	for _, region := range regions {
		x.byRegion[region] = regions.zones([]string{region})
	}
	unknown := make(map[string]bool)
	zonesOf := func(listed []string) core.ZoneSet {
		for _, region := range listed {
			if _, known := x.byRegion[region]; !known {
				unknown[region] = true
			}
		}
		return regions.zones(listed)
	}
	for authority, routes := range byAuthority {
		for _, r := range routes {
			if r.Regions != nil {
				x.byRoute[r] = zonesOf(r.Regions)
				x.byAuthority[authority] = x.byAuthority[authority].Intersect(x.byRoute[r])
			}
		}
	}
	for _, team := range doc.Teams {
		if team.Regions != nil {
			x.byTeam[team.Name] = zonesOf(team.Regions)
		}
	}
	x.unknown = slices.Sorted(maps.Keys(unknown))
	return x
}

// Zones returns the zones in which a team's requests on a route may run; the route may be nil.
func (t *Table) Zones(team string, r *document.Route) core.ZoneSet {
	return t.restrictions.byTeam[team].Intersect(t.restrictions.byRoute[r])
}

// UnknownRegions returns the regions that the document lists and that contain no zone, sorted.
func (t *Table) UnknownRegions() []string { return t.restrictions.unknown }
