package cell

import (
	"slices"

	"carobshunt/internal/hostlist"
)

// scopeTargets is how many targets of each model a host knows at the least, where there are as many.
const scopeTargets = 3

// Scope returns the part of a host list that concerns one entry host: all entry hosts, and of the targets those of
// its own cell. For a model, or a service, of which the cell has too few targets, the scope reaches as far up the tree
// as it takes. The whole list is returned where there is one cell only.
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

// reach is, by model, the node under which a host's targets lie.
type reach map[string]ID

// reachOf counts each model's targets by how far up the tree they come into view.
func reachOf(own ID, list *hostlist.List) reach {
	counts := make(map[string][]int)
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleEntry {
			continue
		}
		depth := common(own, hashOf(h.Address))
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

// common is the depth of the lowest node that holds both a cell and a hash.
func common(own ID, hash uint64) uint8 {
	id := own
	for !id.contains(hash) {
		id = id.parent()
	}
	return id.Depth
}

// nearest is the lowest node above a cell that holds enough targets.
func nearest(own ID, byDepth []int) ID {
	id := own
	seen := byDepth[id.Depth]
	for id.Depth > 0 && seen < scopeTargets {
		id = id.parent()
		seen += byDepth[id.Depth]
	}
	return id
}

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
