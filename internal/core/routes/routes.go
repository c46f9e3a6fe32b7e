// Package routes finds the route and the team of a request in the published document.
package routes

import (
	"sort"
	"strings"

	"carobshunt/internal/document"
)

// Table is the document's routes and keys in the form in which they are looked up. It is not changed once made.
type Table struct {
	byAuthority map[string][]*document.Route
	// teams are the teams' names by the digest of a key, in hexadecimal.
	teams map[string]string
	// keyed is true when the document asks callers for keys.
	keyed bool
	names map[string]bool
}

// New returns the table of a document.
func New(doc *document.Document) *Table {
	t := &Table{byAuthority: make(map[string][]*document.Route), teams: make(map[string]string), names: make(map[string]bool)}
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
		for _, digest := range team.KeysSHA256 {
			t.teams[digest] = team.Name
			t.keyed = true
		}
	}
	return t
}

// Match returns the route with the longest prefix of the path, or nil. The path is taken as the caller wrote it.
func (t *Table) Match(authority, path string) *document.Route {
	for _, r := range t.byAuthority[strings.ToLower(authority)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Has tells whether a route has the name.
func (t *Table) Has(name string) bool { return t.names[name] }

// Team returns the team that holds the key with that digest.
func (t *Table) Team(keyDigest string) (string, bool) {
	name, ok := t.teams[keyDigest]
	return name, ok
}

// Keyed tells whether callers on routes that are not public must show a key.
func (t *Table) Keyed() bool { return t.keyed }

// Choose returns the service of a route at a point of its weights, from 0 up to 1.
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
