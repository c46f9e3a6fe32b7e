// Package order brings engines to the placement that the published document wants.
//
// What is wanted of an engine is a pure function of the document, and an order is absolute: it names the whole set of
// models that the engine is to hold. So two hosts with one document order the same, and hosts with two documents are
// told apart by the fencing number, whose first part is the document's revision.
package order

import (
	"cmp"
	"slices"
	"strings"

	"carobshunt/internal/document"
)

// Fence is a fencing number: the document's revision, then the number of the order within it.
type Fence struct {
	Revision uint64 `json:"revision"`
	Sequence uint64 `json:"sequence"`
}

// Compare orders fencing numbers.
func (f Fence) Compare(other Fence) int {
	return cmp.Or(cmp.Compare(f.Revision, other.Revision), cmp.Compare(f.Sequence, other.Sequence))
}

// Model is a model in one version.
type Model struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

func (m Model) compare(other Model) int {
	return cmp.Or(strings.Compare(m.Model, other.Model), strings.Compare(m.Version, other.Version))
}

// Order tells an engine which models to hold, all others to be unloaded.
type Order struct {
	Fence  Fence   `json:"fence"`
	Models []Model `json:"models"`
	// Role is the engine's role; empty leaves it as it is.
	Role string `json:"role,omitempty"`
}

// State is what an engine tells of itself.
type State struct {
	// Highest is the highest fencing number that the engine has seen, whether it checks them or not.
	Highest Fence `json:"highest"`
	// Models are loaded, Loading are on their way from the weight store.
	Models  []Model `json:"models"`
	Loading []Model `json:"loading"`
	Role    string  `json:"role,omitempty"`
}

// Wanted returns the models that an engine is to hold, sorted; false when the document says nothing of the engine.
func Wanted(doc *document.Document, engine string) ([]Model, bool) {
	var out []Model
	for _, p := range doc.Placements {
		if slices.Contains(p.Engines, engine) {
			out = append(out, Model{Model: p.Model, Version: p.Version})
		}
	}
	slices.SortFunc(out, Model.compare)
	return slices.Compact(out), len(out) > 0
}

// Next returns the next order towards what is wanted, and whether it loads a model. It reports false when there is
// nothing to order now. An order loads one model at most, so that loads can be paced; what is not wanted any more is
// unloaded when all that is wanted is there.
func Next(revision uint64, wanted []Model, state State) (order Order, loads, ok bool) {
	if len(state.Loading) > 0 {
		return Order{}, false, false
	}
	held := slices.Clone(state.Models)
	slices.SortFunc(held, Model.compare)
	if slices.Equal(held, wanted) {
		return Order{}, false, false
	}
	fence := Fence{Revision: revision, Sequence: 1}
	if state.Highest.Revision == revision {
		fence.Sequence = state.Highest.Sequence + 1
	}
	for _, m := range wanted {
		if !slices.Contains(held, m) {
			held = append(held, m)
			slices.SortFunc(held, Model.compare)
			return Order{Fence: fence, Models: held}, true, true
		}
	}
	return Order{Fence: fence, Models: wanted}, false, true
}
