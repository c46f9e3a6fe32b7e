package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// statusCache caches the parts of a snapshot that grow with the fleet, so that not every snapshot copies them.
type statusCache struct {
	// targets is the last copy of the targets' states, made at targetsAt with the host list targetsOf.
	targets   []api.TargetStatus
	targetsAt core.Time
	targetsOf *hostlist.List
	// addresses are the engines' addresses, leaving ones too, as copied while the host list addressesOf was in force.
	addresses   []string
	addressesOf *hostlist.List
}

const (
	// maxUncachedTargets is the number of targets up to which each snapshot copies their states.
	maxUncachedTargets = 64
	// maxTargetsAge is the greatest age of a cached copy with more targets than that.
	maxTargetsAge = time.Second
)

// cachedTargets returns the states of the targets for operators. With more than maxUncachedTargets targets, the result
// may be up to maxTargetsAge old.
func (n *Node) cachedTargets() []api.TargetStatus {
	c := &n.cache
	old := n.now-c.targetsAt >= maxTargetsAge
	if c.targets == nil || old || c.targetsOf != n.hosts || len(n.targets.All()) <= maxUncachedTargets {
		c.targets = n.targetStatus()
		c.targetsAt = n.now
		c.targetsOf = n.hosts
	}
	return c.targets
}

// targetAddresses returns the engines' addresses. The slice is shared until the host list changes.
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
