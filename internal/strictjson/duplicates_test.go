package strictjson

import (
	"strings"
	"testing"

	"github.com/juju/errors"
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

// TestNumbersWithLargeExponentsAreFaults guards against a number in a published text that ends the process or keeps it busy.
func TestNumbersWithLargeExponentsAreFaults(t *testing.T) {
	type fields struct {
		Count int64   `json:"count" jsonschema:"minimum=1"`
		Rate  float64 `json:"rate" jsonschema:"minimum=0"`
	}
	schema := MustReflect(&fields{})
	for number, want := range map[string]int{
		"1e1000001": 2, "1E+99999999999999999999": 2, "1e-99999999": 2, "1e1000000": 2, "-0.5e-1000": 2,
		"1e0": 0, "1E+000000002": 0, "12": 0,
	} {
		var faults *Faults
		err := schema.Check([]byte(`{"count":` + number + `,"rate":` + number + `}`))
		if errors.As(err, &faults) {
			assert.Equal(t, len(faults.List), want, "%s: %v", number, err)
			continue
		}
		assert.Assert(t, err == nil && want == 0, "%s: %v", number, err)
	}
}

// TestTextOfManyFaultsIsBounded guards against a log line of megabytes for one text.
func TestTextOfManyFaultsIsBounded(t *testing.T) {
	faults := &Faults{}
	for range 1000 {
		faults.List = append(faults.List, Fault{Path: "/" + strings.Repeat("é", 1000), Reason: "is not read"})
	}
	text := faults.Error()
	assert.Assert(t, len(text) < 7000 && strings.HasSuffix(text, "; and 980 more"), "%d bytes", len(text))
	assert.Equal(t, NewFaults(Fault{Reason: "a"}, Fault{Path: "/b", Reason: "c"}).Error(), "/: a; /b: c")
}
