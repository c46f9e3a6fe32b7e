package model_test

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/model"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// seen records the times of a stream's first token and of its end, and its longest inter-token gap.
type seen struct {
	first, ended, gap time.Duration
}

func watch(w *virtual.World, s *seen) model.Listener {
	return model.Listener{
		FirstToken: func() { s.first = w.Now() },
		Gap:        func(d time.Duration) { s.gap = max(s.gap, d) },
		Ended:      func() { s.ended = w.Now() },
	}
}

func near(got, want time.Duration) cmp.Comparison {
	return func() cmp.Result {
		if (got - want).Abs() <= 10*time.Microsecond {
			return cmp.ResultSuccess
		}
		return cmp.ResultFailure(fmt.Sprintf("got %v, want %v", got, want))
	}
}

// The expected times are calculated by hand. 1,024 tokens take two iterations of 512:
//
//	15 ms + 0.2 ms + (512 + 512*256/200,000)/20,000 s = 40.832768 ms
//	15 ms + 0.2 ms + (512 + 512*768/200,000)/20,000 s = 40.898304 ms
//
// and each further token takes 15.2 ms.
func TestOneStreamTakesTheCalculatedTime(t *testing.T) {
	w := virtual.New(nil)
	e := model.New(w, model.Reference(), 1)
	var s seen
	assert.Assert(t, e.Start(model.Spec{Name: "a", PromptTokens: 1024, AnswerTokens: 11}, watch(w, &s)))
	w.Run(time.Minute)
	assert.Assert(t, near(s.first, 81_731_072*time.Nanosecond))
	assert.Assert(t, near(s.ended, 81_731_072*time.Nanosecond+10*15_200*time.Microsecond))
	first, total := model.Reference().IdleTimes(1024, 0, 11)
	assert.Assert(t, near(first, s.first))
	assert.Assert(t, near(total, s.ended))
	assert.Equal(t, e.Load(), model.Load{})
}

// The stream of higher priority takes the whole prefill budget of 512 tokens of an iteration first.
func TestHigherPriorityIsPrefilledFirst(t *testing.T) {
	w := virtual.New(nil)
	e := model.New(w, model.Reference(), 1)
	var long, short seen
	e.Start(model.Spec{Name: "long", PromptTokens: 100_000, AnswerTokens: 2}, watch(w, &long))
	e.Start(model.Spec{Name: "short", Priority: 2, PromptTokens: 1024, AnswerTokens: 2}, watch(w, &short))
	w.Run(time.Minute)
	// The first iteration was already running with 512 tokens of the long prompt; two of the short one follow.
	assert.Assert(t, near(short.first, 40_832_768*time.Nanosecond+81_731_072*time.Nanosecond))
	assert.Assert(t, long.first > short.ended)
}

// At position 150,000 an iteration of 512 tokens takes 15.4 + 25.6*(1+150,000/200,000) = 60.2 ms.
func TestLongPrefillSlowsDecodingOfOthers(t *testing.T) {
	w := virtual.New(nil)
	e := model.New(w, model.Reference(), 1)
	var decoding seen
	e.Start(model.Spec{Name: "decoding", PromptTokens: 10, AnswerTokens: 5_000}, watch(w, &decoding))
	e.Start(model.Spec{Name: "long", PromptTokens: 150_000, AnswerTokens: 2}, model.Listener{})
	w.Run(time.Minute)
	assert.Assert(t, decoding.gap > 60*time.Millisecond && decoding.gap < 60_300*time.Microsecond, "%v", decoding.gap)
}

func TestLowerPriorityIsPreemptedAndRestarts(t *testing.T) {
	w := virtual.New(nil)
	e := model.New(w, model.Reference(), 1)
	var low, high seen
	e.Start(model.Spec{Name: "low", PromptTokens: 300_000, AnswerTokens: 3}, watch(w, &low))
	w.Run(10 * time.Second)
	e.Start(model.Spec{Name: "high", Priority: 1, PromptTokens: 200_000, AnswerTokens: 3}, watch(w, &high))
	w.Run(10 * time.Minute)
	assert.Equal(t, e.Preemptions, 1)
	idle, _ := model.Reference().IdleTimes(300_000, 0, 3)
	assert.Assert(t, low.first > high.ended+idle-time.Second, "the stream of low priority restarts: %v %v", low.first, high.ended)
	assert.Equal(t, e.Load(), model.Load{})
}

func TestSavedStreamContinuesFromItsExport(t *testing.T) {
	w := virtual.New(nil)
	e := model.New(w, model.Reference(), 1)
	var low seen
	e.Start(model.Spec{Name: "low", PromptTokens: 300_000, AnswerTokens: 3}, watch(w, &low))
	w.Run(10 * time.Second)
	var x *model.Export
	assert.Assert(t, e.Save("low", func(got *model.Export) { x = got }))
	w.Run(12 * time.Second)
	assert.Assert(t, x.Tokens() > 50_000)
	e.Start(model.Spec{Name: "high", Priority: 1, PromptTokens: 200_000, AnswerTokens: 3}, model.Listener{})
	other := model.New(w, model.Reference(), 2)
	var moved seen
	assert.Assert(t, other.Import(x, watch(w, &moved)))
	start := w.Now()
	w.Run(10 * time.Minute)
	idle, _ := model.Reference().IdleTimes(300_000, x.Tokens(), 3)
	transfer := time.Duration(float64(x.Tokens()) / 200_000 * float64(time.Second))
	assert.Assert(t, near(moved.first-start, transfer+idle))
	assert.Assert(t, low.ended > 0 && e.Preemptions == 1)
}

func TestCachedPrefixNeedsNoPrefillUntilItIsEvicted(t *testing.T) {
	w := virtual.New(nil)
	params := model.Reference()
	params.EventLossPercent = 0
	e := model.New(w, params, 1)
	var events []model.CacheEvent
	e.OnEvent = func(ev model.CacheEvent) { events = append(events, ev) }
	run := func(spec model.Spec) time.Duration {
		var s seen
		start := w.Now()
		assert.Assert(t, e.Start(spec, watch(w, &s)))
		w.Run(start + 5*time.Minute)
		return s.first - start
	}
	spec := model.Spec{Name: "a", PromptTokens: 20_000, AnswerTokens: 2, Prefix: "p", PrefixTokens: 10_000}
	cold, _ := model.Reference().IdleTimes(20_000, 0, 2)
	warm, _ := model.Reference().IdleTimes(20_000, 10_000, 2)
	assert.Assert(t, near(run(spec), cold))
	assert.Assert(t, near(run(spec), warm))
	run(model.Spec{Name: "b", PromptTokens: 449_000, AnswerTokens: 2})
	assert.Assert(t, near(run(spec), cold))
	assert.DeepEqual(t, events, []model.CacheEvent{{Prefix: "p", Tokens: 10_000}, {Prefix: "p"}, {Prefix: "p", Tokens: 10_000}})
}

func TestCacheEventsAreLostAtTheConfiguredRate(t *testing.T) {
	w := virtual.New(nil)
	params := model.Reference()
	e := model.New(w, params, 3)
	var arrived, stored int
	e.OnEvent = func(model.CacheEvent) { arrived++ }
	for i := range 1000 {
		stored++
		name := fmt.Sprint(i)
		e.Start(model.Spec{Name: name, PromptTokens: 40, AnswerTokens: 1, Prefix: name, PrefixTokens: 20}, model.Listener{})
	}
	w.Run(time.Hour)
	lost := stored - arrived
	assert.Assert(t, lost > 25 && lost < 75, "%d of %d lost", lost, stored)
}

// A group of three has 0.8 of three engines' memory: 1,080,000 tokens.
func TestGroupServesAPromptLargerThanOneEngine(t *testing.T) {
	w := virtual.New(nil)
	p := model.Reference()
	assert.Equal(t, p.GroupSize(449_000, 1_000), 1)
	assert.Equal(t, p.GroupSize(700_000, 1_000), 2)
	assert.Equal(t, p.GroupSize(1_000_000, 1_000), 3)
	var members []*model.Engine
	for i := range 3 {
		members = append(members, model.New(w, p, uint64(i)))
	}
	var s seen
	assert.Assert(t, model.StartGroup(members, model.Spec{Name: "g", PromptTokens: 1_000_000, AnswerTokens: 100}, "", watch(w, &s)))
	// 1,000,000 + 1,000,000^2/400,000 = 3,500,000 weighted tokens at 3*0.8*20,000 a second, and 814 iterations of 15.2 ms.
	want := (72_917 * time.Millisecond) + 814*15_200*time.Microsecond
	w.Run(10 * time.Minute)
	assert.Assert(t, (s.first-want).Abs() < 200*time.Millisecond, "%v, want about %v", s.first, want)
	assert.Assert(t, s.ended > s.first)
	for _, e := range members {
		assert.Equal(t, e.Load(), model.Load{})
	}
}

// Two reservations of 300,000 tokens don't fit together: the second waits until the first is released or expires.
func TestReservationsQueueAndExpire(t *testing.T) {
	w := virtual.New(nil)
	e := model.New(w, model.Reference(), 1)
	reserve := func(name string, renewal bool) (bool, bool) { return e.Reserve(name, 300_000, 15*time.Second, renewal) }
	known, held := reserve("a", false)
	assert.Assert(t, known && held)
	known, held = reserve("b", false)
	assert.Assert(t, known && !held)
	known, _ = reserve("c", true)
	assert.Assert(t, !known, "a renewal must not make a reservation")
	w.Run(10 * time.Second)
	_, held = reserve("b", true)
	assert.Assert(t, !held)
	w.Run(16 * time.Second)
	known, held = reserve("b", true)
	assert.Assert(t, known && held, "the first one has expired")
	assert.DeepEqual(t, e.Reservations(), []string{"b"})
	assert.Assert(t, e.Release("b") && !e.Release("b"))
	assert.Equal(t, e.Load(), model.Load{})
}

func TestGroupRunsOnReservedMemoryThatNobodyPreempts(t *testing.T) {
	w := virtual.New(nil)
	members := []*model.Engine{model.New(w, model.Reference(), 1), model.New(w, model.Reference(), 2)}
	spec := model.Spec{Name: "g", PromptTokens: 600_000, AnswerTokens: 100}
	assert.Assert(t, !model.StartGroup(members, spec, "r", model.Listener{}), "nothing is reserved")
	for _, e := range members {
		_, held := e.Reserve("r", 380_000, time.Hour, false)
		assert.Assert(t, held)
	}
	var s, high seen
	assert.Assert(t, model.StartGroup(members, spec, "r", watch(w, &s)))
	for _, e := range members {
		e.Start(model.Spec{Name: "high", Priority: 2, PromptTokens: 200_000, AnswerTokens: 2}, watch(w, &high))
	}
	w.Run(20 * time.Minute)
	assert.Assert(t, s.ended > 0 && high.first > s.ended && members[0].Preemptions == 0)
	for _, e := range members {
		e.Release("r")
		assert.Equal(t, e.Load(), model.Load{})
	}
}

func TestCancelFreesMemoryAndResumeKeepsTheStream(t *testing.T) {
	w := virtual.New(nil)
	e := model.New(w, model.Reference(), 1)
	var a, b seen
	e.Start(model.Spec{Name: "a", PromptTokens: 1024, AnswerTokens: 1000}, watch(w, &a))
	w.Run(2 * time.Second)
	streamed, ok := e.Resume("a", watch(w, &b))
	assert.Assert(t, ok && streamed > 100)
	w.Run(time.Minute)
	assert.Assert(t, a.ended == 0 && b.ended > 0)
	e.Start(model.Spec{Name: "c", PromptTokens: 1024, AnswerTokens: 1000}, model.Listener{})
	w.Run(w.Now() + time.Second)
	assert.Assert(t, e.Cancel("c"))
	assert.Equal(t, e.Load(), model.Load{})
}

// Streams that start, preempt each other and are canceled never hold more than the engine's memory, and all of it is
// freed at the end.
func TestMemoryNeverExceedsTheEngine(t *testing.T) {
	w := virtual.New(nil)
	e := model.New(w, model.Reference(), 1)
	for i := range 300 {
		w.At(time.Duration(i)*700*time.Millisecond, func() {
			n := int64(i*7919%90_000 + 10)
			spec := model.Spec{Name: fmt.Sprint(i), Priority: i % 3, PromptTokens: n, AnswerTokens: 200}
			spec.Prefix, spec.PrefixTokens = fmt.Sprint("p", i%7), n/2
			e.Start(spec, model.Listener{})
			load := e.Load()
			assert.Assert(t, load.UsedTokens <= 450_000 && load.UsedTokens >= 0, "%+v", load)
			if i%5 == 0 {
				e.Cancel(fmt.Sprint(i - 10))
			}
		})
	}
	w.Run(2 * time.Hour)
	assert.Equal(t, e.Load(), model.Load{})
}
