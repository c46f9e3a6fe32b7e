package strictjson

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDuplicates(t *testing.T) {
	for text, want := range map[string][]string{
		`{"a":1,"b":{"a":2}}`:           nil,
		`{"a":1,"a":2}`:                 {"/a"},
		`{"a":[{"b":1},{"b":1,"b":2}]}`: {"/a/1/b"},
		// The search ends where a text is not valid JSON.
		`{"a":1,`:         nil,
		`[1,2`:            nil,
		`{"a":1,"a":2,}x`: {"/a"},
		`[{]`:             nil,
		``:                nil,
	} {
		var got []string
		for _, fault := range duplicates([]byte(text)) {
			got = append(got, fault.Path)
		}
		assert.DeepEqual(t, got, want)
	}
}
