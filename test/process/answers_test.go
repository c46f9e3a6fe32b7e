package process

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/client"

	"carobshunt/internal/testpipe"

	"gotest.tools/v3/assert"
)

// streamedTokens is the answer length, in tokens, that the tests' engines take about 0.8 s to stream.
const streamedTokens = 1000

// streamedText returns the text of an answer of streamedTokens tokens.
func streamedText() string {
	var text strings.Builder
	for i := range streamedTokens {
		fmt.Fprintf(&text, "token%d ", i)
	}
	return text.String()
}

// doInBackground submits a request in a goroutine and returns a channel that receives the result.
func doInBackground(c *cluster, req client.Request) <-chan client.Result {
	got := make(chan client.Result, 1)
	go func() {
		r, _ := c.client().Do(context.Background(), req)
		got <- r
	}()
	return got
}

// waitStreaming waits until the host has a running request, and then 200 ms so that a part of the answer is streamed.
func waitStreaming(h *host) {
	h.waitFor(func(s api.Status) bool { return s.Requests.Running == 1 })
	time.Sleep(200 * time.Millisecond)
}

// The connection between caller and host breaks in the middle of an answer, and is either restored or stays cut.
func TestBrokenAnswerIsResumedWithoutAnotherSubmit(t *testing.T) {
	for _, restored := range []bool{true, false} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("restored %v idempotent %v", restored, idempotent), func(t *testing.T) {
				c := newCluster(t, 2, 1)
				callerProxy := testpipe.New(t, c.ip(200)+callersPort, c.hosts[0].callersAddr)
				lookup, err := c.client().Lookup(context.Background())
				assert.NilError(t, err)
				req := newRequest("draft-2001", modelName, idempotent)
				req.AnswerTokens = streamedTokens
				req.Via = c.ip(200) + callersPort
				for _, h := range lookup.Hosts {
					if h.Address == c.hosts[0].callersAddr {
						req.Home = h.Home()
						req.Deadline = time.Duration(h.ClockMs)*time.Millisecond + req.Budget
					}
				}
				got := doInBackground(c, req)
				waitStreaming(c.hosts[0])
				callerProxy.Cut("")
				if restored {
					callerProxy.Restore("")
				}
				result := <-got
				assert.Equal(t, result.Outcome, api.OutcomeDone, "%+v", result)
				assert.Equal(t, result.Text, streamedText())
				assert.Equal(t, result.Attempts, 1)
			})
		}
	}
}

// Two callers read the answer to one request when the connections to its engine break.
func TestAnswerThatStartsOverAtAnotherTargetIsWholeForEveryReader(t *testing.T) {
	c := newCluster(t, 1, 2)
	req := newRequest("draft-2002", modelName, true)
	req.AnswerTokens = streamedTokens
	first := doInBackground(c, req)
	waitStreaming(c.hosts[0])
	second := doInBackground(c, req)
	time.Sleep(100 * time.Millisecond)
	s, err := c.hosts[0].status()
	assert.NilError(t, err)
	for i := range c.engines {
		for _, target := range s.Targets {
			if target.InFlight > 0 && target.Address == c.list.Hosts[i].Address {
				c.engineProxies[i].Cut("")
			}
		}
	}
	for _, got := range []<-chan client.Result{first, second} {
		result := <-got
		assert.Equal(t, result.Outcome, api.OutcomeDone, "%+v", result)
		assert.Equal(t, result.Text, streamedText())
	}
}
