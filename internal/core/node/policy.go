package node

import (
	"math/rand/v2"

	"carobshunt/internal/core/queue"
	"carobshunt/internal/core/route"
)

// Policy names an algorithm that queues and places requests. PolicyInForce and PolicyPacked are used by daemons; the
// others are baselines for replays.
type Policy string

// The policies.
const (
	// PolicyInForce places by predicted times, reserves lanes of engines and queues by class and team.
	PolicyInForce Policy = ""
	// PolicyPacked packs short streams onto few engines of published speed, and splits the prefill of a long prompt among
	// the engines where it costs least; other targets get requests by the fraction of their slots in use. The
	// daemon uses it with a platform of kind store.
	PolicyPacked Policy = "packed"
	// PolicyRoundRobin cycles through the targets.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyFewestInFlight picks the target with the fewest dispatches of this host.
	PolicyFewestInFlight Policy = "fewest-in-flight"
	// PolicyPendingTokens picks the target with the least pending prefill work that this host or the target knows of.
	PolicyPendingTokens Policy = "pending-tokens"
)

// Policies returns the policies that replays can run: PolicyInForce and the baselines.
func Policies() []Policy {
	return []Policy{PolicyInForce, PolicyPendingTokens, PolicyFewestInFlight, PolicyRoundRobin}
}

func newRouter(policy Policy, zone string, rng *rand.Rand) *route.Router {
	switch policy {
	case PolicyPacked:
		return route.NewPacked(zone, rng)
	case PolicyRoundRobin:
		return route.NewRoundRobin(rng)
	case PolicyFewestInFlight:
		return route.NewFewestInFlight(rng)
	case PolicyPendingTokens:
		return route.NewPendingTokens(rng)
	}
	return route.NewPredicted(rng)
}

func newQueue(policy Policy, weight func(team string) int64) queue.Queue {
	switch policy {
	case PolicyInForce:
		return queue.NewFair(weight)
	case PolicyPacked:
		return queue.NewObjectives()
	}
	return queue.NewEDF()
}

// usesPolicyInForce reports whether the policy is PolicyInForce.
func (n *Node) usesPolicyInForce() bool { return n.opts.Policy == PolicyInForce }

// teamWeight returns a team's published weight in the fair queue and for its fair share; at least 1.
func (n *Node) teamWeight(name string) int64 {
	if n.directory == nil {
		return 1
	}
	return max(n.directory.weights[name], 1)
}
