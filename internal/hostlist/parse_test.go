package hostlist

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestValidFilesAreAccepted(t *testing.T) {
	found, err := filepath.Glob("testdata/good/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(found) > 0)
	for _, file := range found {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, err = Parse(data)
		assert.NilError(t, err, file)
	}
}

// TestInvalidFilesAreRefusedWithFaultPaths compares the paths of the faults with the file beside the bad one.
func TestInvalidFilesAreRefusedWithFaultPaths(t *testing.T) {
	found, err := filepath.Glob("testdata/bad/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(found) > 0)
	for _, file := range found {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		parsed, err := Parse(data)
		assert.Assert(t, parsed == nil, file)
		var faults *strictjson.Faults
		assert.Assert(t, errors.As(err, &faults), "%s: %v", file, err)
		var paths []string
		for _, f := range faults.List {
			paths = append(paths, f.Path)
		}
		want, err := os.ReadFile(strings.TrimSuffix(file, ".json") + ".paths")
		assert.NilError(t, err)
		assert.Equal(t, strings.Join(paths, "\n")+"\n", string(want), file)
	}
}

// TestOddValuesAreFaults guards against values that overflow where they are summed, and against a list that ends the process or can't
// be refused with a path.
func TestOddValuesAreFaults(t *testing.T) {
	const text = `{"version":1,"hosts":[{"address":"10.0.0.1:1","zone":"a","role":"service","state":"live"},` +
		`{"address":"10.0.0.2:1","zone":"a","role":"engine","state":"live",%s}]}`
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	reader := NewReader()
	_, _, err := reader.Read([]byte(fmt.Sprintf(text, fmt.Sprintf(`"slots":%d`, MaxSlots))))
	assert.NilError(t, err)
	for change, want := range map[string]string{
		fmt.Sprintf(`"slots":%d`, MaxSlots+1): "/hosts/1/slots", `"slots":9223372036854775807`: "/hosts/1/slots",
		`"slots":1e400`: "/hosts/1/slots", `"slots":1e1000001`: "/hosts/1/slots", `"memory_tokens":9223372036854775807`: "/hosts/1/memory_tokens",
		`"start":-1`: "/hosts/1/start", `"start":1.5`: "/hosts/1/start", `"models":` + nested: "", `"x":` + nested: "",
	} {
		_, _, err := reader.Read([]byte(fmt.Sprintf(text, change)))
		var faults *strictjson.Faults
		assert.Assert(t, errors.As(err, &faults), "%.60s: %v", change, err)
		assert.Equal(t, faults.List[0].Path, want, "%.60s", change)
	}
}
