// Package order decides which models engines are ordered to load and unload, to reach the placement of the published
// document.
//
// The models wanted on an engine are a pure function of the document, and an order is absolute: it names all models
// that the engine has to hold. Two hosts with the same document and the same state of the engine therefore give the
// same order. Those of different revisions differ in the fencing number, which begins with the revision.
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

// Compare compares fencing numbers, by revision first.
func (f Fence) Compare(other Fence) int {
	return cmp.Or(cmp.Compare(f.Revision, other.Revision), cmp.Compare(f.Sequence, other.Sequence))
}

// Model identifies one version of a model.
type Model struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

func (m Model) compare(other Model) int {
	return cmp.Or(strings.Compare(m.Model, other.Model), strings.Compare(m.Version, other.Version))
}

// Order names the models that an engine has to hold; it unloads all others.
type Order struct {
	Fence  Fence   `json:"fence"`
	Models []Model `json:"models"`
	// Role is the engine's new role; empty leaves it unchanged.
	Role string `json:"role,omitempty"`
}

// State is the state that an engine reports.
type State struct {
	// Highest is the highest fencing number that the engine has seen, whether it checks them or not.
	Highest Fence `json:"highest"`
	// Models are loaded, Loading are being loaded from the weight store.
	Models  []Model `json:"models"`
	Loading []Model `json:"loading"`
	Role    string  `json:"role,omitempty"`
}

// Wanted returns the models that an engine has to hold, sorted. It returns false if the document places none there.
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

// Next returns the next order towards the wanted models, which must be sorted, and whether it loads a model. ok is
// false when there is nothing to order now. The revision must not be below that of state.Highest. An order loads at
// most one model, so that loads can be paced; models that are no longer wanted are unloaded once all wanted ones are
// loaded.
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
