package node

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/target"
)

// fullMemory is the memory of each stream with which the engines of loadedNode have room for no other prompt.
const fullMemory = 13_500

// mixedPrompts are the prompt lengths of waiting requests: short ones, long ones and some for several engines.
var mixedPrompts = []int64{1_000, 50_000, 2_000, 120_000, 1_500, 30_000, 500, 3_000, 25_000, 400_000}

// waitingNode is a Node with full engines and requests that wait for them.
type waitingNode struct {
	*Node
	submitted int
	sequence  uint64
	digests   [2][]byte
}

func newWaitingNode(tb testing.TB, engines, waiting int) *waitingNode {
	tb.Helper()
	w := &waitingNode{Node: loadedNode(tb, engines, waiting+10, fullMemory), sequence: 1}
	list := spilloverList(engines)
	w.digests = [2][]byte{placedDigest(list, 0, fullMemory), placedDigest(list, 0, fullMemory-10)}
	w.Step(w.now+settleTime, Tick{})
	w.Step(w.now+longSettleTime, Tick{})
	if !w.ready || w.now < w.pacing.ready+longSettleTime {
		tb.Fatal("long prompts are not placed yet")
	}
	for range waiting {
		w.enqueue(w.submitOne(tb))
	}
	if w.queue.Len() != waiting {
		tb.Fatalf("%d requests wait", w.queue.Len())
	}
	w.Step(w.now+time.Millisecond, Tick{})
	w.Step(w.now, Tick{})
	if w.queue.Len() != waiting {
		tb.Fatalf("%d requests wait with full engines", w.queue.Len())
	}
	return w
}

// submitOne submits a request and returns its record, with a body that has arrived.
func (w *waitingNode) submitOne(tb testing.TB) *ledger.Record {
	tb.Helper()
	key := core.Key{Team: "", ID: fmt.Sprint(w.submitted)}
	prompt := mixedPrompts[w.submitted%len(mixedPrompts)]
	w.submitted++
	w.Step(w.now, Submit{Request: core.Request{
		Key: key, Attempt: 1, PromptTokens: prompt, AnswerTokens: 100, BodyBytes: 1, Routed: &core.Routed{Authority: "a.example", Path: "/"},
	}})
	rec := w.active[key]
	if rec == nil {
		tb.Fatalf("not admitted: %+v", w.actions)
	}
	w.ledger.MarkQueued(rec)
	return rec
}

// arrive submits a request with its body, and returns its record.
func (w *waitingNode) arrive(tb testing.TB) *ledger.Record {
	tb.Helper()
	rec := w.submitOne(tb)
	rec.State = ledger.Receiving
	w.Step(w.now, BodyEnded{Key: rec.Request.Key, Attempt: 1})
	return rec
}

func (w *waitingNode) leave(rec *ledger.Record) { w.Step(w.now, CallerLeft{Key: rec.Request.Key}) }

// datagram receives a digest of a host: its streams hold less memory than before at every other call, but leave no room.
func (w *waitingNode) datagram() {
	w.sequence++
	from := "10.0.0.2:2"
	w.Step(w.now, LoadsReceived{From: from, Bundle: loadshare.Bundle{Digests: []loadshare.Digest{{
		Peer: from, Incarnation: "i", Sequence: w.sequence, Loads: w.digests[w.sequence%2], Freshness: loadshare.Freshness{Age: -1},
	}}}})
}

// beginAtFull dispatches a waiting request to an engine that has no room, as hosts do that learn of each other's dispatches late.
func (w *waitingNode) beginAtFull(rec *ledger.Record) DispatchEnded {
	w.queue.Remove(rec.Request.Key)
	t := w.targets.All()[0]
	start := w.begin(rec, t, target.Job{Memory: fullMemory})
	w.pacing.lastLong = never // the waiting long prompts are not paced
	return DispatchEnded{Key: rec.Request.Key, Dispatch: start.Dispatch, Target: t.Address, Ending: EndedDone}
}

// BenchmarkInput measures one input at a host with full engines: a request that arrives with its body and whose caller leaves,
// the end of a dispatch, a datagram with the load of a host, and a tick.
func BenchmarkInput(b *testing.B) {
	for _, engines := range []int{21, 177, 1_000} {
		for _, waiting := range []int{10, 100, 1_000, 5_000} {
			b.Run(fmt.Sprintf("%d-engines/%d-waiting", engines, waiting), func(b *testing.B) {
				w := newWaitingNode(b, engines, waiting)
				b.Run("arrival", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						w.leave(w.arrive(b))
					}
				})
				b.Run("end", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						b.StopTimer()
						end := w.beginAtFull(w.submitOne(b))
						b.StartTimer()
						w.Step(w.now, end)
					}
				})
				b.Run("datagram", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						w.datagram()
					}
				})
				b.Run("tick", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						w.Step(w.now, Tick{})
					}
				})
			})
		}
	}
}
