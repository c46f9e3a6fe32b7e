package ctl

import (
	"testing"

	"carobshunt/internal/testhead"

	"gotest.tools/v3/assert"
)

// TestMalformedHeadIsNoSuccess guards against a command that reports success by a broken answer of an operators' interface.
func TestMalformedHeadIsNoSuccess(t *testing.T) {
	for name, head := range testhead.Malformed("Content-Length: 0\r\n") {
		t.Run(name, func(t *testing.T) {
			status, text := run("drain", testhead.Serve(t, head))
			assert.Assert(t, status != ExitOK, text)
		})
	}
}
