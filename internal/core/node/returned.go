package node

import (
	"time"

	"carobshunt/internal/core"
)

// routeBudgets holds the longest recent time budget of callers for each route, to detect resubmitted requests: after a
// refusal, a caller resubmits with the remainder of its budget.
type routeBudgets map[string]routeBudget

type routeBudget struct {
	longest time.Duration
	seen    core.Time
}

const (
	// resubmittedPercent is the percentage of the longest budget below which a request counts as resubmitted.
	resubmittedPercent = 97
	// routeBudgetExpiry is how long the longest budget counts after a caller last used it.
	routeBudgetExpiry = 30 * time.Second
)

// resubmitted reports whether a budget is the remainder of the longest one of its route. Otherwise it records the budget.
func (b routeBudgets) resubmitted(now core.Time, route string, budget time.Duration) bool {
	recorded := b[route]
	if budget*percent < recorded.longest*resubmittedPercent && now-recorded.seen < routeBudgetExpiry {
		return true
	}
	b[route] = routeBudget{longest: budget, seen: now}
	return false
}

// forget deletes the routes for which keep returns false.
func (b routeBudgets) forget(keep func(route string) bool) {
	for route := range b {
		if !keep(route) {
			delete(b, route)
		}
	}
}
