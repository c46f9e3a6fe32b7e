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

// publishedEngines returns engines with a published speed.
func publishedEngines(n int) []*target.Target {
	list := &hostlist.List{Version: 1}
	for i := range n {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("e%02d", i), Zone: "z", Role: hostlist.RoleEngine, State: hostlist.StateLive,
			Models: []string{"m"}, MemoryTokens: 232_000, Slots: 16,
		})
	}
	tb := target.NewTable()
	tb.Apply(list)
	for _, t := range tb.All() {
		t.GapObjective = 250 * time.Millisecond
		t.Engine = &document.Engine{
			Slots: 16, MemoryTokens: 232_000, StepsPerIteration: 43, ChunkTokens: 2048, StepMs: 1.02, StepPerStreamMs: 0.00226,
			StepPerContextMs: 0.00431, PrefillTokensPerMs: 206, AttentionPairsMs: 0.138,
		}
	}
	return tb.All()
}

func routedPrompt(tokens int64) *ledger.Record {
	rec := &ledger.Record{
		Request: core.Request{
			Model: "m", PromptTokens: tokens, AnswerTokens: 1300, Routed: &core.Routed{GapTarget: 250 * time.Millisecond},
		},
		Work:             core.Work{Class: document.ClassShort},
		FirstTokenTarget: 300 * time.Millisecond,
	}
	if tokens >= 20_000 {
		rec.Work.Class = document.ClassMiddle
		rec.Request.Routed.GapTarget = time.Second
		rec.FirstTokenTarget = 2500 * time.Millisecond
	}
	return rec
}

func place(rec *ledger.Record, engines []*target.Target) route.Placement {
	return route.NewPacked("", rand.New(rand.NewPCG(1, 1))).Place(0, rec, engines)
}

// addStreams adds streams of short prompts that are past their prefill.
func addStreams(t *target.Target, streams int) {
	for range streams {
		d := target.Dispatch{Key: core.Key{ID: fmt.Sprint(t.InFlight())}}
		t.Begin(0, d, target.Job{Work: 100, Memory: 6_000, GapSensitive: true})
		t.Prefilled(0, d)
	}
}

// TestShortPromptsArePacked checks that under light load short streams share few engines and leave others to long prompts.
func TestShortPromptsArePacked(t *testing.T) {
	engines := publishedEngines(4)
	addStreams(engines[2], 5)
	assert.Equal(t, place(routedPrompt(5_000), engines).Target, engines[2])
	addStreams(engines[2], 7)
	assert.Assert(t, place(routedPrompt(5_000), engines).Target != engines[2], "twelve of sixteen slots are enough")
}

// TestShortPromptAvoidsEngineWithLongPrefill checks that a short prompt avoids an engine whose iterations exceed the gap
// objective because of a long prefill.
func TestShortPromptAvoidsEngineWithLongPrefill(t *testing.T) {
	engines := publishedEngines(2)
	addStreams(engines[0], 5)
	addJob(engines[0], target.Job{Work: 206 * 400, LongContext: true})
	assert.Equal(t, place(routedPrompt(5_000), engines).Target, engines[1])
}

// TestShortPromptWaitsRatherThanGoWhereItIsHopeless checks that a short prompt waits when every engine is full or busy
// with an oversized prompt.
func TestShortPromptWaitsRatherThanGoWhereItIsHopeless(t *testing.T) {
	engines := publishedEngines(2)
	addStreams(engines[0], 16)
	addJob(engines[1], target.Job{Work: 206 * 5_000, LongContext: true})
	assert.Assert(t, place(routedPrompt(5_000), engines).Target == nil)
}

// TestLongPromptIsPrefilledOnIdleEngines checks that a long prompt avoids engines with packed short streams.
func TestLongPromptIsPrefilledOnIdleEngines(t *testing.T) {
	engines := publishedEngines(6)
	addStreams(engines[0], 12)
	addStreams(engines[1], 12)
	p := place(routedPrompt(133_000), engines)
	assert.Assert(t, p.Target != engines[0] && p.Target != engines[1])
	for _, h := range p.Helpers {
		assert.Assert(t, h != engines[0] && h != engines[1])
	}
}

// TestLongPromptIsSplitWhereAllEnginesDecode checks that a long prompt in a burst of short ones is split among several engines,
// so that no iteration exceeds the gap objective.
func TestLongPromptIsSplitWhereAllEnginesDecode(t *testing.T) {
	engines := publishedEngines(21)
	for _, e := range engines {
		addStreams(e, 10)
	}
	p := place(routedPrompt(45_000), engines)
	assert.Assert(t, p.Target != nil)
	assert.Assert(t, len(p.Helpers) >= 2, "%d helpers", len(p.Helpers))
}

// TestOversizedPromptWaitsWhileItWouldHarmMoreThanItIsWorth checks that an oversized prompt waits while its delay cost to
// the streams of nearly full engines exceeds the utility of its answer.
func TestOversizedPromptWaitsWhileItWouldHarmMoreThanItIsWorth(t *testing.T) {
	engines := publishedEngines(4)
	for _, e := range engines {
		addStreams(e, 13)
	}
	rec := routedPrompt(200_000)
	rec.Request.AnswerTokens = 100
	assert.Assert(t, place(rec, engines).Target == nil)
}

func TestTargetThatFailedTheRequestIsNotAskedAgain(t *testing.T) {
	engines := publishedEngines(2)
	rec := routedPrompt(5_000)
	rec.Tried = []target.Process{engines[0].Process()}
	assert.Equal(t, place(rec, engines).Target, engines[1])
	rec.Tried = append(rec.Tried, engines[1].Process())
	assert.Assert(t, place(rec, engines).Target == nil)
}

// TestOversizedPromptNamesNoMoreEnginesThanOneRequestMay checks that members and helpers together stay within the 16 engines
// that a request may list, also in a large idle fleet.
func TestOversizedPromptNamesNoMoreEnginesThanOneRequestMay(t *testing.T) {
	engines := publishedEngines(69)
	r := route.NewPacked("", rand.New(rand.NewPCG(1, 1)))
	for _, members := range []int{2, 9, 16} {
		helpers, ok := r.HelpersFor(0, routedPrompt(450_000), engines[:members], engines)
		assert.Assert(t, ok)
		assert.Assert(t, members+len(helpers) <= 16, "%d members and %d helpers", members, len(helpers))
	}
}

// TestManyHostsPackAsFewDo checks that with more hosts than an engine has slots, all hosts still pack short streams onto
// an engine with enough free slots.
func TestManyHostsPackAsFewDo(t *testing.T) {
	engines := publishedEngines(3)
	addStreams(engines[1], 5)
	c := route.Contention{Self: "h00"}
	for i := range 32 {
		c.Live = append(c.Live, fmt.Sprintf("h%02d", i))
	}
	for _, self := range c.Live {
		c.Self = self
		r := route.NewPacked("", rand.New(rand.NewPCG(1, 1)))
		r.SetContention(c)
		assert.Equal(t, r.Place(0, routedPrompt(5_000), engines).Target, engines[1], self)
	}
}

// TestLastSlotsAreSharedOut checks that the shares of hosts that compete for the last slots don't exceed the slots.
func TestLastSlotsAreSharedOut(t *testing.T) {
	live := []string{"a", "b", "c", "d"}
	c := route.Contention{Self: "a", Live: live}
	assert.Equal(t, c.Share("e", 16), int64(4))
	total := int64(0)
	for _, self := range live {
		c := route.Contention{Self: self, Live: live}
		total += c.Share("e", 2)
	}
	assert.Equal(t, total, int64(2), "with fewer slots than hosts, each slot is one host's")
	alone := route.Contention{Self: "a", Live: []string{"a"}}
	assert.Equal(t, alone.Share("e", 16), int64(16))
}

func TestPlainServicesArePickedByFreeSlots(t *testing.T) {
	list := &hostlist.List{Version: 1, Hosts: []hostlist.Host{
		{Address: "s1", Zone: "z", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{"m"}, Slots: 6},
		{Address: "s2", Zone: "z", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{"m"}, Slots: 12},
	}}
	tb := target.NewTable()
	tb.Apply(list)
	addJob(tb.Get("s1"), target.Job{})
	addJob(tb.Get("s2"), target.Job{})
	assert.Equal(t, place(routedPrompt(0), tb.All()).Target, tb.Get("s2"))
}
