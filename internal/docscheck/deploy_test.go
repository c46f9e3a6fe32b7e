package docscheck

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"carobshunt/internal/settings"

	"gotest.tools/v3/assert"
)

// templateValues holds the values that the platform substitutes in the settings template, by placeholder.
var templateValues = map[string]string{
	"zone|json": `"a"`, "listen.front|json": `"192.0.2.1:7400"`, "ip": "192.0.2.1", "port_range.0": "7340", "port_range.1": "7341",
	"listen.control|json": `"192.0.2.1:7402"`, "listen.directory|json": `"192.0.2.1:7404"`, "listen.ready_addr|json": `"192.0.2.1:7405"`,
	"platform.address|json": `"192.0.2.9:7500"`, "seeds|json": `["192.0.2.2:7402"]`,
	"zones|json":            `{"a": "north", "b": "south"}`,
	"limits.cpu_share|json": "0.134", "limits.memory_mb|json": "136", "limits.max_fds|json": "2870", "limits.link_mbps|json": "14.5",
}

func TestSettingsTemplateIsAccepted(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/settings.tmpl"))
	assert.NilError(t, err)
	coldStarts := map[string]string{"bounds.cold_overshoot|json": "1.5", "bounds.cold_slack|json": "5"}
	for _, optional := range []map[string]string{nil, {"region|json": `"north"`}, coldStarts} {
		text := renderTemplate(t, string(raw), optional)
		assert.Assert(t, json.Valid([]byte(text)), text)
		s, err := settings.Parse([]byte(text))
		assert.NilError(t, err)
		assert.Equal(t, s.Platform.Kind, settings.PlatformStore)
		assert.Equal(t, s.Peers[0], "192.0.2.2:7402")
		assert.Equal(t, s.Capacity, settings.Capacity{Cores: 0.134, MemoryMB: 136, Connections: 2870, LinkMbps: 14.5})
		assert.Equal(t, s.Region, strings.Trim(optional["region|json"], `"`))
		assert.DeepEqual(t, s.Regions(), map[string]string{"a": "north", "b": "south"})
		assert.Equal(t, s.ColdStarts.Overshoot == 1.5, optional["bounds.cold_overshoot|json"] != "")
	}
}

// renderTemplate renders a template with templateValues and the optional values: {{name|json}} is a value, and what stands
// between {{#name}} and {{/name}} is left out if the platform has no value of that name.
func renderTemplate(t *testing.T, text string, optional map[string]string) string {
	t.Helper()
	valueOf := func(name string) (string, bool) {
		value, ok := templateValues[name]
		if !ok {
			value, ok = optional[name]
		}
		return value, ok
	}
	section := regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	text = section.ReplaceAllStringFunc(text, func(found string) string {
		parts := section.FindStringSubmatch(found)
		assert.Equal(t, parts[1], parts[3])
		if _, ok := valueOf(parts[1] + "|json"); !ok {
			return ""
		}
		return parts[2]
	})
	return regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(text, func(field string) string {
		value, ok := valueOf(strings.Trim(field, "{}"))
		assert.Assert(t, ok, field)
		return value
	})
}
