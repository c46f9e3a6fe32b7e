package rawjson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const deep = 100_000

// TestDeeplyNestedEntriesAreCutOut guards against a text that can't be read since one entry is nested too deeply.
func TestDeeplyNestedEntriesAreCutOut(t *testing.T) {
	nested := strings.Repeat("[", deep) + strings.Repeat("]", deep)
	entries, err := Entries([]byte(` [ 1 , "a,]\"" , ` + nested + `, {"x":[{"y":"}"}]} , null ] `))
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 5)
	assert.Equal(t, string(entries[1]), `"a,]\""`)
	assert.Equal(t, string(entries[2]), nested)
	assert.Equal(t, string(entries[3]), `{"x":[{"y":"}"}]}`)
	fields, err := Fields([]byte(`{"a":1, "\u0062" : ` + nested + `,"a":true}`))
	assert.NilError(t, err)
	assert.Equal(t, len(fields), 2)
	assert.Equal(t, string(fields["a"]), "true")
	assert.Equal(t, string(fields["b"]), nested)
}

// FuzzSameAsTheStandardDecoder guards against entries that are lost, joined or cut at the wrong place.
func FuzzSameAsTheStandardDecoder(f *testing.F) {
	for _, text := range []string{
		`[]`, `{}`, `[1,"a",[2,{"b":null}],true]`, `{"a":[1],"b":"\\\"}","a":-1.5e3}`, ` [ 1 , 2 ] `, `null`, `[1,]`, `[1 2]`,
		`{"a"}`, `{"a":}`, `{1:2}`, `[1]x`, `[}`, `{"a":1`, `[`, ``, `"a"`, `[,]`, `[[]`, `{"a":1,}`, "[\"\x01\"]",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var wantFields map[string]json.RawMessage
		if json.Unmarshal(text, &wantFields) == nil && !bytes.Equal(bytes.TrimSpace(text), []byte("null")) {
			fields, err := Fields(text)
			assert.NilError(t, err)
			assert.DeepEqual(t, fields, wantFields)
		}
		var wantEntries []json.RawMessage
		if json.Unmarshal(text, &wantEntries) == nil {
			entries, err := Entries(text)
			assert.NilError(t, err)
			assert.Equal(t, len(entries), len(wantEntries))
			for i := range entries {
				assert.Equal(t, string(entries[i]), string(wantEntries[i]))
			}
		}
		_, _ = Fields(text)
		_, _ = Entries(text)
	})
}
