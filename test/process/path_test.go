package process

import (
	"context"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/client"

	"gotest.tools/v3/assert"
)

// newRequest returns a request with a short prompt, a short answer and a budget of 10 s.
func newRequest(id, model string, idempotent bool) client.Request {
	return client.Request{
		ID: id, Model: model, Prompt: []byte("a prompt of some words"),
		PromptTokens: 10, AnswerTokens: 5, Idempotent: idempotent, Budget: 10 * time.Second,
	}
}

func TestEveryHostServes(t *testing.T) {
	c := newCluster(t, 4, 2)
	for i, h := range c.hosts {
		req := newRequest("served-by-"+string(rune('1'+i)), modelName, true)
		req.Via = h.callersAddr
		got, err := c.client().Do(context.Background(), req)
		assert.NilError(t, err)
		assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
		assert.Equal(t, got.Text, "token0 token1 token2 token3 token4 ")
	}
}

func TestDuplicateThroughAnotherHostArrivesOnce(t *testing.T) {
	c := newCluster(t, 4, 1)
	req := newRequest("order-0001", serviceName, false)
	req.Via = c.hosts[0].callersAddr
	first, err := c.client().Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, first.Outcome, api.OutcomeDone, "%+v", first)
	req.Via = c.hosts[2].callersAddr
	req.Home, req.Deadline = first.Home, first.Deadline
	second, err := c.client().Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, second.Outcome, api.OutcomeDone, "%+v", second)
	assert.Equal(t, second.Text, "call desk/order-0001 arrival 1")
}
