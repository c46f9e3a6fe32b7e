package cell

import (
	"slices"

	"carobshunt/internal/hostlist"
)

// scopeTargets is the minimum number of targets of each model in a host's scope, where there are as many.
const scopeTargets = 3

// Scope returns the part of a host list that one entry host needs: all entry hosts, and the targets of its own cell. For
// a model or service with fewer than scopeTargets targets in the cell, it extends to the lowest ancestor node that has
// enough. With a single cell it returns the list itself.
func (m *Map) Scope(list *hostlist.List, self string) *hostlist.List {
	if len(m.hosts) == 1 {
		return list
	}
	own := m.Of(self)
	reach := reachOf(own, list)
	out := &hostlist.List{Version: list.Version}
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleEntry || reach.covers(own, h) {
			out.Hosts = append(out.Hosts, h)
		}
	}
	return out
}

// reach holds for each model the node whose targets are in a host's scope.
type reach map[string]ID

// reachOf computes the reach of a cell from the number of each model's targets at each depth: that of the lowest node
// that contains both the cell and the target.
func reachOf(own ID, list *hostlist.List) reach {
	counts := make(map[string][]int)
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleEntry {
			continue
		}
		depth := commonDepth(own, hashOf(h.Address))
		for _, model := range h.Models {
			if counts[model] == nil {
				counts[model] = make([]int, own.Depth+1)
			}
			counts[model][depth]++
		}
	}
	out := make(reach, len(counts))
	for model, byDepth := range counts {
		out[model] = nearest(own, byDepth)
	}
	return out
}

// commonDepth returns the depth of the lowest node that contains both a cell and a hash.
func commonDepth(own ID, hash uint64) uint8 {
	id := own
	for !id.contains(hash) {
		id = id.parent()
	}
	return id.Depth
}

// nearest returns the lowest node, from a cell upwards, with at least scopeTargets targets, or the root.
func nearest(own ID, byDepth []int) ID {
	id := own
	seen := byDepth[id.Depth]
	for id.Depth > 0 && seen < scopeTargets {
		id = id.parent()
		seen += byDepth[id.Depth]
	}
	return id
}

// covers reports whether a target is in scope. One without models is in scope of its own cell only.
func (r reach) covers(own ID, h hostlist.Host) bool {
	hash := hashOf(h.Address)
	if len(h.Models) == 0 {
		return own.contains(hash)
	}
	return slices.ContainsFunc(h.Models, func(model string) bool {
		id, ok := r[model]
		return ok && id.contains(hash)
	})
}
