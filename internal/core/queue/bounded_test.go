package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/queue"

	"gotest.tools/v3/assert"
)

// offeredBound is more than the offers in vain of one pass to the requests of one service, kind and rank.
const offeredBound = 20

// afterFirstPass returns a queue with n requests of a length for each service, all of which a pass has offered once.
func afterFirstPass(n int, prompt int64, services ...string) *queue.Objectives {
	q := queue.NewObjectives()
	for i := range n {
		for _, service := range services {
			rec := recordWithObjective(fmt.Sprint(service, i), time.Duration(i)*ms, time.Minute, false)
			rec.Request.Model = service
			rec.Request.PromptTokens = prompt
			q.Push(rec)
		}
	}
	q.Each(0, func(*ledger.Record) bool { return false })
	return q
}

// The offers of a pass must not grow with the waiting requests: under a burst each input would cost more than the one before.
func TestOffersOfAPassDoNotGrowWithTheWaitingRequests(t *testing.T) {
	q := afterFirstPass(1_000, 1_000, "a")
	assert.Assert(t, len(orderOf(q, 0, none)) <= offeredBound)
}

// The bound on the offers must not starve a request: each gets its turn over the passes, and a service without room uses up no
// offers of another.
func TestEachRequestGetsItsTurn(t *testing.T) {
	for _, prompt := range []int64{1_000, 50_000} {
		t.Run(fmt.Sprint(prompt), func(t *testing.T) { testTurns(t, prompt) })
	}
}

func testTurns(t *testing.T, prompt int64) {
	const n = 200
	q := afterFirstPass(n, prompt, "a", "b")
	offered := make(map[string]int)
	for range n {
		for _, id := range orderOf(q, 0, none) {
			offered[id]++
		}
	}
	assert.Equal(t, len(offered), 2*n)
	taken := orderOf(q, 0, func(id string) bool { return id[0] == 'b' })
	assert.Equal(t, len(taken)-n, len(orderOf(q, 0, none)), "all of b, as many of a as before")
	assert.Equal(t, q.Len(), n)
}

// A request that has just come is offered at once, however many wait before it: it may fit where they don't.
func TestFreshRequestIsOffered(t *testing.T) {
	for name, each := range map[string]func(*queue.Objectives, func(*ledger.Record) bool){
		"each":  func(q *queue.Objectives, f func(*ledger.Record) bool) { q.Each(0, f) },
		"fresh": func(q *queue.Objectives, f func(*ledger.Record) bool) { q.EachFresh(0, f) },
	} {
		t.Run(name, func(t *testing.T) {
			q := afterFirstPass(1_000, 1_000, "a")
			last := recordWithObjective("last", time.Hour, time.Minute, false)
			last.Request.Model = "a"
			q.Push(last)
			each(q, func(rec *ledger.Record) bool { return rec == last })
			assert.Assert(t, !q.Remove(last.Request.Key), "it was taken")
		})
	}
}

// A queue that keeps its records in order must not lose, repeat or miscount any as they pass their limits and leave.
func TestObjectivesLoseNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	q := queue.NewObjectives()
	waiting := make(map[core.Key]*ledger.Record)
	now := time.Duration(0)
	for i := range 3_000 {
		now += time.Duration(rng.IntN(10)) * ms
		rec := rankedRecord(fmt.Sprint(i), rng.Int64N(3), now, time.Duration(1+rng.IntN(300))*ms)
		rec.Request.Model = fmt.Sprint(rng.IntN(2))
		rec.Request.Routed.Resubmitted = rng.IntN(5) == 0
		q.Push(rec)
		waiting[rec.Request.Key] = rec
		if rng.IntN(3) == 0 {
			key := core.Key{ID: fmt.Sprint(rng.IntN(i + 1))}
			_, waits := waiting[key]
			assert.Equal(t, q.Remove(key), waits)
			delete(waiting, key)
		}
		q.Each(now, func(rec *ledger.Record) bool {
			assert.Assert(t, waiting[rec.Request.Key] == rec, "offered %s", rec.Request.ID)
			take := rng.IntN(20) == 0
			if take {
				delete(waiting, rec.Request.Key)
			}
			return take
		})
		var overdue []string
		for _, rec := range q.Overdue(now) {
			overdue = append(overdue, rec.Request.ID)
		}
		var expected, all []string
		q.All(now, func(rec *ledger.Record) {
			all = append(all, rec.Request.ID)
			if now-rec.WaitingSince > rec.WaitLimit {
				expected = append(expected, rec.Request.ID)
			}
		})
		assert.DeepEqual(t, overdue, expected)
		assert.Equal(t, len(all), len(waiting))
		assert.Equal(t, q.Len(), len(waiting))
		for _, id := range overdue {
			assert.Assert(t, q.Remove(core.Key{ID: id}))
			delete(waiting, core.Key{ID: id})
		}
	}
}
