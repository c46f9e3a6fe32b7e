package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/control"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

type testClock struct{ start time.Time }

func (c testClock) Now() time.Duration { return time.Since(c.start) }

type discard struct{}

func (discard) Execute(node.Action) {}

// Inputs that are processed together must not mix up who asked: each sender gets the decision on its own request.
func TestSendersOfABatchGetTheirOwnDecisions(t *testing.T) {
	self := core.Home{Address: "10.0.0.1:1", Incarnation: "i"}
	loop := control.NewLoop(node.New(node.Options{Self: self, Peer: "10.0.0.1:2", Records: 10}), testClock{time.Now()})
	const senders = 600
	decisions := make([]node.Decision, senders)
	var waiting sync.WaitGroup
	for i := range senders {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			home := core.Home{Address: fmt.Sprintf("10.0.0.9:%d", i+1), Incarnation: "j"}
			key := core.Key{Team: "press", ID: fmt.Sprint(i)}
			d, err := loop.Ask(t.Context(), node.Submit{Request: core.Request{Key: key, Attempt: 1, Home: home}})
			assert.Check(t, err)
			decisions[i] = d
		}()
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go loop.Run(ctx, discard{})
	waiting.Wait()
	for i, d := range decisions {
		assert.Equal(t, d.Kind, node.Forward)
		assert.Equal(t, d.Home.Address, fmt.Sprintf("10.0.0.9:%d", i+1))
	}
	d, err := loop.Ask(t.Context(), node.Submit{Request: core.Request{Key: core.Key{Team: "press", ID: "own"}, Attempt: 1, Home: self}})
	assert.NilError(t, err)
	assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun, "the host is not ready")
}
