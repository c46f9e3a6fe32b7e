package queue_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/queue"
	"carobshunt/internal/document"

	"gotest.tools/v3/assert"
)

func waiting(id, team string, class document.Class, deadline time.Duration, work int64) *ledger.Record {
	return &ledger.Record{
		Request: core.Request{Key: core.Key{Team: team, ID: id}, Deadline: deadline, Model: "m"},
		Work:    core.Work{Class: class, PrefillWork: work},
	}
}

func weights(w map[string]int64) func(string) int64 {
	return func(team string) int64 { return w[team] }
}

// order empties the queue and returns the request identifiers in order of service at a time.
func order(q queue.Queue, now time.Duration) string {
	var ids []string
	q.Each(now, func(rec *ledger.Record) bool {
		ids = append(ids, rec.Request.ID)
		return true
	})
	return strings.Join(ids, " ")
}

func TestOrderOfService(t *testing.T) {
	const s = time.Second
	for name, tc := range map[string]struct {
		now     time.Duration
		waiting []*ledger.Record
		want    string
	}{
		"classes before deadlines": {
			waiting: []*ledger.Record{
				waiting("long", "a", document.ClassLong, 1000*s, 1), waiting("short", "a", document.ClassShort, 2000*s, 1),
				waiting("middle", "a", document.ClassMiddle, 500*s, 1), waiting("call", "a", document.ClassService, 3000*s, 1),
			},
			want: "call short middle long",
		},
		"earliest deadline within a team": {
			waiting: []*ledger.Record{
				waiting("c", "a", document.ClassShort, 300*s, 1), waiting("a", "a", document.ClassShort, 100*s, 1),
				waiting("b", "a", document.ClassShort, 200*s, 1),
			},
			want: "a b c",
		},
		"weights between teams": {
			waiting: []*ledger.Record{
				waiting("a1", "heavy", document.ClassShort, 100*s, 6), waiting("a2", "heavy", document.ClassShort, 101*s, 6),
				waiting("a3", "heavy", document.ClassShort, 102*s, 6), waiting("b1", "light", document.ClassShort, 50*s, 6),
				waiting("b2", "light", document.ClassShort, 51*s, 6),
			},
			want: "a1 b1 a2 a3 b2",
		},
		"half of the budget gone goes before weights": {
			now: 60 * s,
			waiting: []*ledger.Record{
				waiting("a1", "heavy", document.ClassShort, 500*s, 6), waiting("b1", "light", document.ClassShort, 110*s, 6),
				waiting("b2", "light", document.ClassShort, 119*s, 6),
			},
			want: "b1 b2 a1",
		},
	} {
		q := queue.NewFair(weights(map[string]int64{"heavy": 3, "light": 1, "a": 1}))
		for _, rec := range tc.waiting {
			q.Push(rec)
		}
		assert.Equal(t, order(q, tc.now), tc.want, name)
		assert.Equal(t, q.Len(), 0)
	}
}

func TestHeadOfLineBlocksOnlyItsOwnQueue(t *testing.T) {
	q := queue.NewFair(weights(nil))
	q.Push(waiting("large", "a", document.ClassLong, 100, 9))
	q.Push(waiting("behind", "a", document.ClassLong, 200, 1))
	q.Push(waiting("short", "a", document.ClassShort, 300, 1))
	group := waiting("group", "a", document.ClassLong, 50, 5)
	group.Work.Group = true
	q.Push(group)
	var offered []string
	q.Each(0, func(rec *ledger.Record) bool {
		offered = append(offered, rec.Request.ID)
		return rec.Request.ID == "short"
	})
	assert.DeepEqual(t, offered, []string{"short", "group", "large"})
	assert.Equal(t, q.Tokens(document.ClassLong), int64(15))
	assert.Equal(t, q.Groups(), 1)
}

// TestTeamsAreServedByWeight checks that teams that always have requests waiting are served in proportion to their
// weights, regardless of request size.
func TestTeamsAreServedByWeight(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	w := map[string]int64{"a": 6, "b": 3, "c": 1}
	q := queue.NewFair(weights(w))
	served := make(map[string]int64)
	serial := 0
	push := func(team string) {
		serial++
		q.Push(waiting(fmt.Sprint(serial), team, document.ClassShort, time.Hour+time.Duration(serial), 1+rng.Int64N(1000)))
	}
	for team := range w {
		for range 50 {
			push(team)
		}
	}
	for range 20_000 {
		var taken *ledger.Record
		q.Each(0, func(rec *ledger.Record) bool {
			if taken != nil {
				return false
			}
			taken = rec
			return true
		})
		served[taken.Request.Team] += taken.Work.PrefillWork
		push(taken.Request.Team)
	}
	total := served["a"] + served["b"] + served["c"]
	for team, weight := range w {
		got, want := float64(served[team])/float64(total), float64(weight)/10
		assert.Assert(t, got > want*0.97 && got < want*1.03, "%s got %.3f want %.3f", team, got, want)
	}
}

// TestFairQueueLosesNothing checks with random operations that no record is lost, duplicated or miscounted.
func TestFairQueueLosesNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	classes := []document.Class{document.ClassService, document.ClassShort, document.ClassMiddle, document.ClassLong}
	q := queue.NewFair(weights(nil))
	held := make(map[core.Key]*ledger.Record)
	for step := range 20_000 {
		switch rng.IntN(3) {
		case 0:
			rec := waiting(fmt.Sprint(step), fmt.Sprint("t", rng.IntN(5)), classes[rng.IntN(4)], time.Duration(rng.IntN(100)), rng.Int64N(100))
			held[rec.Request.Key] = rec
			q.Push(rec)
		case 1:
			if len(held) > 0 {
				keys := slices.SortedFunc(maps.Keys(held), core.Key.Compare)
				key := keys[rng.IntN(len(keys))]
				assert.Assert(t, q.Remove(key) && !q.Remove(key))
				delete(held, key)
			}
		case 2:
			q.Each(time.Duration(rng.IntN(100)), func(rec *ledger.Record) bool {
				assert.Assert(t, held[rec.Request.Key] == rec)
				if rng.IntN(3) == 0 {
					return false
				}
				delete(held, rec.Request.Key)
				return true
			})
		}
		sum := int64(0)
		for _, rec := range held {
			sum += rec.Work.PrefillWork
		}
		got := int64(0)
		for _, c := range classes {
			got += q.Tokens(c)
		}
		assert.Equal(t, q.Len(), len(held))
		assert.Equal(t, got, sum)
	}
}

// floodedQueue holds 20 prompts of one team and one of another, each of 50,000 weighted tokens.
func floodedQueue() *queue.Fair {
	q := queue.NewFair(weights(map[string]int64{"flooding": 1, "small": 1}))
	for i := range 20 {
		q.Push(waiting(fmt.Sprint("f", i), "flooding", document.ClassMiddle, time.Minute, 50_000))
	}
	q.Push(waiting("s", "small", document.ClassMiddle, time.Minute, 50_000))
	return q
}

func TestWorkAheadFollowsFairQueueing(t *testing.T) {
	q := floodedQueue()
	for team, want := range map[string]int64{
		"flooding": 1_050_000, // all of it
		"small":    50_000 + 100_000,
		"new":      50_000 + 50_000,
	} {
		assert.Equal(t, q.Ahead(waiting("x", team, document.ClassMiddle, time.Minute, 50_000)), want, team)
	}
	assert.Equal(t, q.Ahead(waiting("x", "small", document.ClassShort, time.Minute, 1_000)), int64(0), "another class")
}

func TestTeamWithMostOfALongBacklogDominates(t *testing.T) {
	q := floodedQueue()
	assert.Assert(t, q.Dominates(waiting("x", "flooding", document.ClassMiddle, time.Minute, 1)))
	assert.Assert(t, !q.Dominates(waiting("x", "small", document.ClassMiddle, time.Minute, 1)))
	assert.Assert(t, !q.Dominates(waiting("x", "flooding", document.ClassShort, time.Minute, 1)), "another class")
	short := queue.NewFair(weights(nil))
	short.Push(waiting("f", "flooding", document.ClassMiddle, time.Minute, 50_000))
	assert.Assert(t, !short.Dominates(waiting("x", "flooding", document.ClassMiddle, time.Minute, 1)), "a short backlog")
}
