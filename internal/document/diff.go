package document

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Change is one value that differs between two documents.
type Change struct {
	// Path names the value: teams by name, placements by model and version, and the preset in force as
	// "in_force".
	Path string `json:"path"`
	// From and To are the values as JSON; empty where there is none.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// pathInForce is the path prefix of the values of the preset in force, which are listed first.
const pathInForce = "in_force"

// Diff returns the differences between two valid documents, except for the revision. It does not compare routes,
// services and the limits of callers.
func Diff(from, to *Document) []Change {
	before, after := values(from), values(to)
	paths := make(map[string]bool)
	for path := range before {
		paths[path] = true
	}
	for path := range after {
		paths[path] = true
	}
	changes := []Change{}
	for path := range paths {
		if before[path] != after[path] {
			changes = append(changes, Change{Path: path, From: before[path], To: after[path]})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return beforeInReport(changes[i].Path, changes[j].Path) })
	return changes
}

// beforeInReport reports whether path a is listed before path b.
func beforeInReport(a, b string) bool {
	if first, second := strings.HasPrefix(a, pathInForce), strings.HasPrefix(b, pathInForce); first != second {
		return first
	}
	return a < b
}

// values returns the values of a document that Diff compares, by path.
func values(doc *Document) map[string]string {
	out := make(map[string]string)
	flatten(out, pathInForce+"/preset", doc.Active)
	flatten(out, pathInForce, doc.Preset())
	for name, preset := range doc.Presets {
		flatten(out, "presets/"+name, preset)
	}
	for _, team := range doc.Teams {
		flatten(out, "teams/"+team.Name, team)
	}
	for _, p := range doc.Placements {
		flatten(out, "placements/"+p.Model+"/"+p.Version, p.Engines)
	}
	return out
}

// flatten adds the leaves of a value, its scalars and lists, to out, as JSON by path. It panics on a value that
// can't be marshaled, which no type of a document is.
func flatten(out map[string]string, path string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		out[path] = string(text)
		return
	}
	for name, field := range fields {
		flatten(out, fmt.Sprintf("%s/%s", path, name), field)
	}
}
