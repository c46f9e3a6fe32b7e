package lint

import (
	"maps"
	"math"
	"slices"
	"strings"

	"carobshunt/internal/document"
)

// routeKey is what hosts find a route by.
type routeKey struct{ authority, prefix string }

func keyOf(r *document.Route) routeKey {
	return routeKey{authority: strings.ToLower(r.Authority), prefix: r.Prefix}
}

// placed is an engine to which a model is assigned.
type placed struct{ model, engine string }

// position is the place of a key in a team or of an engine in a placement: the indexes of the entry and of the item in it.
type position struct{ entry, item int }

// index answers the questions of rules about entries other than the one they look at.
type index struct {
	doc *document.Document
	// presets holds the names in order.
	presets []string
	// routes, routeNames, services, bearers, keys and engines hold the first entry of each kind.
	routes     map[routeKey]int
	routeNames map[string]int
	services   map[string]int
	bearers    map[string]int
	keys       map[string]position
	engines    map[placed]position
	// named holds the services that a route names, and weighted those that a route sends requests to.
	named, weighted map[string]bool
	// weights holds the sum of the weights of each route.
	weights []int64
	// protected is set if a route is not public.
	protected bool
}

func newIndex(in Input) *index {
	doc := in.Document
	x := &index{
		doc: doc, presets: slices.Sorted(maps.Keys(doc.Presets)),
		routes: make(map[routeKey]int), routeNames: make(map[string]int), services: make(map[string]int),
		bearers: make(map[string]int), keys: make(map[string]position), engines: make(map[placed]position),
		named: make(map[string]bool), weighted: make(map[string]bool), weights: make([]int64, len(doc.Routes)),
	}
	for i := range doc.Routes {
		x.addRoute(i, &doc.Routes[i])
	}
	for i, s := range doc.Services {
		first(x.services, s.Name, i)
	}
	for i, t := range doc.Teams {
		if t.KeySHA256 != "" {
			first(x.bearers, t.KeySHA256, i)
		}
		for j, key := range t.KeysSHA256 {
			first(x.keys, key, position{entry: i, item: j})
		}
	}
	for i, p := range doc.Placements {
		for j, engine := range p.Engines {
			first(x.engines, placed{model: p.Model, engine: engine}, position{entry: i, item: j})
		}
	}
	return x
}

func (x *index) addRoute(i int, r *document.Route) {
	first(x.routes, keyOf(r), i)
	first(x.routeNames, r.Name, i)
	x.protected = x.protected || !r.Public
	for _, s := range r.Services {
		x.named[s.Name] = true
		// A route with one service sends it everything, whatever its weight.
		x.weighted[s.Name] = x.weighted[s.Name] || s.Weight > 0 || len(r.Services) == 1
		x.weights[i] = addBounded(x.weights[i], s.Weight)
	}
}

// addBounded adds a weight to a sum; negative weights don't count and the sum doesn't overflow.
func addBounded(sum, weight int64) int64 {
	if weight = max(weight, 0); sum > math.MaxInt64-weight {
		return math.MaxInt64
	}
	return sum + weight
}

// first sets the value of a key that has none yet.
func first[K comparable, V any](m map[K]V, key K, value V) {
	if _, ok := m[key]; !ok {
		m[key] = value
	}
}
