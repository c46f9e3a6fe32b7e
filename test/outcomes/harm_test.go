package outcomes

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// Parts of prompts: one that ends each target that begins to answer it, one that very many have, and own ones.
const (
	harmfulPart core.PartID = 0xbad
	sharedPart  core.PartID = 0xf1
	ownParts    core.PartID = 1 << 32
)

// randomParts returns the parts of the prompt of a caller.
func (s *schedule) randomParts(caller int) []core.PartID {
	parts := []core.PartID{sharedPart, ownParts + core.PartID(caller)}
	if s.chance(0.5) {
		parts = slices.Insert(parts, s.rng.IntN(2), harmfulPart)
	}
	return parts
}

// downTime is how long it takes until another process has the place of one that has ended.
const downTime = 300 * time.Millisecond

// endProcess ends the target's process: all that it runs is cut.
func (t *fakeTarget) endProcess() {
	t.downUntil = t.s.world.Now() + downTime
	for _, key := range slices.SortedFunc(maps.Keys(t.running), dispatchKey.compare) {
		if d := t.running[key]; d.written {
			d.onHost(func() { d.end(node.EndedLost) })
		}
	}
}

func (k dispatchKey) compare(o dispatchKey) int {
	return cmp.Or(cmp.Compare(k.home.String(), o.home.String()), k.key.Compare(o.key), cmp.Compare(k.number, o.number))
}

// TestWorkThatEndsTargetsKeepsEveryGuarantee guards against outcomes that are not true while prompts end targets, are lost
// with them, and are withheld: every caller hears how its request ended, and "not run" only if it did not.
func TestWorkThatEndsTargetsKeepsEveryGuarantee(t *testing.T) {
	const plays = 300
	var faults []string
	withheld, lost := 0, 0
	for number := range plays {
		k := kind{name: "work that ends targets", harms: true}
		if number%2 == 1 {
			k.kills, k.pauses, k.cuts, k.duplicates, k.breaks = true, true, true, true, true
		}
		s := newScheduleOf(k, seed, number, none)
		faults = append(faults, s.run()...)
		for _, f := range s.oracle.finals {
			switch f.code {
			case api.CodeHarmfulPrompt:
				withheld++
			case api.CodeTargetLost:
				lost++
			}
		}
	}
	t.Logf("%d requests lost, %d withheld", lost, withheld)
	logFaults(t, faults)
	assert.Equal(t, len(faults), 0)
	assert.Assert(t, lost > 0 && withheld > 0)
}
