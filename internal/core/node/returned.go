package node

import (
	"time"

	"carobshunt/internal/core"
)

// usualBudgets are the longest time budgets that callers brought for each route lately: a caller that comes back after
// a refusal brings what is left of its own.
type usualBudgets map[string]usualBudget

type usualBudget struct {
	longest time.Duration
	seen    core.Time
}

const (
	// returnedPercent is the part of the usual budget below which a caller's own shows that it came back.
	returnedPercent = 97
	// usualFor is how long a longest budget counts that no caller brings any more.
	usualFor = 30 * time.Second
)

// returned tells whether a budget is what is left of the usual one of its route, and takes note of it.
func (u usualBudgets) returned(now core.Time, route string, budget time.Duration) bool {
	usual := u[route]
	if budget*percent < usual.longest*returnedPercent && now-usual.seen < usualFor {
		return true
	}
	u[route] = usualBudget{longest: budget, seen: now}
	return false
}

// forget drops the routes that are not in the document in force.
func (u usualBudgets) forget(keep func(route string) bool) {
	for route := range u {
		if !keep(route) {
			delete(u, route)
		}
	}
}
