package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// fleet returns a table and its engines e00, e01, ... with the given lanes.
func fleet(lanes ...target.Lane) (*target.Table, []*target.Target) {
	list := &hostlist.List{Version: 1}
	for i := range lanes {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("e%02d", i), Zone: "z", Role: hostlist.RoleEngine, State: hostlist.StateLive,
			Models: []string{"m"}, MemoryTokens: 450_000,
		})
	}
	table := target.NewTable()
	table.Apply(list)
	for i, t := range table.All() {
		t.Lane = lanes[i]
	}
	return table, table.All()
}

func request(class document.Class, prompt, answer int64) *ledger.Record {
	return &ledger.Record{
		Request:        core.Request{Model: "m", PromptTokens: prompt, AnswerTokens: answer, Deadline: 100 * time.Second},
		Work:           core.Work{Class: class, AnswerTokens: answer},
		SlowdownWeight: 0.25, FirstTokenTarget: 750 * time.Millisecond,
	}
}

func addJob(t *target.Target, job target.Job) {
	t.Begin(0, target.Dispatch{Key: core.Key{ID: fmt.Sprint(t.InFlight())}}, job)
}

func pick(rec *ledger.Record, now time.Duration, engines []*target.Target) string {
	r := route.NewPredicted(rand.New(rand.NewPCG(1, 1)))
	if t := r.Pick(now, rec, engines); t != nil {
		return t.Address
	}
	return ""
}

const (
	short  = target.LaneShort
	middle = target.LaneMiddle
	long   = target.LaneLong
)

func TestPredictedPick(t *testing.T) {
	for name, tc := range map[string]struct {
		lanes []target.Lane
		jobs  map[int]target.Job
		rec   *ledger.Record
		now   time.Duration
		want  string
	}{
		"short goes to its lane": {
			lanes: []target.Lane{long, middle, short}, rec: request(document.ClassShort, 2_000, 100), want: "e02",
		},
		"short goes where least is ahead": {
			lanes: []target.Lane{short, short}, jobs: map[int]target.Job{0: {Priority: 2, Work: 4_000}},
			rec: request(document.ClassShort, 2_000, 100), want: "e01",
		},
		"work of lower priority is not ahead of short": {
			lanes: []target.Lane{short, middle}, jobs: map[int]target.Job{0: {Priority: 1, Work: 50_000}},
			rec: request(document.ClassShort, 2_000, 100), want: "e00",
		},
		"short leaves a full lane": {
			lanes: []target.Lane{short, middle}, jobs: map[int]target.Job{0: {Priority: 2, Work: 9_000}},
			rec: request(document.ClassShort, 2_000, 100), want: "e01",
		},
		"middle waits for its lane": {
			lanes: []target.Lane{short, middle}, jobs: map[int]target.Job{1: {Priority: 1, Work: 30_000}},
			rec: request(document.ClassMiddle, 20_000, 100), want: "",
		},
		"middle that has waited takes the long lane": {
			lanes: []target.Lane{short, middle, long}, jobs: map[int]target.Job{1: {Priority: 1, Work: 30_000}},
			rec: request(document.ClassMiddle, 20_000, 100), now: 11 * time.Second, want: "e02",
		},
		"middle that has waited half of its budget takes any": {
			lanes: []target.Lane{short, middle}, jobs: map[int]target.Job{1: {Priority: 1, Work: 30_000}},
			rec: request(document.ClassMiddle, 20_000, 100), now: 51 * time.Second, want: "e00",
		},
		"long keeps to its lane": {
			lanes: []target.Lane{short, middle}, rec: request(document.ClassLong, 200_000, 100), now: 90 * time.Second, want: "",
		},
		"one long prefill on an engine": {
			lanes: []target.Lane{long, long}, jobs: map[int]target.Job{0: {Work: 1, LongContext: true}},
			rec: request(document.ClassLong, 200_000, 100), want: "e01",
		},
		"memory that is held is not given twice": {
			lanes: []target.Lane{long, long}, jobs: map[int]target.Job{0: {Memory: 300_000}},
			rec: request(document.ClassLong, 200_000, 100), want: "e01",
		},
	} {
		_, engines := fleet(tc.lanes...)
		for i, job := range tc.jobs {
			addJob(engines[i], job)
		}
		assert.Equal(t, pick(tc.rec, tc.now, engines), tc.want, name)
	}
}

func TestCachedPrefixAttractsRequest(t *testing.T) {
	_, engines := fleet(middle, middle, middle)
	rec := request(document.ClassMiddle, 60_000, 100)
	rec.Request.Prefix, rec.Request.PrefixTokens = "p", 30_000
	engines[2].ApplyCacheEvent(target.CacheEvent{Prefix: "p", Tokens: 30_000})
	assert.Equal(t, pick(rec, 0, engines), "e02")
	assert.Equal(t, route.UncachedWork(rec, engines[2]), target.PrefillWork(30_000, 60_000))
	engines[2].ApplyCacheEvent(target.CacheEvent{Prefix: "p"})
	engines[1].ApplyCacheEvent(target.CacheEvent{Prefix: "p", Tokens: 20_000})
	assert.Equal(t, pick(rec, 0, engines), "e01")
}

func TestNearTiesAreBrokenAtRandom(t *testing.T) {
	_, engines := fleet(short, short, short, short)
	r := route.NewPredicted(rand.New(rand.NewPCG(1, 1)))
	seen := make(map[string]int)
	for range 400 {
		seen[r.Pick(0, request(document.ClassShort, 2_000, 100), engines).Address]++
	}
	for _, e := range engines {
		assert.Assert(t, seen[e.Address] > 60, "%v", seen)
	}
}

func TestLaneSizes(t *testing.T) {
	for name, tc := range map[string]struct {
		engines int
		demand  route.Demand
		protect int64
		want    [target.Lanes]int
	}{
		"no demand yet":               {20, route.Demand{}, 25, [target.Lanes]int{6, 8, 6}},
		"reference mix":               {20, route.Demand{15_000, 49_000, 196_000}, 25, [target.Lanes]int{4, 6, 10}},
		"more short work":             {20, route.Demand{30_000, 49_000, 196_000}, 25, [target.Lanes]int{6, 5, 9}},
		"more protection, more short": {20, route.Demand{30_000, 49_000, 196_000}, 40, [target.Lanes]int{7, 5, 8}},
		"long work is bounded":        {20, route.Demand{1_000, 1_000, 1_000_000}, 40, [target.Lanes]int{1, 7, 12}},
		"each lane has one":           {3, route.Demand{0, 0, 100}, 0, [target.Lanes]int{1, 1, 1}},
		"too few for lanes":           {2, route.Demand{1, 1, 1}, 25, [target.Lanes]int{0, 0, 2}},
	} {
		assert.Equal(t, route.LaneSizes(tc.engines, tc.demand, tc.protect), tc.want, name)
	}
}

func TestMembersComeFromOneBlockWithoutLongPrefills(t *testing.T) {
	lanes := []target.Lane{long, long, long, long, long, long, long}
	_, engines := fleet(lanes...)
	assert.Equal(t, route.AssignBlocks(engines, 1), 3)
	assert.Equal(t, engines[0].Block, 0, "what is left over is no block")
	addJob(engines[5], target.Job{LongContext: true})
	members, blocks := route.PickMembers(engines, 3, 100_000, 0)
	assert.Assert(t, blocks)
	assert.Equal(t, len(members), 3)
	for _, m := range members {
		assert.Equal(t, m.Block, 2)
	}
	pair, _ := route.PickMembers(engines, 2, 100_000, 0)
	assert.Equal(t, pair[0].Block, 1, "two fit into the broken block")
	addJob(engines[1], target.Job{Memory: 400_000})
	members, _ = route.PickMembers(engines, 3, 100_000, 0)
	assert.Equal(t, len(members), 0, "memory is held")
}

func TestSingleEngineRequestsLeaveWholeBlocksToWaitingGroups(t *testing.T) {
	_, engines := fleet(long, long, long)
	route.AssignBlocks(engines, 1)
	r := route.NewPredicted(rand.New(rand.NewPCG(1, 1)))
	rec := request(document.ClassLong, 200_000, 100)
	r.SetGroupsWaiting(true)
	assert.Assert(t, r.Pick(0, rec, engines) == nil)
	addJob(engines[0], target.Job{LongContext: true})
	assert.Assert(t, r.Pick(0, rec, engines) == nil, "two may still serve a group")
	addJob(engines[1], target.Job{LongContext: true})
	assert.Equal(t, r.Pick(0, rec, engines).Address, "e02")
	r.SetGroupsWaiting(false)
	assert.Assert(t, r.Pick(0, rec, engines) != nil)
}

// BenchmarkPick measures one pick in a cell of 64 targets; a pick is linear in the targets.
func BenchmarkPick(b *testing.B) {
	lanes := make([]target.Lane, 64)
	_, engines := fleet(lanes...)
	r := route.NewPredicted(rand.New(rand.NewPCG(1, 1)))
	rec := request(document.ClassShort, 2_000, 100)
	for b.Loop() {
		r.Pick(0, rec, engines)
	}
}
