package document

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"
)

// TestShownNamesAreShortAndStayApart guards against names that fill logs and metrics, that are cut within a character, or that
// become the same.
func TestShownNamesAreShortAndStayApart(t *testing.T) {
	assert.Equal(t, ShownName("desk"), "desk")
	exact := strings.Repeat("n", maxShownName)
	assert.Equal(t, ShownName(exact), exact)
	seen := make(map[string]bool)
	for _, begin := range []string{exact, strings.Repeat("é", 5000), strings.Repeat("水", 5000), "x" + strings.Repeat("𐍈", 5000)} {
		for _, end := range []string{"1", "2"} {
			shown := ShownName(begin + end)
			assert.Assert(t, len(shown) <= maxShownName && utf8.ValidString(shown), shown)
			assert.Assert(t, !seen[shown], shown)
			seen[shown] = true
		}
	}
}

// TestLongNamesOfTeamsAreValid guards against a document that is refused for the length of one name.
func TestLongNamesOfTeamsAreValid(t *testing.T) {
	doc := &Document{}
	assert.NilError(t, json.Unmarshal([]byte(documentWith(t, "/routes/0/services/0/weight", "1")), doc))
	for _, name := range []string{strings.Repeat("n", 65), strings.Repeat("水", 10_000)} {
		doc.Teams[0].Name = name
		raw, err := json.Marshal(doc)
		assert.NilError(t, err)
		_, err = Parse(raw)
		assert.NilError(t, err)
	}
}
