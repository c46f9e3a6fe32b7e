package queue

import (
	"cmp"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

// ranked counts, for each service, the dispatches in order of rank since the last one that ignored rank. Services are
// counted apart, since the dispatches of one that is not short of targets must not use up the turns of another.
//
// One dispatch in floorInterval goes to a request that has used most of its wait, whatever its rank, so that no team is
// starved by more urgent ones. Not every such request goes first: under lasting overload all requests get that old, also
// the most urgent ones, and all targets would then serve requests in order of age, late and without regard to rank.
type ranked map[string]int

const (
	// floorInterval is the number of dispatches of which one ignores rank. All waiting requests of a service compete for
	// that one by the same rule, so each team gets at least about a third of what it would get without ranks. The promise
	// is a quarter; the rest is a margin for bursts and for views that differ between hosts.
	floorInterval = 3
	// agedPercent is the part of a request's useful wait, in percent, after which a dispatch that ignores rank may take it:
	// most of the wait, so that rank alone decides in short bursts, and with a quarter of it left, so that a slot usually
	// becomes free while the request can still meet its objective.
	agedPercent = 75
	percent     = 100
)

// ranksDiffer reports whether teams have ranks and the ranks of the requests differ.
func (q *Objectives) ranksDiffer() bool { return q.byRank > 0 && len(q.ranks) > 1 }

// rankOf returns the urgency of a request; 0 is the most urgent.
func rankOf(rec *ledger.Record) int64 {
	if rec.Request.Routed == nil {
		return 0
	}
	return rec.Request.Routed.Rank
}

// eachByRank offers the records of a pass if ranksDiffer.
func (q *Objectives) eachByRank(now core.Time, f func(*ledger.Record) (take bool)) {
	q.offerOld(now, f)
	for w := q.head(now, compareRanked); w != nil; w = q.head(now, compareRanked) {
		if !q.offer(w, f) {
			continue
		}
		q.ranked.count(w.rec)
		if q.ranked.floorDue(w.rec) {
			q.offerOld(now, f)
		}
	}
}

// offerOld offers the old requests of services whose next dispatch ignores rank, until one of each was taken.
func (q *Objectives) offerOld(now core.Time, f func(*ledger.Record) (take bool)) {
	var old []*waiter
	for _, l := range q.lanes {
		if q.ranked[l.key.service] < floorInterval-1 {
			continue
		}
		for i := range l.len() {
			if w := l.at(i); w.pass != q.pass && isOld(now, w.rec) {
				old = append(old, w)
			}
		}
	}
	slices.SortFunc(old, func(a, b *waiter) int { return compareOld(now, a.rec, b.rec) })
	for _, w := range old {
		if w.lane.failed < maxHeadOffers[w.lane.key.kind] && q.ranked.floorDue(w.rec) && q.offer(w, f) {
			q.ranked[w.rec.Request.Model] = 0
			q.rankIgnored++
		}
	}
}

// count counts a dispatch in order of rank.
func (r ranked) count(rec *ledger.Record) { r[rec.Request.Model]++ }

// compareRanked orders requests as compareObjectives does, but those that can still meet their objective by rank first.
func compareRanked(now core.Time, a, b *ledger.Record) int {
	if now <= min(latestStart(a), latestStart(b)) && goesFirst(a) == goesFirst(b) {
		if order := cmp.Compare(rankOf(a), rankOf(b)); order != 0 {
			return order
		}
	}
	return compareObjectives(now, a, b)
}

// usefulEnd returns the last time at which a record's wait ends with a dispatch that is expected to meet its objective;
// the end of its wait if there is none. Only routed records have a wait limit; others are not in this queue.
func usefulEnd(rec *ledger.Record) core.Time {
	end := rec.WaitingSince + rec.WaitLimit
	if start := latestStart(rec); start > rec.WaitingSince {
		return min(end, start)
	}
	return end
}

// isOld reports whether a record has used most of its useful wait.
func isOld(now core.Time, rec *ledger.Record) bool {
	return (now-rec.WaitingSince)*percent >= (usefulEnd(rec)-rec.WaitingSince)*agedPercent
}

// compareOld orders old requests: those that can still meet their objective by the time left, then the others, the most
// recently admitted first.
func compareOld(now core.Time, a, b *ledger.Record) int { return compareByLimit(now, a, b, usefulEnd) }

// floorDue reports whether the next dispatch to the record's service ignores rank.
func (r ranked) floorDue(rec *ledger.Record) bool { return r[rec.Request.Model] >= floorInterval-1 }
