package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// Fair keeps one line for each class and model, with requests that need several engines in a line of their own, and
// in each line one for each team. Classes are served in order: plain services, short, middle, long. Between teams of
// one line the work served is kept in proportion to their weights; within a team the earliest deadline goes first. The
// head of a line that finds no target holds up its own line only, so large requests are not passed by small ones of
// their own class for ever. It is not safe for concurrent use.
type Fair struct {
	weight func(team string) int64
	lines  []*line
	items  map[core.Key]*item
}

// line holds the waiting requests of one class for one model.
type line struct {
	class  document.Class
	model  string
	group  bool
	tokens int64
	teams  []*teamLine
	// served is the virtual time: the work over weight of the team that was served last.
	served float64
}

// teamLine holds one team's waiting requests of one line.
type teamLine struct {
	name   string
	served float64
	byTime deadlineHeap
}

type item struct {
	rec   *ledger.Record
	line  *line
	team  *teamLine
	index int
}

// NewFair returns an empty queue; weight returns the weight of a team, at least 1.
func NewFair(weight func(team string) int64) *Fair {
	return &Fair{weight: weight, items: make(map[core.Key]*item)}
}

// classRank is the order in which classes are served.
func classRank(c document.Class) int {
	return slices.Index([]document.Class{
		document.ClassService, document.ClassShort, document.ClassMiddle, document.ClassLong,
	}, c)
}

// Len implements Queue.
func (q *Fair) Len() int { return len(q.items) }

// Tokens implements Queue.
func (q *Fair) Tokens(class document.Class) int64 {
	sum := int64(0)
	for _, l := range q.lines {
		if l.class == class {
			sum += l.tokens
		}
	}
	return sum
}

// Push implements Queue.
func (q *Fair) Push(rec *ledger.Record) {
	l := q.line(line{class: rec.Work.Class, model: rec.Request.Model, group: rec.Work.Group})
	t := l.team(rec.Request.Team)
	it := &item{rec: rec, line: l, team: t}
	heap.Push(&t.byTime, it)
	l.tokens += rec.Work.PrefillWork
	q.items[rec.Request.Key] = it
}

// Remove implements Queue.
func (q *Fair) Remove(key core.Key) bool {
	it := q.items[key]
	if it == nil {
		return false
	}
	delete(q.items, key)
	heap.Remove(&it.team.byTime, it.index)
	it.line.tokens -= it.rec.Work.PrefillWork
	return true
}

// Groups is the number of waiting requests that need several engines.
func (q *Fair) Groups() int {
	n := 0
	for _, l := range q.lines {
		for _, t := range l.teams {
			if l.group {
				n += len(t.byTime)
			}
		}
	}
	return n
}

// Each implements Queue: it offers the head of each line until it is not taken.
func (q *Fair) Each(now core.Time, f func(*ledger.Record) (take bool)) {
	for _, l := range q.lines {
		for it := l.head(now); it != nil && f(it.rec); it = l.head(now) {
			if q.Remove(it.rec.Request.Key) {
				l.charge(it.team, float64(it.rec.Work.PrefillWork)/float64(max(q.weight(it.team.name), 1)))
			}
		}
		l.dropIdle()
	}
}

// line returns the line with the wanted class, model and group.
func (q *Fair) line(wanted line) *line {
	at, found := slices.BinarySearchFunc(q.lines, &wanted, compareLines)
	if !found {
		q.lines = slices.Insert(q.lines, at, &wanted)
	}
	return q.lines[at]
}

// compareLines orders lines by class; groups go before single engines of the same class.
func compareLines(a, b *line) int {
	return cmp.Or(cmp.Compare(classRank(a.class), classRank(b.class)), groupRank(a)-groupRank(b), strings.Compare(a.model, b.model))
}

func groupRank(l *line) int {
	if l.group {
		return 0
	}
	return 1
}

// team returns a team's line. A team that begins to wait starts at the present virtual time, so that it neither pays
// for nor profits from the time in which it asked for nothing.
func (l *line) team(name string) *teamLine {
	at, found := slices.BinarySearchFunc(l.teams, name, func(t *teamLine, name string) int { return strings.Compare(t.name, name) })
	if !found {
		l.teams = slices.Insert(l.teams, at, &teamLine{name: name, served: l.served})
	}
	return l.teams[at]
}

// head is the request to serve next: the earliest deadline among those that have waited for half of their budget,
// and without any, the earliest deadline of the team that was served least.
func (l *line) head(now core.Time) *item {
	var best, aged *item
	for _, t := range l.teams {
		if len(t.byTime) == 0 {
			continue
		}
		it := t.byTime[0]
		if best == nil || t.served < best.team.served {
			best = it
		}
		if isAged(now, it.rec) && (aged == nil || it.rec.Request.Deadline < aged.rec.Request.Deadline) {
			aged = it
		}
	}
	if aged != nil {
		return aged
	}
	return best
}

// agedPart is the part of its budget that a request may wait before teams' weights stop to matter for it, as a divisor.
const agedPart = 2

func isAged(now core.Time, rec *ledger.Record) bool {
	budget := rec.Request.Deadline - rec.Timing.Admitted
	return now-rec.Timing.Admitted >= budget/agedPart
}

func (l *line) charge(t *teamLine, work float64) {
	l.served = max(l.served, t.served)
	t.served += work
}

// dropIdle forgets teams that wait for nothing and owe nothing.
func (l *line) dropIdle() {
	l.teams = slices.DeleteFunc(l.teams, func(t *teamLine) bool { return len(t.byTime) == 0 && t.served <= l.served })
}

type deadlineHeap []*item

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	a, b := h[i].rec, h[j].rec
	if a.Request.Deadline != b.Request.Deadline {
		return a.Request.Deadline < b.Request.Deadline
	}
	return a.Request.Compare(b.Request.Key) < 0
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
