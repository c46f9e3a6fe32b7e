package process

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/settings"
	"carobshunt/internal/testcrowd"

	"gotest.tools/v3/assert"
)

const (
	// crowdMemoryMB is what the settings of the host state.
	crowdMemoryMB = 64
	crowdSize     = 200
	// crowdHead is the size of a head inside the limit of 16 KB, endlessHead what a client sends that does not stop at it.
	crowdHead = 15_000
	// maxRefusals is how often an ordinary caller asks again as it is told.
	maxRefusals = 10
	endlessHead = 1 << 20
)

// TestCrowdOfHeads guards against heads that fill the memory of a host: of legal size but of very many short or odd lines, over the
// limit, or without end.
func TestCrowdOfHeads(t *testing.T) {
	const begin = "GET " + api.PathRequests + " HTTP/1.1\r\nHost: a\r\n"
	for kind, write := range map[string]testcrowd.Writer{
		"short lines":             testcrowd.Repeat(begin, "a:b\n", crowdHead),
		"many names":              testcrowd.Once(begin + testcrowd.ManyNames(crowdHead)),
		"short lines without end": testcrowd.Repeat(begin, "a:b\n", endlessHead),
		"line without end":        testcrowd.Repeat(begin+"a: ", "b", endlessHead),
		"empty lines without end": testcrowd.Repeat("", "\r\n", endlessHead),
	} {
		t.Run(kind, func(t *testing.T) {
			c := prepareCluster(t, 1, 1)
			c.adjustSettings = func(_ *host, s *settings.Settings) { s.Capacity.MemoryMB = crowdMemoryMB }
			h := c.hosts[0]
			h.start()
			c.waitReady()
			crowd := testcrowd.Gather(t, h.callersAddr, crowdSize)
			crowd.Send(write)
			crowd.Ended.Wait()
			peak := testcrowd.PeakMB(t, h.cmd.Process.Pid)
			t.Logf("%d MB at most", peak)
			assert.Check(t, peak <= crowdMemoryMB, "%d MB", peak)
			got, err := c.client().Do(context.Background(), newRequest("ordinary-1", modelName, true))
			assert.NilError(t, err)
			assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
		})
	}
}

// TestCrowdOfBodies guards against callers that are shut out while others send bodies that don't come to an end.
func TestCrowdOfBodies(t *testing.T) {
	const bodyBytes = 10_000
	c := prepareCluster(t, 1, 1)
	c.adjustSettings = func(_ *host, s *settings.Settings) { s.Limits.BodyBytes = crowdSize / 2 * bodyBytes }
	h := c.hosts[0]
	h.start()
	c.waitReady()
	crowd := testcrowd.Gather(t, h.callersAddr, crowdSize)
	crowd.SendOnly(func(i int, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\n%s: crowd-%04d\r\n%s: 1\r\n%s: %s\r\n%s: %s\r\n%s: true\r\n%s: 60000\r\n"+
			"%s: 10000\r\n%s: 10\r\n%s: 0000000000000001\r\nContent-Length: %d\r\n\r\nx",
			api.PathRequests, api.HeaderRequest, i, api.HeaderAttempt, api.HeaderTeam, teamName, api.HeaderModel, modelName,
			api.HeaderIdempotent, api.HeaderBudget, api.HeaderPromptTokens, api.HeaderAnswerTokens, api.HeaderBodyChecksum, bodyBytes)
	})
	crowd.AwaitSent()
	h.waitFor(func(s api.Status) bool { return s.Requests.BodyBytes >= crowdSize/2*bodyBytes })
	for attempt := 0; ; attempt++ {
		req := newRequest(fmt.Sprintf("ordinary-%d", attempt), modelName, true)
		req.Prompt, req.PromptTokens = make([]byte, bodyBytes), bodyBytes
		got, err := c.client().Do(context.Background(), req)
		assert.NilError(t, err)
		if got.Outcome == api.OutcomeDone {
			return
		}
		assert.Assert(t, attempt < maxRefusals, "%+v", got)
		time.Sleep(got.RetryAfter)
	}
}
