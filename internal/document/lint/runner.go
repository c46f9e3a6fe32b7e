package lint

import (
	"strconv"
	"strings"

	"carobshunt/internal/document"
)

// scope is the kind of entry that a rule looks at.
type scope int

const (
	scopePreset scope = iota
	scopeRoute
	scopeService
	scopeTeam
	// scopeKey is one of the keys of a team on routes.
	scopeKey
	// scopeEngine is one of the engines of a placement.
	scopeEngine
)

// entry is one entry of a document. The pointer of its scope is set, and for keys and engines that of the list around it.
type entry struct {
	path      string
	preset    *document.Preset
	route     *document.Route
	service   *document.Service
	team      *document.Team
	placement *document.Placement
	// i is the index in the document's list, j the index of a key or an engine in its entry.
	i, j int
}

// rule is one row of the table of rules.
type rule struct {
	code     Code
	severity Severity
	scope    scope
	// check looks at one entry and returns the sentence, empty if there is nothing to say, and the path of the value within
	// the entry, or from the root if it begins with "#". It must not loop over lists of the document but use the index, so
	// that the work of all rules is proportional to the number of entries.
	check  func(x *index, e entry) (path, sentence string)
	action string
}

type runner struct {
	doc   *document.Document
	index *index
	// entries counts the entries that were visited, and checks the calls of rules.
	entries, checks int
	findings        []Finding
}

func newRunner(in Input) *runner {
	return &runner{doc: in.Document, index: newIndex(in), findings: []Finding{}}
}

// run returns the findings of the rules, in the order of the document.
func (r *runner) run(table []rule) []Finding {
	byScope := make(map[scope][]rule)
	for _, rule := range table {
		byScope[rule.scope] = append(byScope[rule.scope], rule)
	}
	visit := func(s scope, e entry) {
		r.entries++
		for _, rule := range byScope[s] {
			r.checks++
			r.apply(rule, e)
		}
	}
	for _, name := range r.index.presets {
		preset := r.doc.Presets[name]
		visit(scopePreset, entry{path: "/presets/" + escape(name), preset: &preset})
	}
	for i := range r.doc.Routes {
		visit(scopeRoute, entry{path: at("/routes", i), route: &r.doc.Routes[i], i: i})
	}
	for i := range r.doc.Services {
		visit(scopeService, entry{path: at("/services", i), service: &r.doc.Services[i], i: i})
	}
	for i := range r.doc.Teams {
		team := &r.doc.Teams[i]
		visit(scopeTeam, entry{path: at("/teams", i), team: team, i: i})
		for j := range team.KeysSHA256 {
			visit(scopeKey, entry{path: at(at("/teams", i)+"/keys_sha256", j), team: team, i: i, j: j})
		}
	}
	for i := range r.doc.Placements {
		placement := &r.doc.Placements[i]
		for j := range placement.Engines {
			visit(scopeEngine, entry{path: at(at("/placements", i)+"/engines", j), placement: placement, i: i, j: j})
		}
	}
	return r.findings
}

func (r *runner) apply(rule rule, e entry) {
	field, sentence := rule.check(r.index, e)
	if sentence == "" {
		return
	}
	path, fromRoot := strings.CutPrefix(field, "#")
	if !fromRoot {
		path = e.path + field
	}
	r.findings = append(r.findings, Finding{
		Severity: rule.severity, Code: rule.code, Path: path, Sentence: sentence, Action: rule.action,
	})
}

// at returns the path of an item of a list.
func at(list string, i int) string { return list + "/" + strconv.Itoa(i) }

// escape returns a name as a token of a JSON pointer.
func escape(name string) string { return strings.NewReplacer("~", "~0", "/", "~1").Replace(name) }
