package conf_test

import (
	"encoding/json"
	"testing"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/document"
	"carobshunt/internal/testdoc"

	"gotest.tools/v3/assert"
)

// TestChangeOfOneRouteCostsATenthOfTheWholeDocument guards against a host that is seconds late with a configuration of many routes, since
// it decodes and checks each of them in each version.
func TestChangeOfOneRouteCostsATenthOfTheWholeDocument(t *testing.T) {
	const routes = 1000
	texts := make([][]byte, 2)
	for i := range texts {
		doc := testdoc.WithRoutes(uint64(i+1), routes)
		doc.Routes[routes/2].TimeoutMs += int64(i)
		raw, err := json.Marshal(doc)
		assert.NilError(t, err)
		texts[i] = raw
	}
	reader := document.NewReader()
	whole := testdoc.WorkOf(func() { assert.NilError(t, conf.Check(reader, texts[0]).Err()) })
	changed := testdoc.WorkOf(func() { assert.NilError(t, conf.Check(reader, texts[1]).Err()) })
	assert.Assert(t, changed.AtMost(whole, 10), "%+v of %+v", changed, whole)
}
