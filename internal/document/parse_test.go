package document

import (
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
