package route

import (
	"cmp"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
)

// blockSize is the number of engines that the largest prompts need together.
const blockSize = 3

// AssignBlocks numbers the engines of one model's long lane by threes, from the last one on, and returns the next
// number. What is left over is no block.
func AssignBlocks(engines []*target.Target, next int) int {
	var long []*target.Target
	for _, t := range engines {
		t.Block = 0
		if t.Lane == target.LaneLong {
			long = append(long, t)
		}
	}
	slices.Reverse(long)
	whole := len(long) / blockSize
	for i, t := range long[:whole*blockSize] {
		t.Block = next + i/blockSize
	}
	return next + whole
}

// PickMembers picks engines for a request that needs so many of them together, with so many tokens of memory free on
// each: all from one block, none with a long prefill, from a block that is broken already if one will do. Hosts with
// the same view begin at different blocks, by their turn. It reports false when there are no blocks at all.
func PickMembers(engines []*target.Target, members int, each int64, turn int) (picked []*target.Target, blocks bool) {
	free := make(map[int][]*target.Target)
	var order []int
	for _, t := range engines {
		if t.Block == 0 {
			continue
		}
		if _, seen := free[t.Block]; !seen {
			order = append(order, t.Block)
			free[t.Block] = nil
		}
		if !isDeep(t) && t.FreeTokens() >= each {
			free[t.Block] = append(free[t.Block], t)
		}
	}
	if len(order) == 0 {
		return nil, false
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(free[a]), len(free[b])), cmp.Compare((a+turn)%len(order), (b+turn)%len(order)))
	})
	for _, block := range order {
		if len(free[block]) >= members {
			return mostFree(free[block], members), true
		}
	}
	return nil, true
}

// mostFree returns the engines with the most free memory.
func mostFree(engines []*target.Target, n int) []*target.Target {
	slices.SortStableFunc(engines, func(a, b *target.Target) int { return cmp.Compare(b.FreeTokens(), a.FreeTokens()) })
	return engines[:n]
}

func isDeep(t *target.Target) bool {
	load := t.Total()
	return load.Deep > 0
}

// wholeBlockFilter keeps the long and middle requests of single engines out of blocks while requests wait that need
// several engines of one. The last engine of a block whose others are busy is no use to them and stays open, so a
// block that was broken becomes whole again.
type wholeBlockFilter struct {
	groupsWait bool
	// busy counts the engines with a long prefill in each block.
	busy map[int]int
}

// Prepare implements preparer.
func (f *wholeBlockFilter) Prepare(_ core.Time, rec *ledger.Record, targets []*target.Target) {
	if !f.concerns(rec) {
		return
	}
	f.busy = make(map[int]int)
	for _, t := range targets {
		if t.Block > 0 && isDeep(t) {
			f.busy[t.Block]++
		}
	}
}

// Keep implements Filter.
func (f *wholeBlockFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return !f.concerns(rec) || t.Block == 0 || f.busy[t.Block] >= blockSize-1
}

// concerns tells whether the request is one of those that would break a block.
func (f *wholeBlockFilter) concerns(rec *ledger.Record) bool {
	return f.groupsWait && (rec.Work.Class == document.ClassLong || rec.Work.Class == document.ClassMiddle)
}
