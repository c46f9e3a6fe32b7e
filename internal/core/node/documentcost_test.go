package node_test

import (
	"encoding/json"
	"testing"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
	"carobshunt/internal/testdoc"

	"gotest.tools/v3/assert"
)

// TestChangeOfOneRouteIsPutInForceForATenthOfTheWhole guards against a control goroutine that builds anew all that follows from a
// configuration of many routes in each version.
func TestChangeOfOneRouteIsPutInForceForATenthOfTheWhole(t *testing.T) {
	const routes = 1000
	l := newLone(t)
	reader := document.NewReader()
	check := func(revision uint64) *conf.Checked {
		doc := testdoc.WithRoutes(revision, routes)
		doc.Routes[routes/2].TimeoutMs += int64(revision)
		raw, err := json.Marshal(doc)
		assert.NilError(t, err)
		return conf.Check(reader, raw)
	}
	whole := testdoc.WorkOf(func() { check(100) })
	putInForce := func(checked *conf.Checked) testdoc.Work {
		return testdoc.WorkOf(func() {
			l.step(node.DocumentReceived{Checked: checked, Source: conf.SourcePlatform})
			l.node.Snapshot()
		})
	}
	putInForce(check(101)) // from a document with few routes
	for revision := uint64(102); revision < 110; revision++ {
		changed := putInForce(check(revision))
		assert.Equal(t, l.node.Snapshot().Document.Revision, revision)
		assert.Assert(t, changed.AtMost(whole, 10), "%+v of %+v", changed, whole)
	}
}
