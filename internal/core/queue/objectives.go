package queue

import (
	"cmp"
	"container/heap"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// Objectives orders waiting records by their time to first token objective. After those that go first come those that
// can still meet it, the one with the least time left first: under overload a late answer has less utility than one in
// time. Those that can't meet it follow, the most recently admitted first. If teams have ranks and those of the requests
// differ, the rank precedes the time left among requests that can still meet their objective, and some dispatches ignore
// it: see ranked. It keeps the records in order, so that the work of a pass does not grow with their number. It is not safe
// for concurrent use.
type Objectives struct {
	waiters map[core.Key]*waiter
	// lanes are the lanes with waiting records, in the order in which they came up.
	lanes []*lane
	// fresh are the waiters that no pass has offered yet.
	fresh []*waiter
	ends  endHeap
	pass  uint64
	// byRank is the number of waiting records whose document gives a team a rank, ranks that of the records of each rank.
	byRank int
	ranks  map[int64]int
	ranked ranked
	// rankIgnored counts the dispatches that ignored rank.
	rankIgnored uint64
	// tokens is the waiting prefill work of each class, in weighted tokens.
	tokens map[document.Class]int64
	groups int
}

// NewObjectives returns an empty queue.
func NewObjectives() *Objectives {
	return &Objectives{
		waiters: make(map[core.Key]*waiter), ranks: make(map[int64]int), tokens: make(map[document.Class]int64), ranked: make(ranked),
	}
}

// RankIgnored returns how many dispatches ignored rank.
func (q *Objectives) RankIgnored() uint64 { return q.rankIgnored }

// Len implements Queue.
func (q *Objectives) Len() int { return len(q.waiters) }

// Tokens implements Queue.
func (q *Objectives) Tokens(class document.Class) int64 { return q.tokens[class] }

// Ahead implements Queue. It returns all of Tokens, since a later record may still go first.
func (q *Objectives) Ahead(rec *ledger.Record) int64 { return q.tokens[rec.Work.Class] }

// Dominates implements Queue. It returns false, since Objectives does not distinguish teams.
func (q *Objectives) Dominates(*ledger.Record) bool { return false }

// Groups implements Queue.
func (q *Objectives) Groups() int { return q.groups }

// Push implements Queue.
func (q *Objectives) Push(rec *ledger.Record) {
	w := &waiter{rec: rec, lane: q.laneFor(laneKeyOf(rec)), fresh: true, endIndex: -1}
	w.lane.insert(w)
	q.waiters[rec.Request.Key] = w
	q.fresh = append(q.fresh, w)
	if rec.Request.Routed != nil {
		heap.Push(&q.ends, w)
	}
	q.count(rec, 1)
}

// laneFor returns the lane of a key, and adds it if there is none.
func (q *Objectives) laneFor(key laneKey) *lane {
	for _, l := range q.lanes {
		if l.key == key {
			return l
		}
	}
	l := &lane{key: key}
	q.lanes = append(q.lanes, l)
	return l
}

// count adds a record to the totals, or subtracts it if sign is -1.
func (q *Objectives) count(rec *ledger.Record, sign int) {
	q.tokens[rec.Work.Class] += int64(sign) * rec.Work.PrefillWork
	if rec.Work.Group {
		q.groups += sign
	}
	if rec.Request.Routed != nil && rec.Request.Routed.ByRank {
		q.byRank += sign
	}
	rank := rankOf(rec)
	q.ranks[rank] += sign
	if q.ranks[rank] == 0 {
		delete(q.ranks, rank)
	}
}

// Remove implements Queue.
func (q *Objectives) Remove(key core.Key) bool {
	w := q.waiters[key]
	if w == nil {
		return false
	}
	delete(q.waiters, key)
	w.lane.remove(w)
	if w.endIndex >= 0 {
		heap.Remove(&q.ends, w.endIndex)
	}
	w.fresh = false
	q.count(w.rec, -1)
	return true
}

// Each implements Queue. It offers the records of a lane until a bounded number of offers was in vain: those that go first, and,
// in turn over the passes, the others. It also offers each record that no pass has offered yet.
func (q *Objectives) Each(now core.Time, f func(*ledger.Record) (take bool)) {
	q.beginPass(now)
	if q.ranksDiffer() {
		q.eachByRank(now, f)
	} else {
		for w := q.head(now, compareObjectives); w != nil; w = q.head(now, compareObjectives) {
			q.offer(w, f)
		}
	}
	q.offerFresh(now, f)
	q.endPass()
}

// EachFresh implements Queue.
func (q *Objectives) EachFresh(now core.Time, f func(*ledger.Record) (take bool)) {
	q.pass++
	q.offerFresh(now, f)
	q.dropLanes()
}

// Renew implements Queue.
func (q *Objectives) Renew(key core.Key) {
	if w := q.waiters[key]; w != nil && !w.fresh {
		w.fresh = true
		q.fresh = append(q.fresh, w)
	}
}

// beginPass puts the records in order and starts a pass.
func (q *Objectives) beginPass(now core.Time) {
	q.pass++
	for _, l := range q.lanes {
		l.settle(now)
		l.begin()
	}
}

func (q *Objectives) endPass() {
	for _, l := range q.lanes {
		l.end(q.pass)
	}
	q.dropLanes()
}

// dropLanes drops the lanes without records: services and ranks come and go with the configuration.
func (q *Objectives) dropLanes() {
	q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return l.len() == 0 })
	if len(q.waiters) == 0 {
		clear(q.ranked)
	}
}

// head returns the waiter that goes first, by the order of compare, of those that the lanes offer next; nil if none does.
func (q *Objectives) head(now core.Time, compare func(now core.Time, a, b *ledger.Record) int) *waiter {
	var first *waiter
	for _, l := range q.lanes {
		if w := l.head(q.pass); w != nil && (first == nil || compare(now, w.rec, first.rec) < 0) {
			first = w
		}
	}
	return first
}

// offer calls f for a record, removes it if f takes it, and reports whether f did.
func (q *Objectives) offer(w *waiter, f func(*ledger.Record) (take bool)) bool {
	w.pass = q.pass
	w.fresh = false
	if !f(w.rec) {
		w.lane.passBy()
		return false
	}
	q.Remove(w.rec.Request.Key)
	return true
}

// offerFresh offers the records that no pass has offered yet, in order of service. They count for no turn of old records: those
// were offered before, and nothing has changed for them since.
func (q *Objectives) offerFresh(now core.Time, f func(*ledger.Record) (take bool)) {
	fresh := slices.DeleteFunc(q.fresh, func(w *waiter) bool { return !w.fresh })
	compare := compareObjectives
	if q.ranksDiffer() {
		compare = compareRanked
	}
	slices.SortFunc(fresh, func(a, b *waiter) int { return compare(now, a.rec, b.rec) })
	for _, w := range fresh {
		if q.offer(w, f) {
			q.ranked.count(w.rec)
		}
	}
	clear(fresh)
	q.fresh = fresh[:0]
}

// All implements Queue.
func (q *Objectives) All(now core.Time, f func(*ledger.Record)) {
	all := make([]*ledger.Record, 0, len(q.waiters))
	for _, l := range q.lanes {
		for i := range l.len() {
			all = append(all, l.at(i).rec)
		}
	}
	q.sort(now, all)
	for _, rec := range all {
		f(rec)
	}
}

// sort puts records in order of service.
func (q *Objectives) sort(now core.Time, records []*ledger.Record) {
	compare := compareObjectives
	if q.ranksDiffer() {
		compare = compareRanked
	}
	slices.SortFunc(records, func(a, b *ledger.Record) int { return compare(now, a, b) })
}

// Overdue implements Queue.
func (q *Objectives) Overdue(now core.Time) []*ledger.Record {
	out := q.ends.appendOverdue(nil, now, 0)
	q.sort(now, out)
	return out
}

// serviceDivisor sets the least time from dispatch to first token: 1/serviceDivisor of the objective.
const serviceDivisor = 2

// latestStart returns the last time at which a record can be dispatched and is still expected to meet its objective.
func latestStart(rec *ledger.Record) core.Time {
	return rec.Timing.Admitted + rec.FirstTokenTarget - rec.FirstTokenTarget/serviceDivisor
}

// goesFirst reports whether a request goes before others, whatever their objectives: its caller submits it again after a refusal, and
// has no further attempt, or has a part of its answer.
func goesFirst(rec *ledger.Record) bool {
	return rec.Begun || rec.Request.Routed != nil && rec.Request.Routed.Resubmitted
}

func compareObjectives(now core.Time, a, b *ledger.Record) int {
	if firstA, firstB := goesFirst(a), goesFirst(b); firstA != firstB {
		if firstA {
			return -1
		}
		return 1
	}
	return compareByLimit(now, a, b, latestStart)
}

// compareByLimit orders records by the time left until a limit; those past it follow, the most recently admitted first.
func compareByLimit(now core.Time, a, b *ledger.Record, limit func(*ledger.Record) core.Time) int {
	limitA, limitB := limit(a), limit(b)
	lateA, lateB := now > limitA, now > limitB
	switch {
	case lateA && lateB:
		return compareAdmitted(a, b)
	case lateA:
		return 1
	case lateB:
		return -1
	}
	return cmp.Or(cmp.Compare(limitA, limitB), a.Request.Compare(b.Request.Key))
}

// compareAdmitted puts the most recently admitted record first.
func compareAdmitted(a, b *ledger.Record) int {
	return cmp.Or(-cmp.Compare(a.Timing.Admitted, b.Timing.Admitted), a.Request.Compare(b.Request.Key))
}
