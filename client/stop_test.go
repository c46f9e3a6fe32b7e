package client

import (
	"testing"

	"carobshunt/api"

	"gotest.tools/v3/assert"
)

// answerHead begins an answer whose body ends with the connection.
const answerHead = "HTTP/1.1 200 OK\r\nCarob-Host: 10.0.0.1:1/i1\r\nConnection: close\r\n\r\n"

// stoppedWith returns the answer of a host that ends a request because it stops.
func stoppedWith(outcome api.Outcome, text string) string {
	end := *last(text)
	end.Outcome, end.Code = outcome, api.CodeDraining
	return answerHead + line(api.Frame{Dispatch: 1, Text: text, Last: &end})
}

// TestRequestThatAStoppingHostEndsGoesElsewhere guards against a caller that is told of a planned stop, although another host could
// have run its request, and against one that runs twice.
func TestRequestThatAStoppingHostEndsGoesElsewhere(t *testing.T) {
	whole := answerHead + line(api.Frame{Dispatch: 1, Text: "well", Last: last("well")})
	for name, c := range map[string]struct {
		stopped    string
		idempotent bool
		outcome    api.Outcome
		attempts   int
	}{
		"it waited":                      {stoppedWith(api.OutcomeNotRun, ""), false, api.OutcomeDone, 2},
		"it waited, and may be repeated": {stoppedWith(api.OutcomeNotRun, ""), true, api.OutcomeDone, 2},
		"it ran, and may be repeated":    {stoppedWith(api.OutcomeFailed, ""), true, api.OutcomeDone, 2},
		"it had begun":                   {stoppedWith(api.OutcomeFailed, "we"), true, api.OutcomeDone, 2},
		"it may have run":                {stoppedWith(api.OutcomeUnknown, ""), false, api.OutcomeUnknown, 1},
		"it had begun, and may run once": {stoppedWith(api.OutcomeFailed, "we"), false, api.OutcomeFailed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := scriptedHost(t, serveText(c.stopped), serveText(whole))
			got := outcomeAt(t, host, make([]byte, 100), c.idempotent)
			assert.Equal(t, got.Outcome, c.outcome, "%+v", got)
			assert.Equal(t, got.Attempts, c.attempts)
			assert.Equal(t, got.Text == "well", c.outcome == api.OutcomeDone)
		})
	}
}
