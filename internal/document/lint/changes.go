package lint

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"carobshunt/internal/document"
)

// The codes of differences, in the order of the report: what callers lose, then what they are let into, then lower
// limits, then all other changes, then additions.
const (
	CodeRevisionNotRaised Code = "revision-not-raised"
	CodeRouteRemoved      Code = "route-removed"
	CodeKeyRemoved        Code = "key-removed"
	CodeKeyMoved          Code = "key-moved"
	CodeTeamRemoved       Code = "team-removed"
	CodeModelRemoved      Code = "model-removed"
	CodeKeyRequired       Code = "key-required"
	CodeKeyNotRequired    Code = "key-not-required"
	CodeKindChanged       Code = "kind-changed"
	CodeLimitLowered      Code = "limit-lowered"
	CodePresetSwitched    Code = "preset-switched"
	CodeServiceRemoved    Code = "service-removed"
	CodeValueChanged      Code = "value-changed"
	CodeRouteAdded        Code = "route-added"
	CodeKeyAdded          Code = "key-added"
	CodeTeamAdded         Code = "team-added"
	CodeServiceAdded      Code = "service-added"
	CodeModelAdded        Code = "model-added"
)

// effect is what a difference calls for.
type effect struct {
	code     Code
	severity Severity
	action   string
}

// effects is the table of differences, in the order of the report.
var effects = []effect{
	{CodeRevisionNotRaised, SeverityError, "Raise the revision above the one in force."},
	{CodeRouteRemoved, SeverityWarning, "Make sure that nobody calls it, or keep it."},
	{CodeKeyRemoved, SeverityWarning, "Make sure that nobody uses the key, or keep it."},
	{CodeKeyMoved, SeverityWarning, "Make sure that the key is now the other team's."},
	{CodeTeamRemoved, SeverityWarning, "Make sure that the team sends nothing, or keep it."},
	{CodeModelRemoved, SeverityWarning, "Make sure that nobody asks for the model, or keep it."},
	{CodeKeyRequired, SeverityWarning, "Make sure that all callers have a key."},
	{CodeKeyNotRequired, SeverityWarning, "Make sure that everybody may call this."},
	{CodeKindChanged, SeverityWarning, "Make sure that targets and callers expect it."},
	{CodeLimitLowered, SeverityWarning, "Make sure that callers stay below it."},
	{CodePresetSwitched, SeverityNote, "Nothing, if it is intended."},
	{CodeServiceRemoved, SeverityNote, "Nothing, if it is intended."},
	{CodeValueChanged, SeverityNote, "Nothing, if it is intended."},
	{CodeRouteAdded, SeverityNote, "Nothing, if it is intended."},
	{CodeKeyAdded, SeverityNote, "Nothing, if it is intended."},
	{CodeTeamAdded, SeverityNote, "Nothing, if it is intended."},
	{CodeServiceAdded, SeverityNote, "Nothing, if it is intended."},
	{CodeModelAdded, SeverityNote, "Nothing, if it is intended."},
}

// comparison collects the differences of a document from an older one.
type comparison struct {
	from, to *document.Document
	// oldKeys and newKeys hold the team of each key on routes, oldTeams and newTeams the index of each team.
	oldKeys, newKeys   map[string]string
	oldTeams, newTeams map[string]int
	findings           []Finding
	// rank holds the rows of the table of effects by code.
	rank map[Code]int
}

// Changes returns the differences of a document from the one in force, in the order of their effect on callers. Paths are
// those of the new document; for what is gone, that of the list that it was in. Routes are the same if they have the same
// authority and prefix, since that is how requests find them, and other entries if they have the same name.
func Changes(from, to *document.Document) []Finding {
	c := &comparison{
		from: from, to: to, oldKeys: keyTeams(from), newKeys: keyTeams(to), rank: make(map[Code]int),
		oldTeams: teamIndexes(from), newTeams: teamIndexes(to), findings: []Finding{},
	}
	for i, e := range effects {
		c.rank[e.code] = i
	}
	c.routes()
	c.keys()
	c.teams()
	c.models()
	c.services()
	c.presets()
	c.callers()
	c.revision()
	sort.SliceStable(c.findings, func(i, j int) bool { return c.rank[c.findings[i].Code] < c.rank[c.findings[j].Code] })
	return c.findings
}

// revision reports a revision that hosts with the version in force don't replace it by. Of two texts with one revision hosts
// keep the one with the higher digest, which operators can't choose.
func (c *comparison) revision() {
	switch {
	case len(c.findings) == 0 || c.to.Revision > c.from.Revision:
	case c.to.Revision == c.from.Revision:
		c.add(CodeRevisionNotRaised, "/revision", "The revision is that of the version in force, %d, so hosts may keep that one.",
			c.from.Revision)
	default:
		c.add(CodeRevisionNotRaised, "/revision", "The revision %d is below the one in force, %d, so hosts would not take this.",
			c.to.Revision, c.from.Revision)
	}
}

func (c *comparison) add(code Code, path, format string, args ...any) {
	e := effects[c.rank[code]]
	c.findings = append(c.findings, Finding{
		Severity: e.severity, Code: code, Path: path, Sentence: fmt.Sprintf(format, args...), Action: e.action,
	})
}

// keyTeams returns the team of each key on routes.
func keyTeams(doc *document.Document) map[string]string {
	out := make(map[string]string)
	for _, team := range doc.Teams {
		for _, key := range team.KeysSHA256 {
			out[key] = team.Name
		}
	}
	return out
}

func (c *comparison) routes() {
	before := make(map[routeKey]*document.Route, len(c.from.Routes))
	for i := range c.from.Routes {
		first(before, keyOf(&c.from.Routes[i]), &c.from.Routes[i])
	}
	now := make(map[routeKey]bool, len(c.to.Routes))
	for i := range c.to.Routes {
		r := &c.to.Routes[i]
		old, ok := before[keyOf(r)]
		switch {
		case now[keyOf(r)]:
			// Shadowed, which a rule reports.
		case ok:
			c.route(at("/routes", i), old, r)
		default:
			c.add(CodeRouteAdded, at("/routes", i), "Requests to %q at %q get a new route, %q.", r.Prefix, r.Authority, r.Name)
		}
		now[keyOf(r)] = true
	}
	for i := range c.from.Routes {
		if r := &c.from.Routes[i]; !now[keyOf(r)] {
			c.add(CodeRouteRemoved, "/routes", "Requests to %q at %q lose their route, %q, and go to one with a shorter prefix or to none.",
				r.Prefix, r.Authority, r.Name)
		}
	}
}

func (c *comparison) route(path string, old, r *document.Route) {
	// reported holds the fields that need no finding of their own any more.
	reported := map[string]bool{"services": true}
	report := func(field string, code Code, format string, args ...any) {
		reported[field] = true
		c.add(code, path+"/"+field, format, args...)
	}
	switch {
	case old.Public && !r.Public && c.to.NeedsKeys():
		report("public", CodeKeyRequired, "Requests on route %q need a key from now on.", r.Name)
	case !old.Public && r.Public && c.from.NeedsKeys():
		report("public", CodeKeyNotRequired, "Requests on route %q need no key any more.", r.Name)
	}
	if old.Kind != r.Kind {
		report("kind", CodeKindChanged, "Requests on route %q are of kind %q instead of %q.", r.Name, r.Kind, old.Kind)
	}
	if r.TimeoutMs < old.TimeoutMs {
		report("timeout_ms", CodeLimitLowered, "Requests on route %q have %d ms instead of %d ms.", r.Name, r.TimeoutMs, old.TimeoutMs)
	}
	if !slices.Equal(old.Services, r.Services) {
		report("services", CodeValueChanged, "Requests on route %q go to %s instead of %s.", r.Name, shares(r), shares(old))
	}
	c.values(path, fmt.Sprintf("route %q", r.Name), old, r, func(field string) bool { return reported[field] })
}

// shares names the services of a route with their weights.
func shares(r *document.Route) string {
	var out []string
	for _, s := range r.Services[:min(len(r.Services), maxShownShares)] {
		out = append(out, fmt.Sprintf("%q (weight %d)", s.Name, s.Weight))
	}
	if more := len(r.Services) - len(out); more > 0 {
		out = append(out, fmt.Sprintf("%d more", more))
	}
	return strings.Join(out, ", ")
}

// maxShownShares is the number of services of a route up to which they are named.
const maxShownShares = 5

// keys compares the keys on routes. Keys are counted for each team, so that the report has no key and stays short.
func (c *comparison) keys() {
	type group struct {
		code     Code
		from, to string
	}
	counts := make(map[group]int)
	for key, old := range c.oldKeys {
		now, ok := c.newKeys[key]
		switch {
		case !ok:
			counts[group{CodeKeyRemoved, old, ""}]++
		case now != old:
			counts[group{CodeKeyMoved, old, now}]++
		}
	}
	for key, now := range c.newKeys {
		if _, ok := c.oldKeys[key]; !ok {
			counts[group{CodeKeyAdded, "", now}]++
		}
	}
	groups := slices.SortedFunc(maps.Keys(counts), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	for _, g := range groups {
		switch g.code {
		case CodeKeyRemoved:
			c.add(g.code, c.keysPath(g.from), "Requests with %d of the keys of team %q are refused.", counts[g], g.from)
		case CodeKeyMoved:
			c.add(g.code, c.keysPath(g.to), "%d of the keys of team %q are now of team %q.", counts[g], g.from, g.to)
		default:
			c.add(g.code, c.keysPath(g.to), "Team %q gets %d more keys.", g.to, counts[g])
		}
	}
	if !c.from.NeedsKeys() && c.to.NeedsKeys() {
		c.add(CodeKeyRequired, "/teams", "Requests on all routes that are not public need a key from now on.")
	}
	if c.from.NeedsKeys() && !c.to.NeedsKeys() {
		c.add(CodeKeyNotRequired, "/teams", "No request on a route needs a key any more.")
	}
}
