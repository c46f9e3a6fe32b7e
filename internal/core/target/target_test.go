package target_test

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

var speed = &document.Engine{
	Slots: 16, MemoryTokens: 232_000, StepsPerIteration: 43, ChunkTokens: 2048, StepMs: 1.02, PrefillTokensPerMs: 206, AttentionPairsMs: 0.138,
}

func listOf(version uint64, hosts ...hostlist.Host) *hostlist.List {
	return &hostlist.List{Version: version, Hosts: hosts}
}

func engine(address, instance string) hostlist.Host {
	return hostlist.Host{
		Address: address, Zone: "a", Role: hostlist.RoleEngine, State: hostlist.StateLive, Models: []string{"m"}, Instance: instance,
	}
}

func dispatchOf(id string) target.Dispatch {
	return target.Dispatch{Key: core.Key{ID: id}, Number: 1}
}

// TestPartThatMustHaveBeenReadIsNoPendingWork: a prefill helper sends no first token of its own, so its work is removed
// from the pending work when it must be finished by the engine's published speed.
func TestPartThatMustHaveBeenReadIsNoPendingWork(t *testing.T) {
	tb := target.NewTable()
	tb.Apply(listOf(1, engine("e1", "i1")))
	e := tb.Get("e1")
	e.Engine = speed
	e.Begin(0, dispatchOf("a"), target.Job{Work: 206_000, PrefillOnly: true}) // a second of prefill
	tb.ExpirePending(1500 * time.Millisecond)
	assert.Equal(t, e.PendingTokens(), int64(206_000))
	tb.ExpirePending(1750 * time.Millisecond)
	assert.Equal(t, e.PendingTokens(), int64(0))
	e.End(dispatchOf("a"))
	assert.Equal(t, e.Total(), target.Load{}, "nothing is subtracted twice")
}

func TestTargetIsUnresponsiveWhenTwoRequestsAreOverdue(t *testing.T) {
	tb := target.NewTable()
	tb.Apply(listOf(1, engine("e1", "i1")))
	e := tb.Get("e1")
	e.Engine = speed
	e.Begin(0, dispatchOf("a"), target.Job{})
	e.Prefilled(0, dispatchOf("a"))
	assert.Assert(t, !e.Unresponsive(10*time.Second, 0), "one request may be slow for its own reasons")
	e.Begin(0, dispatchOf("b"), target.Job{})
	e.Prefilled(0, dispatchOf("b"))
	assert.Assert(t, !e.Unresponsive(1700*time.Millisecond, 0))
	assert.Assert(t, e.Unresponsive(1800*time.Millisecond, 0))
	e.MarkSeen(1790 * time.Millisecond)
	assert.Assert(t, !e.Unresponsive(1800*time.Millisecond, 0))
}

func TestPlainServiceThatDoesNotAnswerIsUnresponsive(t *testing.T) {
	tb := target.NewTable()
	tb.Apply(listOf(1, engine("s1", "i1")))
	s := tb.Get("s1")
	s.Begin(0, dispatchOf("a"), target.Job{})
	s.Begin(0, dispatchOf("b"), target.Job{})
	assert.Assert(t, !s.Unresponsive(490*time.Millisecond, 0))
	assert.Assert(t, s.Unresponsive(500*time.Millisecond, 0))
}

// TestEntryThatLapsedMeanwhileIsWaitedFor: a target whose entry expired in an outage of the platform serves on until its
// entry has had time to be written again.
func TestEntryThatLapsedMeanwhileIsWaitedFor(t *testing.T) {
	tb := target.NewTable()
	tb.Apply(listOf(1, engine("e1", "i1"), engine("e2", "i2")))
	assert.Assert(t, tb.ApplyWithGrace(0, listOf(2, engine("e1", "i1")), 5*time.Second))
	tb.DropGone(4900 * time.Millisecond)
	assert.Assert(t, tb.Get("e2").Eligible(0), "its entry may be written again until then")
	assert.Assert(t, tb.ApplyWithGrace(0, listOf(3, engine("e1", "i1"), engine("e2", "i2")), 5*time.Second))
	tb.DropGone(6 * time.Second)
	assert.Assert(t, tb.Get("e2").Eligible(0), "its entry was written again")
	assert.Assert(t, tb.ApplyWithGrace(0, listOf(4, engine("e1", "i1")), 0))
	tb.DropGone(6 * time.Second)
	assert.Assert(t, tb.Get("e2") == nil, "without a grace period it is removed at once")
}

func TestAnotherTargetAtTheAddressStartsAnew(t *testing.T) {
	tb := target.NewTable()
	tb.Apply(listOf(1, engine("e1", "i1")))
	old := tb.Get("e1")
	old.Begin(0, dispatchOf("a"), target.Job{Work: 100})
	old.Failed(0)
	assert.Assert(t, !old.Eligible(0))
	tb.Apply(listOf(2, engine("e1", "i2")))
	e := tb.Get("e1")
	assert.Assert(t, e.Eligible(0))
	assert.Equal(t, e.Total(), target.Load{})
	e.End(dispatchOf("a"))
	assert.Equal(t, e.Total(), target.Load{}, "the end of the former target's dispatch changes nothing")
	again := engine("e1", "i2")
	again.Start = 7
	tb.Apply(listOf(3, again))
	assert.Assert(t, tb.Get("e1") != e, "a new start of the same instance")
}

func TestDigestCarriesEveryField(t *testing.T) {
	a, b := target.NewTable(), target.NewTable()
	a.Apply(listOf(1, engine("e1", "i1"), engine("e2", "i2")))
	b.Apply(listOf(1, engine("e1", "i1"), engine("e2", "i2")))
	a.Get("e1").Begin(0, dispatchOf("a"), target.Job{Priority: 2, Work: 5000, Memory: 6000, GapSensitive: true})
	a.Get("e1").Begin(0, dispatchOf("b"), target.Job{Work: 90_000, Memory: 100_000, LongContext: true})
	a.Get("e2").Begin(0, dispatchOf("c"), target.Job{Work: 7, PrefillOnly: true})
	digest := a.Digest()
	b.ApplyDigest(0, "p", digest)
	for _, address := range []string{"e1", "e2"} {
		assert.Equal(t, b.Get(address).Total(), a.Get(address).Total())
	}
	for cut := range digest {
		b.ApplyDigest(0, "p", digest[:cut])
	}
	b.ApplyDigest(0, "p", nil)
	assert.Equal(t, b.Get("e1").Total(), target.Load{})
}

// A host may dispatch before it knows the engines' published speed. From its publication on, such a dispatch has as much
// time as one that begins then.
func TestSpeedPublishedAfterTheDispatchMakesNothingOverdueAtOnce(t *testing.T) {
	tb := target.NewTable()
	tb.Apply(listOf(1, engine("e1", "i1")))
	e := tb.Get("e1")
	const began = 10 * time.Second
	e.Begin(began, dispatchOf("a"), target.Job{Work: 206_000})
	e.Begin(began, dispatchOf("b"), target.Job{Work: 206_000})
	e.Engine = speed
	assert.Assert(t, !e.Unresponsive(began+time.Millisecond, 0))
	assert.Assert(t, e.Unresponsive(began+6*time.Second, 0), "two seconds of prefill with their margins have passed")
	tb.ExpirePending(began + 6*time.Second)
	assert.Equal(t, e.PendingTokens(), int64(0), "the prefill must be done")
}
