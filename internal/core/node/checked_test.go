package node_test

import (
	"encoding/json"
	"testing"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"

	"gotest.tools/v3/assert"
)

// TestCheckedDocumentIsNotCheckedAgain guards against a control goroutine that parses large documents, which ends no request meanwhile.
func TestCheckedDocumentIsNotCheckedAgain(t *testing.T) {
	l := newLone(t)
	next := *l.node.Snapshot().Document
	next.Revision++
	raw, err := json.Marshal(next)
	assert.NilError(t, err)
	checked := conf.Check(document.NewReader(), raw)
	l.step(node.DocumentReceived{Checked: checked, Source: conf.SourcePlatform}) // without the text, nothing could be parsed
	assert.Equal(t, l.node.Snapshot().Document.Revision, next.Revision)
}
