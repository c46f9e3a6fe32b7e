package process

import (
	"context"
	"testing"

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
	crowdHead   = 15_000
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
