// Package testdoc makes documents with many routes for tests.
package testdoc

import (
	"fmt"

	"carobshunt/internal/document"
)

// WithRoutes returns a valid document with that many routes, each of which has an authority of its own.
func WithRoutes(revision uint64, routes int) *document.Document {
	doc := &document.Document{
		Revision: revision, Active: "ordinary",
		Presets: map[string]document.Preset{"ordinary": {
			Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 120_000, LongMs: 900_000},
			FirstTokenTargetMs: 750, ShortPromptTokens: 4_000, MiddlePromptTokens: 100_000, RetryPercent: 20,
		}},
		Teams:    []document.Team{{Name: "press", Weight: 1, TokensPerSecond: 1, Unmetered: true}},
		Services: []document.Service{{Name: "desk", MaxConnections: 10, HealthPath: "/healthz"}},
	}
	for i := range routes {
		doc.Routes = append(doc.Routes, document.Route{
			Name: fmt.Sprintf("route-%d", i), Authority: fmt.Sprintf("desk-%d.example", i), Prefix: fmt.Sprintf("/desk/%d/", i),
			Kind: document.KindIdempotent, Public: true, MaxExecutions: 2, TimeoutMs: 5_000, FirstTokenTargetMs: 300,
			Services: []document.WeightedService{{Name: "desk", Weight: 1}},
		})
	}
	return doc
}
