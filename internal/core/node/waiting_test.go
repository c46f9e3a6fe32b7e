package node

import (
	"fmt"
	"testing"

	"carobshunt/internal/core"
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

// A bound on the work for one input must not keep any waiting request from being looked at: each is tried again, whatever waits before
// it.
func TestEachWaitingRequestIsLookedAt(t *testing.T) {
	w := newWaitingNode(t, 21, 1_000)
	unseen := func() (out map[string]int) {
		out = make(map[string]int)
		w.queue.All(w.now, func(rec *ledger.Record) {
			if rec.Obstacle == core.ObstacleNone {
				out[fmt.Sprint(rec.Request.PromptTokens)]++
			}
		})
		return out
	}
	w.queue.All(w.now, func(rec *ledger.Record) { rec.Obstacle = core.ObstacleNone })
	for range 500 {
		w.Step(w.now, Tick{})
	}
	assert.DeepEqual(t, unseen(), map[string]int{})
}

// Requests that have found no place must not be tried again before something that they wait for has changed.
func TestOnlyWhatChangedIsPlaced(t *testing.T) {
	w := newWaitingNode(t, 21, 10)
	tried := func(input func()) (n int) {
		w.Step(w.now, Tick{})
		w.queue.All(w.now, func(rec *ledger.Record) { rec.Obstacle = core.ObstacleNone })
		input()
		w.queue.All(w.now, func(rec *ledger.Record) {
			if rec.Obstacle != core.ObstacleNone {
				n++
			}
		})
		return n
	}
	arrived := []*ledger.Record{}
	assert.Equal(t, tried(func() { arrived = append(arrived, w.arrive(t)) }), 1, "only the one that has come")
	w.leave(arrived[0])
	digest := func(memory int64) func() {
		return func() {
			w.digests = [2][]byte{placedDigest(spilloverList(21), 0, memory), placedDigest(spilloverList(21), 0, memory)}
			w.datagram()
		}
	}
	tried(digest(fullMemory))
	assert.Equal(t, tried(digest(fullMemory)), 0, "the load is the same")
	assert.Equal(t, tried(digest(fullMemory+1)), 0, "the load has risen")
	assert.Equal(t, tried(digest(fullMemory)), 10, "the load has fallen")
	later := w.now + passInterval
	assert.Equal(t, tried(func() { w.Step(later, BodyEnded{}) }), 0, "an input without effect")
	assert.Equal(t, tried(func() {
		w.Step(later+passInterval, Tick{})
	}), 10, "time has passed")
}
