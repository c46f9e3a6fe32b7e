package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// statusCache keeps the parts of a snapshot that grow with the fleet, so that a snapshot does not copy them each time.
type statusCache struct {
	// targets is the last copy, made at targetsAt from the host list targetsOf.
	targets   []api.TargetStatus
	targetsAt core.Time
	targetsOf *hostlist.List
	// addresses are the engines' addresses, from the host list addressesOf.
	addresses   []string
	addressesOf *hostlist.List
}

const (
	// fewTargets is the number of targets up to which each snapshot copies their state.
	fewTargets = 64
	// manyTargetsAge is the oldest that the copied state of more targets than that gets.
	manyTargetsAge = time.Second
)

// cachedTargets returns the state of the targets for operators, which is old by up to manyTargetsAge when there are
// many of them.
func (n *Node) cachedTargets() []api.TargetStatus {
	c := &n.cache
	old := n.now-c.targetsAt >= manyTargetsAge
	if c.targets == nil || old || c.targetsOf != n.hosts || len(n.targets.All()) <= fewTargets {
		c.targets = n.targetStatus()
		c.targetsAt = n.now
		c.targetsOf = n.hosts
	}
	return c.targets
}

// targetAddresses returns the engines' addresses; the slice is made anew with each host list.
func (n *Node) targetAddresses() []string {
	if n.cache.addresses != nil && n.cache.addressesOf == n.hosts {
		return n.cache.addresses
	}
	addresses := []string{}
	for _, t := range n.targets.All() {
		if t.Role == hostlist.RoleEngine {
			addresses = append(addresses, t.Address)
		}
	}
	n.cache.addresses = addresses
	n.cache.addressesOf = n.hosts
	return addresses
}
