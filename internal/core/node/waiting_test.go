package node

import (
	"fmt"
	"testing"

	"carobshunt/internal/core/ledger"

	"gotest.tools/v3/assert"
)

// The work for one input must not grow with the number of waiting requests: under a burst the control goroutine would fall
// behind, and with it all that tells it of callers that leave and of targets that end.
func TestWorkForAnInputDoesNotGrowWithTheWaitingRequests(t *testing.T) {
	const engines, few, many = 48, 200, 2_000
	inputs := map[string]func(*waitingNode){
		"arrival":  func(w *waitingNode) { w.leave(w.arrive(t)) },
		"end":      func(w *waitingNode) { w.Step(w.now, w.beginAtFull(w.submitOne(t))) },
		"datagram": func(w *waitingNode) { w.datagram() },
		"tick":     func(w *waitingNode) { w.Step(w.now, Tick{}) },
	}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			work := func(waiting int) uint64 {
				w := newWaitingNode(t, engines, waiting)
				before := w.router.Ratings()
				input(w)
				return w.router.Ratings() - before
			}
			assert.Equal(t, work(many), work(few), "ratings of engines for one input")
		})
	}
}

// A bound on the work for one input must not keep any waiting request from being looked at: each is tried again within a few
// ticks, whatever waits before it.
func TestEachWaitingRequestIsLookedAt(t *testing.T) {
	w := newWaitingNode(t, 21, 1_000)
	unseen := func() (out map[string]int) {
		out = make(map[string]int)
		w.queue.Each(w.now, func(rec *ledger.Record) bool {
			if rec.Obstacle == 0 {
				out[fmt.Sprint(rec.Request.PromptTokens)]++
			}
			return false
		})
		return out
	}
	for range 50 {
		w.Step(w.now, Tick{})
	}
	assert.DeepEqual(t, unseen(), map[string]int{})
}
