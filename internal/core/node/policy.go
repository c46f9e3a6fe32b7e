package node

import (
	"math/rand/v2"

	"carobshunt/internal/core/route"
)

// Policy names a way to queue and place requests. All but the one in force are kept as baselines for replays.
type Policy string

// The policies.
const (
	// PolicyRoundRobin takes the targets in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyFewestInFlight takes the target with the fewest dispatches of this host.
	PolicyFewestInFlight Policy = "fewest-in-flight"
	// PolicyPendingTokens takes the target with the least prefill work that this host or the target knows of.
	PolicyPendingTokens Policy = "pending-tokens"
)

// Policies lists all names.
func Policies() []Policy {
	return []Policy{PolicyPendingTokens, PolicyFewestInFlight, PolicyRoundRobin}
}

func newRouter(policy Policy, rng *rand.Rand) *route.Router {
	switch policy {
	case PolicyRoundRobin:
		return route.NewRoundRobin(rng)
	case PolicyFewestInFlight:
		return route.NewFewestInFlight(rng)
	}
	return route.New(rng)
}
