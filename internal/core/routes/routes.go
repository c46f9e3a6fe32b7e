// Package routes looks up the route and the team of a request in the published document.
package routes

import (
	"sort"
	"strings"

	"carobshunt/internal/document"
)

// Table indexes the routes and keys of a document. It is immutable.
type Table struct {
	// byAuthority holds the routes of each authority in lower case, those with the longest prefix first.
	byAuthority map[string][]*document.Route
	// teams maps the SHA-256 of a key, in hexadecimal, to the name of its team.
	teams map[string]string
	// keyed is set when the document needs keys.
	keyed bool
	names map[string]bool
	// ranks maps the teams that have a rank to it.
	ranks        map[string]int64
	restrictions restrictions
}

// New builds the table of a document, with the regions of the zones.
func New(doc *document.Document, regions Regions) *Table {
	t := &Table{
		byAuthority: make(map[string][]*document.Route),
		teams:       make(map[string]string),
		names:       make(map[string]bool),
		ranks:       make(map[string]int64),
		keyed:       doc.NeedsKeys(),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		t.names[r.Name] = true
		authority := strings.ToLower(r.Authority)
		t.byAuthority[authority] = append(t.byAuthority[authority], r)
	}
	for _, routes := range t.byAuthority {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, team := range doc.Teams {
		if team.Rank != nil {
			t.ranks[team.Name] = *team.Rank
		}
		for _, digest := range team.KeysSHA256 {
			if digest != "" { // that of a request without a key
				t.teams[digest] = team.Name
			}
		}
	}
	t.restrictions = restrictionsOf(doc, regions, t.byAuthority)
	return t
}

// Match returns the route of the authority with the longest matching path prefix, or nil. The path is not normalized.
func (t *Table) Match(authority, path string) *document.Route {
	for _, r := range t.byAuthority[strings.ToLower(authority)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Has reports whether the document has a route with the name.
func (t *Table) Has(name string) bool { return t.names[name] }

// Team returns the name of the team whose key has the digest, and whether there is one.
func (t *Table) Team(keyDigest string) (string, bool) {
	name, ok := t.teams[keyDigest]
	return name, ok
}

// Keyed reports whether callers must present a key on routes that are not public.
func (t *Table) Keyed() bool { return t.keyed }

// RanksTeams reports whether the document gives any team a rank.
func (t *Table) RanksTeams() bool { return len(t.ranks) > 0 }

// Rank returns the urgency of a team's requests on a route: that of the team or, if it has none, that of the route. 0 is
// the most urgent.
func (t *Table) Rank(team string, r *document.Route) int64 {
	if rank, ok := t.ranks[team]; ok {
		return rank
	}
	return r.Rank
}

// Choose returns the service of a route at a point in [0, 1) of its cumulative weights. With weights of zero it returns
// the first service.
func Choose(r *document.Route, point float64) string {
	total := int64(0)
	for _, s := range r.Services {
		total += s.Weight
	}
	at := int64(point * float64(total))
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Name
		}
		at -= s.Weight
	}
	return r.Services[0].Name
}
