package queue_test

import (
	"fmt"
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

const ms = time.Millisecond

func rankedRecord(id string, rank int64, admitted, objective time.Duration) *ledger.Record {
	rec := recordWithObjective(id, admitted, objective, false)
	rec.Request.Model = "chat"
	rec.Request.Routed.Rank = rank
	rec.Request.Routed.ByRank = true
	rec.WaitingSince = admitted
	rec.WaitLimit = objective
	return rec
}

// orderOf offers all records of a queue and returns their identifiers in order; take says which are taken.
func orderOf(q queue.Queue, now core.Time, take func(id string) bool) []string {
	var order []string
	q.Each(now, func(rec *ledger.Record) bool {
		order = append(order, rec.Request.ID)
		return take(rec.Request.ID)
	})
	return order
}

func none(string) bool { return false }
func all(string) bool  { return true }

// TestRankPrecedesTimeLeft guards against ranks without effect, and against a rank that puts a request which misses its
// objective in any case before one that can still meet it.
func TestRankPrecedesTimeLeft(t *testing.T) {
	q := queue.NewObjectives()
	q.Push(rankedRecord("urgent-late", 0, 0, 300*ms))
	q.Push(rankedRecord("urgent", 0, 990*ms, 2500*ms))
	q.Push(rankedRecord("ordinary-near", 1, 950*ms, 300*ms))
	q.Push(rankedRecord("ordinary-far", 1, 950*ms, 900*ms))
	q.Push(rankedRecord("last", 7, 950*ms, 300*ms))
	assert.DeepEqual(t, orderOf(q, time.Second, none), []string{"urgent", "ordinary-near", "ordinary-far", "last", "urgent-late"})
}

// TestRoutesRankHasNoEffectWithoutTeamRanks guards against another order of service where no team has a rank: routes have
// had ranks before without any effect.
func TestRoutesRankHasNoEffectWithoutTeamRanks(t *testing.T) {
	q := queue.NewObjectives()
	for _, rec := range []*ledger.Record{
		rankedRecord("far", 0, 990*ms, 2500*ms),
		rankedRecord("near", 9, 950*ms, 300*ms),
	} {
		rec.Request.Routed.ByRank = false
		q.Push(rec)
	}
	assert.DeepEqual(t, orderOf(q, time.Second, none), []string{"near", "far"})
}

// TestEqualRanksKeepTheOrder guards against turns of old requests where no request is more urgent than another.
func TestEqualRanksKeepTheOrder(t *testing.T) {
	q := queue.NewObjectives()
	for i := range 3 {
		q.Push(rankedRecord(fmt.Sprintf("old-%d", i), 5, 0, 300*ms))
		q.Push(rankedRecord(fmt.Sprintf("near-%d", i), 5, 100*ms, 60*ms))
	}
	order := orderOf(q, 120*ms, all)
	assert.DeepEqual(t, order, []string{"near-0", "near-1", "near-2", "old-0", "old-1", "old-2"})
	assert.Equal(t, q.RankIgnored(), uint64(0))
}

// TestOldRequestGoesFirstInTurn guards against starvation: of three dispatches one takes a request that has used most of
// its wait before more urgent ones, and only one, so that rank still counts when all requests are old.
func TestOldRequestGoesFirstInTurn(t *testing.T) {
	q := queue.NewObjectives()
	for i := range 3 {
		q.Push(rankedRecord(fmt.Sprintf("old-%d", i), 5, 0, 300*ms))
		q.Push(rankedRecord(fmt.Sprintf("urgent-%d", i), 0, 100*ms, 300*ms))
	}
	order := orderOf(q, 120*ms, all)
	assert.DeepEqual(t, order, []string{"urgent-0", "urgent-1", "old-0", "urgent-2", "old-1", "old-2"})
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, q.Tokens(document.ClassShort), int64(0))
	assert.Equal(t, q.RankIgnored(), uint64(2), "old-0 and, after urgent-2 and old-1, old-2")
}

// TestTurnsOfOneServiceAreNotUsedUpByAnother guards against a service with free targets whose dispatches count for one
// that is short of targets: its old requests would then take every slot.
func TestTurnsOfOneServiceAreNotUsedUpByAnother(t *testing.T) {
	q := queue.NewObjectives()
	for i := range 4 {
		rec := rankedRecord(fmt.Sprintf("other-%d", i), 0, 110*ms, 300*ms)
		rec.Request.Model = "tiles"
		q.Push(rec)
	}
	q.Push(rankedRecord("old", 5, 0, 300*ms))
	q.Push(rankedRecord("urgent", 0, 115*ms, 300*ms))
	order := orderOf(q, 120*ms, all)
	assert.DeepEqual(t, order, []string{"other-0", "other-1", "other-2", "other-3", "urgent", "old"})
}

// offeredLoad is what one team submits, at random times.
type offeredLoad struct {
	team      string
	rank      int64
	perSecond float64
	objective time.Duration
}

type teamCount struct{ submitted, served, inTime int }

func (c *teamCount) share() float64 { return float64(c.served) / float64(c.submitted) }

// The simulated service: it takes half of simulatedServiceTime to one and a half of it for a request, so its capacity is
// simulatedSlots / simulatedServiceTime = 80 requests a second.
const (
	simulatedSlots       = 8
	simulatedServiceTime = 100 * ms
	simulatedStep        = 2 * ms
	// expiryInterval is the time between two checks for requests that have waited for their limit, as in the node.
	expiryInterval = 50 * ms
)

// simulate runs a service of simulatedSlots for a simulated time and counts by team. It fails if a slot is free while a
// request waits. Requests that have waited for their limit leave.
func simulate(t *testing.T, loads []offeredLoad, length time.Duration) (byTeam map[string]*teamCount, all teamCount) {
	t.Helper()
	q := queue.NewObjectives()
	rng := rand.New(rand.NewPCG(1, 2))
	byTeam = make(map[string]*teamCount)
	for _, l := range loads {
		byTeam[l.team] = &teamCount{}
	}
	var busy []time.Duration // when each busy slot becomes free
	next := make([]float64, len(loads))
	for now := time.Duration(0); now < length; now += simulatedStep {
		busy = slices.DeleteFunc(busy, func(free time.Duration) bool { return free <= now })
		for i, l := range loads {
			for ; next[i] <= now.Seconds(); next[i] += rng.ExpFloat64() / l.perSecond {
				byTeam[l.team].submitted++
				at := time.Duration(next[i] * float64(time.Second))
				rec := rankedRecord(fmt.Sprintf("%s-%d", l.team, at), l.rank, at, l.objective)
				rec.Request.Team = l.team
				q.Push(rec)
			}
		}
		q.Each(now, func(rec *ledger.Record) bool {
			if len(busy) == simulatedSlots {
				return false
			}
			busy = append(busy, now+simulatedServiceTime/2+time.Duration(rng.Int64N(int64(simulatedServiceTime))))
			count := byTeam[rec.Request.Team]
			count.served++
			if now-rec.Timing.Admitted <= rec.FirstTokenTarget/2 {
				count.inTime++
			}
			return true
		})
		assert.Assert(t, len(busy) == simulatedSlots || q.Len() == 0, "a slot is free while a request waits")
		if now%expiryInterval != 0 {
			continue
		}
		for _, rec := range q.Overdue(now) {
			q.Remove(rec.Request.Key)
		}
	}
	for _, c := range byTeam {
		all.submitted += c.submitted
		all.served += c.served
		all.inTime += c.inTime
	}
	return byTeam, all
}

// assertServedEnough checks that a team is served at least a quarter as often as all together.
func assertServedEnough(t *testing.T, team string, c, all *teamCount) {
	t.Helper()
	assert.Assert(t, c.share() >= all.share()/4, "%s: %d of %d served, all: %d of %d",
		team, c.served, c.submitted, all.served, all.submitted)
}

// smallTeams returns 23 teams that together offer half the capacity.
func smallTeams(rank int64) []offeredLoad {
	var out []offeredLoad
	for i := range 23 {
		out = append(out, offeredLoad{fmt.Sprintf("small-%d", i), rank, 40.0 / 23, 300 * ms})
	}
	return out
}

// smallTogether returns the sum of the counts of the small teams.
func smallTogether(byTeam map[string]*teamCount) teamCount {
	sum := teamCount{}
	for team, c := range byTeam {
		if strings.HasPrefix(team, "small-") {
			sum.submitted += c.submitted
			sum.served += c.served
			sum.inTime += c.inTime
		}
	}
	return sum
}

// TestFloodOfUrgentTeamDoesNotStarveOthers: a team of the most urgent rank floods with up to three times the capacity
// beside 23 small ones. Each small one is served at least a quarter as often as all together. The requests that are
// served are in time, since a floor that serves in order of age makes all of them late.
func TestFloodOfUrgentTeamDoesNotStarveOthers(t *testing.T) {
	for _, flood := range []float64{100, 240} {
		t.Run(fmt.Sprint(flood), func(t *testing.T) {
			loads := append(smallTeams(1), offeredLoad{"flood", 0, flood, 300 * ms})
			byTeam, all := simulate(t, loads, 2*time.Minute)
			lowest := 1.0
			for team, c := range byTeam {
				lowest = min(lowest, c.share()/all.share())
				assertServedEnough(t, team, c, &all)
			}
			assert.Assert(t, all.inTime*10 >= all.served*9, "%d of %d in time", all.inTime, all.served)
			t.Logf("served: flood %.2f, all %.2f, least of a team over all %.2f", byTeam["flood"].share(), all.share(), lowest)
		})
	}
}

// TestFloodOfTenTimesTheCapacity is the same with a flood of ten times the capacity. The small teams are counted together,
// since each of them is served only a few times in the simulated minute.
func TestFloodOfTenTimesTheCapacity(t *testing.T) {
	byTeam, all := simulate(t, append(smallTeams(1), offeredLoad{"flood", 0, 800, 300 * ms}), time.Minute)
	small := smallTogether(byTeam)
	assertServedEnough(t, "small", &small, &all)
	t.Logf("served: small over all %.2f", small.share()/all.share())
}

// TestFloodOfLessUrgentTeamDelaysNobody: a team of lower urgency floods with ten times the capacity beside 23 small, more
// urgent ones that need half of it. They are served, and the flood gets the rest.
func TestFloodOfLessUrgentTeamDelaysNobody(t *testing.T) {
	byTeam, all := simulate(t, append(smallTeams(0), offeredLoad{"flood", 1, 800, 300 * ms}), time.Minute)
	small := smallTogether(byTeam)
	assert.Assert(t, small.inTime*100 >= small.submitted*97, "%d of %d in time", small.inTime, small.submitted)
	assert.Assert(t, byTeam["flood"].share() >= all.share()/4)
	t.Logf("served: small %.3f, flood %.3f, all %.3f", small.share(), byTeam["flood"].share(), all.share())
}

// TestThreeRanksUnderOverload: each of three ranks offers the capacity alone, and objectives differ. More urgent ranks are
// served more often, and no team less than a quarter as often as all.
func TestThreeRanksUnderOverload(t *testing.T) {
	byTeam, all := simulate(t, []offeredLoad{
		{"first", 0, 80, 300 * ms}, {"second", 3, 80, 900 * ms}, {"third", 9, 60, 300 * ms}, {"third-patient", 9, 20, 2500 * ms},
	}, time.Minute)
	for team, c := range byTeam {
		assertServedEnough(t, team, c, &all)
		t.Logf("%s %.2f", team, c.share())
	}
	assert.Assert(t, byTeam["first"].share() > byTeam["second"].share())
	assert.Assert(t, byTeam["second"].share() > byTeam["third"].share())
}
