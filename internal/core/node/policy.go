package node

import (
	"math/rand/v2"

	"carobshunt/internal/core/queue"
	"carobshunt/internal/core/route"
)

// Policy names a way to queue and place requests. All but the one in force are kept as baselines for replays.
type Policy string

// The policies.
const (
	// PolicyInForce predicts times, keeps lanes of engines and queues by class and team.
	PolicyInForce Policy = ""
	// PolicyPacked packs short streams on few engines of published speed and reads long prompts on idle ones.
	PolicyPacked Policy = "packed"
	// PolicyRoundRobin takes the targets in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyFewestInFlight takes the target with the fewest dispatches of this host.
	PolicyFewestInFlight Policy = "fewest-in-flight"
	// PolicyPendingTokens takes the target with the least prefill work that this host or the target knows of.
	PolicyPendingTokens Policy = "pending-tokens"
)

// Policies lists all names.
func Policies() []Policy {
	return []Policy{PolicyInForce, PolicyPendingTokens, PolicyFewestInFlight, PolicyRoundRobin}
}

func newRouter(policy Policy, rng *rand.Rand) *route.Router {
	switch policy {
	case PolicyPacked:
		return route.NewPacked(rng)
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

// predicts tells whether the policy in force decides, not a baseline.
func (n *Node) predicts() bool { return n.opts.Policy == PolicyInForce }

// teamWeight is a team's published share among waiting requests.
func (n *Node) teamWeight(name string) int64 {
	if n.directory == nil {
		return 1
	}
	return max(n.directory.weights[name], 1)
}
