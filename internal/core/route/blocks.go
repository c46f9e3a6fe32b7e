package route

import (
	"cmp"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
)

// blockSize is the number of engines that the largest prompts need together. A block is a set of that many engines.
const blockSize = 3

// AssignBlocks divides the engines of one model's long lane into blocks, beginning with the last engine, numbers them
// from next on and returns the next free number. Remaining engines are in no block.
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

// PickMembers picks engines for a request that needs several of them, each with tokensEach tokens of free KV memory.
// All come from one block and none has a long-context prefill; blocks with the fewest available engines come first, to
// keep others whole. The turn rotates the order of blocks with equally many, so that hosts with the same view begin at
// different ones. It returns no engines if none qualify, and false if there are no blocks at all.
func PickMembers(engines []*target.Target, members int, tokensEach int64, turn int) (picked []*target.Target, blocks bool) {
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
		if !hasLongContextPrefill(t) && t.FreeTokens() >= tokensEach {
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

// mostFree returns the n engines with the most free KV memory. It sorts engines in place.
func mostFree(engines []*target.Target, n int) []*target.Target {
	slices.SortStableFunc(engines, func(a, b *target.Target) int { return cmp.Compare(b.FreeTokens(), a.FreeTokens()) })
	return engines[:n]
}

// hasLongContextPrefill reports whether a long-context prefill is pending at the target.
func hasLongContextPrefill(t *target.Target) bool {
	load := t.Total()
	return load.LongContext > 0
}

// wholeBlockFilter keeps long and middle requests for a single engine out of blocks while requests wait that need
// several engines of one block, so that a partly used block becomes whole again. The last engine of a block whose other
// engines are busy is of no use to those requests and stays open.
type wholeBlockFilter struct {
	groupsWait bool
	// busy counts the engines with a long-context prefill, by block.
	busy map[int]int
}

// Prepare implements preparer.
func (f *wholeBlockFilter) Prepare(_ core.Time, rec *ledger.Record, targets []*target.Target) {
	if !f.appliesTo(rec) {
		return
	}
	f.busy = make(map[int]int)
	for _, t := range targets {
		if t.Block > 0 && hasLongContextPrefill(t) {
			f.busy[t.Block]++
		}
	}
}

// Keep implements Filter.
func (f *wholeBlockFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return !f.appliesTo(rec) || t.Block == 0 || f.busy[t.Block] >= blockSize-1
}

// appliesTo reports whether the filter restricts the request.
func (f *wholeBlockFilter) appliesTo(rec *ledger.Record) bool {
	return f.groupsWait && (rec.Work.Class == document.ClassLong || rec.Work.Class == document.ClassMiddle)
}
