// Package rendezvous assigns duties to hosts by rendezvous hashing, without messages: all hosts that know the same members
// rank them in the same order, and the loss of a member moves only the duties of that member.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns a new slice with the members in descending order of their weight for a duty.
func Rank(duty string, members []string) []string {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(duty, b), weight(duty, a)), cmp.Compare(a, b))
	})
	return out
}

// Position returns the rank of a member for a duty, from 0, or -1 if it is not among the members.
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
