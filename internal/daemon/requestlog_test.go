package daemon

import (
	"strings"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestLongNamesOfTeamsAreShortInTheLog guards against a name of any length in each line on a request.
func TestLongNamesOfTeamsAreShortInTheLog(t *testing.T) {
	var out strings.Builder
	l := &requestLog{log: hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info})}
	key := core.Key{Team: strings.Repeat("水", 10_000), ID: "request-1"}
	for _, action := range []node.Action{
		node.StartDispatch{Key: key}, node.Finish{Key: key}, node.Refused{Key: key}, node.Unanswered{Key: key},
		node.Withdrawn{Key: key},
	} {
		l.record(action)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 5)
	for _, line := range lines {
		assert.Assert(t, len(line) < 1000 && strings.Contains(line, "~"), "%d bytes", len(line))
	}
}

// TestRefusalNamesTheConfigurationItWasDecidedBy guards against refusals of unknown routes of which nobody can tell whether they were
// right, or came from a host that was late with a configuration.
func TestRefusalNamesTheConfigurationItWasDecidedBy(t *testing.T) {
	var out strings.Builder
	l := &requestLog{log: hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info})}
	l.record(node.Refused{Config: node.ConfigBasis{Revision: 36, InForce: 630 * time.Millisecond, Known: 51}})
	assert.Assert(t, strings.Contains(out.String(), "revision=36 revision_age_ms=630 known_revision=51"), out.String())
}
