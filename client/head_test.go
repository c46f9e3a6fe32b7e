package client

import (
	"context"
	"fmt"
	"testing"

	"carobshunt/api"
	"carobshunt/internal/testhead"

	"gotest.tools/v3/assert"
)

// TestMalformedHeadIsNoLookup guards against hosts that are taken from a broken answer.
func TestMalformedHeadIsNoLookup(t *testing.T) {
	const lookup = `{"hosts":[{"address":"10.0.0.1:1","incarnation":"i1","clock_ms":1}],"revision":1,"keep_ms":10000}`
	for name, head := range testhead.Malformed(fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(lookup))) {
		t.Run(name, func(t *testing.T) {
			got, err := New(Options{Entries: []string{scriptedHost(t, serveText(head+lookup))}}).Lookup(context.Background())
			assert.Assert(t, err != nil, "%+v", got)
		})
	}
}

// TestMalformedHeadDecidesNothing guards against an answer, or a promise that a request did not run, that is read from a broken answer of
// a host that has read the whole request.
func TestMalformedHeadDecidesNothing(t *testing.T) {
	const fields = "Carob-Host: 10.0.0.1:1/i1\r\nConnection: close\r\n"
	refusal := fmt.Sprintf(`{"outcome":%q,"code":%q,"message":"full"}`, api.OutcomeNotRun, api.CodeOverloaded)
	for name, head := range testhead.Malformed(fields) {
		for what, body := range map[string]string{"refusal": refusal, "answer": line(api.Frame{Dispatch: 1, Text: "well", Last: last("well")})} {
			t.Run(name+", "+what, func(t *testing.T) {
				t.Parallel()
				got := outcomeAt(t, scriptedHost(t, serveText(head+body), closeAtOnce), make([]byte, 100), false)
				assert.Equal(t, got.Outcome, api.OutcomeUnknown, "%+v", got)
				assert.Equal(t, got.Text, "")
			})
		}
	}
}

// TestSoundHeadOfAnyFormIsRead guards against sound answers that are dropped for an unusual but legal head.
func TestSoundHeadOfAnyFormIsRead(t *testing.T) {
	for name, head := range testhead.Sound("Carob-Host: 10.0.0.1:1/i1\r\nConnection: close\r\n") {
		t.Run(name, func(t *testing.T) {
			answer := line(api.Frame{Dispatch: 1, Text: "well", Last: last("well")})
			got := outcomeAt(t, scriptedHost(t, serveText(head+answer)), make([]byte, 100), false)
			assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
		})
	}
}
