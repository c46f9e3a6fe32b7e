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

// Fair keeps a queue for each class and model, with separate ones for requests that need several engines, and in each a
// queue for each team. Classes are served in order: plain services, short, middle, long. Within a class queue, weighted
// fair queueing keeps the work served to teams in proportion to their weights; within a team the earliest deadline goes
// first. Requests that have waited for half of their budget go ahead of other teams'. A head without a target blocks
// its own class queue only. That blocking is intended: small requests can't starve large ones of their class by
// overtaking them. It is not safe for concurrent use.
type Fair struct {
	weight func(team string) int64
	queues []*classQueue
	items  map[core.Key]*item
}

// classQueue holds the waiting requests of one class for one model; group is set for those that need several engines.
type classQueue struct {
	class document.Class
	model string
	group bool
	// tokens is the waiting prefill work, in weighted tokens.
	tokens int64
	teams  []*teamQueue
	// served is the virtual time: the largest teamQueue.served that a team had just before it was served.
	served float64
}

// teamQueue holds one team's waiting requests of a class queue.
type teamQueue struct {
	name string
	// served is the work over weight that the team was served, plus the virtual time at which this queue was added.
	served     float64
	byDeadline deadlineHeap
	// tokens is the waiting prefill work, in weighted tokens.
	tokens int64
}

type item struct {
	rec   *ledger.Record
	queue *classQueue
	team  *teamQueue
	index int
}

// NewFair returns an empty queue; weight returns the weight of a team, at least 1.
func NewFair(weight func(team string) int64) *Fair {
	return &Fair{weight: weight, items: make(map[core.Key]*item)}
}

// classRank returns a class's position in the order of service.
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
	for _, l := range q.queues {
		if l.class == class {
			sum += l.tokens
		}
	}
	return sum
}

// Ahead implements Queue. Until the last of a team's work has been served, each other team has been served in proportion
// to its weight, or all that it had.
func (q *Fair) Ahead(rec *ledger.Record) int64 {
	if l := q.queueOf(rec); l != nil {
		return l.ahead(rec.Request.Team, rec.Work.PrefillWork, q.weight)
	}
	return 0
}

// queueOf returns the class queue that a record belongs to, or nil if there is none.
func (q *Fair) queueOf(rec *ledger.Record) *classQueue {
	i := slices.IndexFunc(q.queues, func(l *classQueue) bool {
		return l.class == rec.Work.Class && l.model == rec.Request.Model && l.group == rec.Work.Group
	})
	if i < 0 {
		return nil
	}
	return q.queues[i]
}

// ahead returns the work that is served before the last of a team's work, if work is added to that.
func (l *classQueue) ahead(team string, work int64, weight func(team string) int64) int64 {
	own := int64(0)
	for _, t := range l.teams {
		if t.name == team {
			own = t.tokens
		}
	}
	sum := own
	for _, t := range l.teams {
		if t.name != team {
			sum += min(t.tokens, (own+work)*max(weight(t.name), 1)/max(weight(team), 1))
		}
	}
	return sum
}

// longBacklogTokens is the waiting work of one class from which its backlog counts as long, in weighted tokens.
const longBacklogTokens = 300_000

// Dominates implements Queue.
func (q *Fair) Dominates(rec *ledger.Record) bool {
	l := q.queueOf(rec)
	if l == nil || l.tokens <= longBacklogTokens {
		return false
	}
	return slices.ContainsFunc(l.teams, func(t *teamQueue) bool {
		return t.name == rec.Request.Team && 2*t.tokens > l.tokens
	})
}

// Push implements Queue.
func (q *Fair) Push(rec *ledger.Record) {
	l := q.classQueueFor(classQueue{class: rec.Work.Class, model: rec.Request.Model, group: rec.Work.Group})
	t := l.teamQueueFor(rec.Request.Team)
	it := &item{rec: rec, queue: l, team: t}
	heap.Push(&t.byDeadline, it)
	l.tokens += rec.Work.PrefillWork
	t.tokens += rec.Work.PrefillWork
	q.items[rec.Request.Key] = it
}

// Remove implements Queue.
func (q *Fair) Remove(key core.Key) bool {
	it := q.items[key]
	if it == nil {
		return false
	}
	delete(q.items, key)
	heap.Remove(&it.team.byDeadline, it.index)
	it.queue.tokens -= it.rec.Work.PrefillWork
	it.team.tokens -= it.rec.Work.PrefillWork
	return true
}

// Groups implements Queue.
func (q *Fair) Groups() int {
	n := 0
	for _, l := range q.queues {
		for _, t := range l.teams {
			if l.group {
				n += len(t.byDeadline)
			}
		}
	}
	return n
}

// Each implements Queue: in each class queue it calls f for one head after another until f returns false.
func (q *Fair) Each(now core.Time, f func(*ledger.Record) (take bool)) {
	for _, l := range q.queues {
		for it := l.head(now); it != nil && f(it.rec); it = l.head(now) {
			if q.Remove(it.rec.Request.Key) {
				l.charge(it.team, float64(it.rec.Work.PrefillWork)/float64(max(q.weight(it.team.name), 1)))
			}
		}
		l.dropIdle()
	}
}

// EachFresh implements Queue. A head without a target blocks those behind it, so Each is cheap already.
func (q *Fair) EachFresh(now core.Time, f func(*ledger.Record) (take bool)) { q.Each(now, f) }

// Renew implements Queue. Any pass may offer the record anyway.
func (q *Fair) Renew(core.Key) {}

// All implements Queue.
func (q *Fair) All(now core.Time, f func(*ledger.Record)) { allOf(q, now, f) }

// Overdue implements Queue.
func (q *Fair) Overdue(now core.Time) []*ledger.Record { return overdueOf(q, now) }

// classQueueFor returns the queue with the class, model and group of wanted, and adds it if there is none.
func (q *Fair) classQueueFor(wanted classQueue) *classQueue {
	at, found := slices.BinarySearchFunc(q.queues, &wanted, compareQueues)
	if !found {
		q.queues = slices.Insert(q.queues, at, &wanted)
	}
	return q.queues[at]
}

// compareQueues orders queues by class; within a class, requests that need several engines go first.
func compareQueues(a, b *classQueue) int {
	return cmp.Or(cmp.Compare(classRank(a.class), classRank(b.class)), groupRank(a)-groupRank(b), strings.Compare(a.model, b.model))
}

func groupRank(l *classQueue) int {
	if l.group {
		return 0
	}
	return 1
}

// teamQueueFor returns a team's queue. A new one starts at the current virtual time, so that the team neither pays for nor
// profits from the time in which it had no requests.
func (l *classQueue) teamQueueFor(name string) *teamQueue {
	at, found := slices.BinarySearchFunc(l.teams, name, func(t *teamQueue, name string) int { return strings.Compare(t.name, name) })
	if !found {
		l.teams = slices.Insert(l.teams, at, &teamQueue{name: name, served: l.served})
	}
	return l.teams[at]
}

// head returns the request to serve next, of those with the earliest deadline of each team: the earliest deadline among
// those that have waited for half of their budget or, if there are none, the one of the team with the least service.
func (l *classQueue) head(now core.Time) *item {
	var best, aged *item
	for _, t := range l.teams {
		if len(t.byDeadline) == 0 {
			continue
		}
		it := t.byDeadline[0]
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

// agedDivisor sets the wait after which a request is served regardless of team weights: its budget/agedDivisor.
const agedDivisor = 2

func isAged(now core.Time, rec *ledger.Record) bool {
	budget := rec.Request.Deadline - rec.Timing.Admitted
	return now-rec.Timing.Admitted >= budget/agedDivisor
}

// charge adds served work over weight to a team and advances the virtual time.
func (l *classQueue) charge(t *teamQueue, work float64) {
	l.served = max(l.served, t.served)
	t.served += work
}

// dropIdle removes teams without waiting requests that are not ahead of the virtual time.
func (l *classQueue) dropIdle() {
	l.teams = slices.DeleteFunc(l.teams, func(t *teamQueue) bool { return len(t.byDeadline) == 0 && t.served <= l.served })
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
