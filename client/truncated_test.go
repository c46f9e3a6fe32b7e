package client

import (
	"fmt"
	"testing"

	"carobshunt/api"

	"gotest.tools/v3/assert"
)

// TestAnswerCutAtAnyByteIsNeverShort guards against a host that stops within the head or the body of its answer and closes: the
// caller must not take the part for the answer. It goes on where the answer broke off.
func TestAnswerCutAtAnyByteIsNeverShort(t *testing.T) {
	frames := line(api.Frame{Dispatch: 1, Text: "we"}) + line(api.Frame{Dispatch: 1, Offset: 2, Text: "ll", Last: last("well")})
	const fields = "HTTP/1.1 200 OK\r\nCarob-Host: 10.0.0.1:1/i1\r\nConnection: close\r\n"
	for name, text := range map[string]string{
		"length":     fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(frames), frames),
		"connection": fields + "\r\n" + frames,
	} {
		for cut := range len(text) {
			t.Run(fmt.Sprintf("%s, %d of %d bytes", name, cut, len(text)), func(t *testing.T) {
				t.Parallel()
				host := scriptedHost(t, serveText(text[:cut]), serveRest)
				got := outcomeAt(t, host, make([]byte, 100), true)
				assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
				assert.Equal(t, got.Text, "well")
			})
		}
	}
}
