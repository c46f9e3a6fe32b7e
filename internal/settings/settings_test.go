package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func glob(t *testing.T, pattern string) []string {
	t.Helper()
	matches, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(matches) > 0, pattern)
	return matches
}

func TestValidSettingsAreAccepted(t *testing.T) {
	for _, file := range glob(t, "testdata/good/*.json") {
		s, err := Load(file)
		assert.NilError(t, err, file)
		assert.Assert(t, s.Limits.Records > 0 && s.Metrics.Teams > 0 && s.Advertise.Callers != "", "%s: defaults are not filled in", file)
	}
}

// TestInvalidSettingsAreRefusedWithEveryFault compares the paths of the faults with the .paths file beside the settings.
func TestInvalidSettingsAreRefusedWithEveryFault(t *testing.T) {
	for _, file := range glob(t, "testdata/bad/*.json") {
		_, err := Load(file)
		var faults *strictjson.Faults
		assert.Assert(t, errors.As(err, &faults), "%s: %v", file, err)
		var paths []string
		for _, f := range faults.List {
			assert.Assert(t, f.Reason != "", file)
			if len(paths) == 0 || paths[len(paths)-1] != f.Path {
				paths = append(paths, f.Path)
			}
		}
		want, err := os.ReadFile(strings.TrimSuffix(file, ".json") + ".paths")
		assert.NilError(t, err)
		assert.Equal(t, strings.Join(paths, "\n")+"\n", string(want), file)
	}
}

// TestRegionOfAZone: a zone belongs to the region that zones names, and this host's own otherwise to region. Any other zone
// belongs to none.
func TestRegionOfAZone(t *testing.T) {
	for _, c := range []struct {
		region string
		zones  map[string]string
		want   map[string]string
	}{
		{"", nil, map[string]string{}},
		{"north", nil, map[string]string{"a": "north"}},
		{"north", map[string]string{"b": "south"}, map[string]string{"a": "north", "b": "south"}},
		{"", map[string]string{"a": "north", "b": "south"}, map[string]string{"a": "north", "b": "south"}},
		{"west", map[string]string{"a": "north"}, map[string]string{"a": "north"}},
	} {
		s := &Settings{Zone: "a", Region: c.region, Zones: c.zones}
		assert.DeepEqual(t, s.Regions(), c.want)
		assert.Equal(t, s.Zones["a"] == "", c.zones["a"] == "", "the settings are left as they are")
	}
}

func TestSchemaDefaultsMatchAppliedDefaults(t *testing.T) {
	text, err := json.Marshal(Example())
	assert.NilError(t, err)
	_, err = Parse(text)
	assert.NilError(t, err, "settings with every default are not valid")
	var example, reference map[string]any
	assert.NilError(t, json.Unmarshal(text, &example))
	assert.NilError(t, json.Unmarshal(Reference(), &reference))
	definitions := reference["$defs"].(map[string]any)
	for section, definition := range map[string]string{"limits": "Limits", "metrics": "Metrics"} {
		properties := definitions[definition].(map[string]any)["properties"].(map[string]any)
		for name, property := range properties {
			want, documented := property.(map[string]any)["default"]
			if documented {
				assert.Equal(t, example[section].(map[string]any)[name], want, "%s.%s", section, name)
			}
		}
	}
}

// The template allows 128 MB of bodies, and the smallest host has 136 MB of memory in all.
func TestBodiesAreBoundedByTheStatedMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB float64
		wantMB   int64
	}{{0, 128}, {136, 18}, {536, 118}, {4000, 128}, {64, 4}, {20, 1}} {
		s := &Settings{Limits: Limits{BodyBytes: 128 << 20}, Capacity: Capacity{MemoryMB: c.memoryMB}}
		assert.Equal(t, s.BodyMemory()>>20, c.wantMB, "%v MB", c.memoryMB)
	}
}

// TestAnswersAreBoundedByTheStatedMemory guards against a host that holds more of answers than it has memory, or too little for one
// of 16 MB.
func TestAnswersAreBoundedByTheStatedMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB float64
		wantMB   int64
	}{{0, 256}, {136, 18}, {284, 55}, {536, 118}, {4000, 256}, {64, 17}} {
		s := &Settings{Capacity: Capacity{MemoryMB: c.memoryMB}}
		assert.Equal(t, s.AnswerMemory()>>20, c.wantMB, "%v MB", c.memoryMB)
	}
}
