package queue

import (
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
)

// kind is the kind of work of a request. Requests of one kind and service wait for the same thing: a slot, engines that share a
// prefill, or memory at several engines.
type kind int

const (
	kindShort kind = iota
	kindLong
	kindGroup
	kinds
)

func kindOf(rec *ledger.Record) kind {
	switch {
	case rec.Work.Group:
		return kindGroup
	case route.IsLong(rec):
		return kindLong
	}
	return kindShort
}

// Bounds of the offers in vain that one pass makes to a lane, so that its work does not grow with the waiting requests. The
// placement of a long prompt or a group costs more than that of a short one, and a request with less urgency rarely finds a place
// where several more urgent ones of its kind do not.
var (
	// maxHeadOffers are those to the first requests in order of service.
	maxHeadOffers = [kinds]int{kindShort: 12, kindLong: 3, kindGroup: 2}
	// maxTurnOffers are those to the requests behind them, which later passes continue.
	maxTurnOffers = [kinds]int{kindShort: 4, kindLong: 1, kindGroup: 1}
)

// laneKey names the requests among which a bound on the offers of a pass is shared. Ranks and requests that go first have lanes of
// their own, so that none of them keeps another from being offered.
type laneKey struct {
	service   string
	kind      kind
	goesFirst bool
	rank      int64
}

func laneKeyOf(rec *ledger.Record) laneKey {
	return laneKey{service: rec.Request.Model, kind: kindOf(rec), goesFirst: goesFirst(rec), rank: rankOf(rec)}
}

// waiter is a waiting record with its place in the queue.
type waiter struct {
	rec  *ledger.Record
	lane *lane
	// late is set if it is in lane.late.
	late bool
	// pass is the last pass that offered it; fresh is set until the first one.
	pass  uint64
	fresh bool
	// endIndex is its place in Objectives.ends; -1 if it is not there.
	endIndex int
}

// lane holds the waiting requests of one laneKey in order of service: those that can still meet their objective, the least time
// left first, then the late ones, the most recently admitted first.
type lane struct {
	key         laneKey
	early, late []*waiter
	// turn is the position at which the next pass continues behind the first offers; 0 if none is left.
	turn int
	// next is the position of the next offer of the current pass, failed the offers in vain, of which turned were in turn.
	next, failed, turned int
}

func (l *lane) len() int { return len(l.early) + len(l.late) }

// at returns the waiter at a position in order of service.
func (l *lane) at(i int) *waiter {
	if i < len(l.early) {
		return l.early[i]
	}
	return l.late[i-len(l.early)]
}

func compareEarly(a, b *waiter) int { return compareByLimit(never, a.rec, b.rec, latestStart) }

func compareLate(a, b *waiter) int { return compareAdmitted(a.rec, b.rec) }

// never is a time before all others: no limit has passed then.
const never = -1 << 62

// insert adds a waiter as one that can still meet its objective; settle corrects that.
func (l *lane) insert(w *waiter) {
	w.late = false
	at, _ := slices.BinarySearchFunc(l.early, w, compareEarly)
	l.early = slices.Insert(l.early, at, w)
}

// settle moves the waiters that are late by now.
func (l *lane) settle(now core.Time) {
	passed := 0
	for ; passed < len(l.early) && now > latestStart(l.early[passed].rec); passed++ {
		w := l.early[passed]
		w.late = true
		at, _ := slices.BinarySearchFunc(l.late, w, compareLate)
		l.late = slices.Insert(l.late, at, w)
	}
	l.early = slices.Delete(l.early, 0, passed)
}

// remove removes a waiter of the lane. Positions of the current pass behind it move up.
func (l *lane) remove(w *waiter) {
	at := 0
	if w.late {
		i, _ := slices.BinarySearchFunc(l.late, w, compareLate)
		l.late = slices.Delete(l.late, i, i+1)
		at = len(l.early) + i
	} else {
		i, _ := slices.BinarySearchFunc(l.early, w, compareEarly)
		l.early = slices.Delete(l.early, i, i+1)
		at = i
	}
	if at < l.next {
		l.next--
	}
	if at < l.turn {
		l.turn--
	}
}

// begin starts a pass.
func (l *lane) begin() { l.next, l.failed, l.turned = 0, 0, 0 }

// head returns the waiter that the pass offers next; nil if the lane has none left or its offers are used up.
func (l *lane) head(pass uint64) *waiter {
	for l.failed < maxHeadOffers[l.key.kind]+maxTurnOffers[l.key.kind] {
		if l.failed >= maxHeadOffers[l.key.kind] && l.turned == 0 {
			l.next = max(l.next, l.turn)
			l.turned = 1
		}
		if l.next >= l.len() {
			return nil
		}
		if w := l.at(l.next); w.pass != pass {
			return w
		}
		l.next++
	}
	return nil
}

// passBy records that the pass has offered a waiter in vain.
func (l *lane) passBy() { l.failed++ }

// end records where the next pass continues.
func (l *lane) end(pass uint64) {
	l.turn = 0
	for l.next < l.len() && l.at(l.next).pass == pass {
		l.next++
	}
	if l.turned > 0 && l.next < l.len() {
		l.turn = l.next
	}
}
