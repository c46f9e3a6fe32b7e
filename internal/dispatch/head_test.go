package dispatch_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"carobshunt/internal/core/node"
	"carobshunt/internal/testhead"

	"gotest.tools/v3/assert"
)

// TestMalformedHeadIsLost guards against an answer, a failure or a refusal that is read from a broken answer of a target.
func TestMalformedHeadIsLost(t *testing.T) {
	_, frames, _ := strings.Cut(answerBytes("well"), "\r\n\r\n")
	for name, head := range testhead.Malformed("Connection: close\r\n") {
		for _, idempotent := range []bool{false, true} {
			refusal := strings.ReplaceAll(head, " 200 OK", " 429 Too Many Requests")
			for _, text := range []string{head + frames, refusal} {
				ending := runAgainst(t, idempotent, func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
				assert.Check(t, ending == node.EndedLost, "%s: %v, %q", name, ending, text)
			}
		}
	}
}

// TestSoundHeadOfAnyFormIsRead guards against sound answers that are dropped for an unusual but legal head.
func TestSoundHeadOfAnyFormIsRead(t *testing.T) {
	_, frames, _ := strings.Cut(answerBytes("well"), "\r\n\r\n")
	for name, head := range testhead.Sound("Connection: close\r\n") {
		ending := runAgainst(t, false, func(conn net.Conn) { _, _ = io.WriteString(conn, head+frames) })
		assert.Check(t, ending == node.EndedDone, "%s: %v", name, ending)
	}
}
