package process

import (
	"context"
	"net/http"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/client"
	"carobshunt/internal/settings"

	"gotest.tools/v3/assert"
)

func TestRestartedHomeAnswersUnknown(t *testing.T) {
	c := newCluster(t, 3, 1)
	req := newRequest("order-0002", serviceName, false)
	req.Via = c.hosts[0].callersAddr
	first, err := c.client().Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, first.Outcome, api.OutcomeDone, "%+v", first)

	c.hosts[0].kill()
	c.hosts[0].start()
	c.waitReady()
	req.Home, req.Deadline = first.Home, first.Deadline
	for _, via := range c.hosts {
		req.Via = via.callersAddr
		again, err := c.client().Do(context.Background(), req)
		assert.NilError(t, err)
		assert.Equal(t, again.Outcome, api.OutcomeUnknown, "%+v", again)
		assert.Equal(t, again.Code, api.CodeHomeGone, "%+v", again)
	}
}

func TestHomePausedPastBudgetRunsNothing(t *testing.T) {
	c := newCluster(t, 2, 1)
	home := c.hosts[0]
	req := newRequest("order-0003", serviceName, false)
	req.Via = home.callersAddr
	req.Budget = 500 * time.Millisecond
	caller := c.client()
	_, err := caller.Lookup(context.Background())
	assert.NilError(t, err)

	home.pause()
	got, err := caller.Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeNotRun, "%+v", got)
	home.resume()
	home.waitFor(func(s api.Status) bool { return s.Ready })
	assert.Equal(t, c.service.Arrived(teamName, req.ID), 0)
}

func TestPeerIsNotAliveWhileCutOff(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.hosts[0].cutFrom(c.hosts[1])
	peerAlive := func(want bool) func(api.Status) bool {
		return func(s api.Status) bool { return len(s.Peers) == 1 && s.Peers[0].Alive == want }
	}
	c.hosts[0].waitFor(peerAlive(false))
	c.hosts[0].peerProxy.Restore(c.hosts[1].ip)
	c.hosts[0].waitFor(peerAlive(true))
}

func TestPlannedStopFinishesRunningRequests(t *testing.T) {
	c := newCluster(t, 2, 1)
	req := newRequest("draft-0001", modelName, true)
	req.Via = c.hosts[0].callersAddr
	req.AnswerTokens = 1000
	outcome := make(chan api.Outcome, 1)
	go func() {
		got, _ := c.client().Do(context.Background(), req)
		outcome <- got.Outcome
	}()
	c.hosts[0].waitFor(func(s api.Status) bool { return s.Requests.Running == 1 })
	c.hosts[0].terminate()
	assert.Equal(t, <-outcome, api.OutcomeDone)
	assert.NilError(t, c.hosts[0].awaitEnd())
}

// TestPlannedStopTellsTheTruthBeforeTheKill guards against a call that may run once and still runs when the process of its home is
// killed: its caller would get no answer, and a host that ends without one looks like a host that was lost.
func TestPlannedStopTellsTheTruthBeforeTheKill(t *testing.T) {
	goOn := make(chan struct{})
	c, service := newScriptedCluster(t, 2, func(http.ResponseWriter, int) bool {
		<-goOn
		return false
	})
	defer close(goOn)
	h := c.hosts[0]
	c.adjustSettings = func(_ *host, s *settings.Settings) { s.StopGraceSeconds = 2 }
	h.kill()
	h.start()
	c.waitReady()
	req := newRequest("order-0003", scriptedName, false)
	req.Via, req.Budget = h.callersAddr, time.Minute
	outcome := make(chan client.Result, 1)
	go func() {
		got, _ := c.client().Do(context.Background(), req)
		outcome <- got
	}()
	<-service.arrived
	h.terminate()
	got := <-outcome
	assert.Equal(t, got.Outcome, api.OutcomeUnknown, "%+v", got)
	assert.Equal(t, got.Code, api.CodeDraining, "%+v", got)
	assert.NilError(t, h.awaitEnd())
	assert.Equal(t, service.count(), 1)
}
