// Package rendezvous spreads duties over hosts without any message: every host that knows the same members ranks
// them the same way, and the loss of one member moves only its own duties.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by their weight for a duty, the highest first. It returns a new slice.
func Rank(duty string, members []string) []string {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(duty, b), weight(duty, a)), cmp.Compare(a, b))
	})
	return out
}

// Position is the rank of a member for a duty, from 0; -1 for one that is not a member.
func Position(duty, member string, members []string) int {
	if !slices.Contains(members, member) {
		return -1
	}
	own := weight(duty, member)
	above := 0
	for _, other := range members {
		w := weight(duty, other)
		if w > own || w == own && other < member {
			above++
		}
	}
	return above
}

func weight(duty, member string) uint64 { return xxhash.Sum64String(duty + "\x00" + member) }
