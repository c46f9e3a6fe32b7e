package queue

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

// endHeap holds waiters by the end of their wait, the earliest first. It implements heap.Interface.
type endHeap []*waiter

func waitEnd(w *waiter) core.Time { return w.rec.WaitingSince + w.rec.WaitLimit }

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return waitEnd(h[i]) < waitEnd(h[j]) }

func (h endHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].endIndex, h[j].endIndex = i, j
}

// Push implements heap.Interface.
func (h *endHeap) Push(x any) {
	w := x.(*waiter)
	w.endIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *endHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.endIndex = -1
	return w
}

// appendOverdue appends the overdue records of the subtree with a root to a slice.
func (h endHeap) appendOverdue(out []*ledger.Record, now core.Time, root int) []*ledger.Record {
	if root >= len(h) || !isOverdue(now, h[root].rec) {
		return out
	}
	out = append(out, h[root].rec)
	out = h.appendOverdue(out, now, 2*root+1)
	return h.appendOverdue(out, now, 2*root+2)
}
