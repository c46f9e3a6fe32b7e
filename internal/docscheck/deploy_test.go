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
}

func TestSettingsTemplateIsAccepted(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/settings.tmpl"))
	assert.NilError(t, err)
	for _, optional := range []map[string]string{
		nil,
		{"region|json": `"north"`},
		{"zones|json": `{"a": "north", "b": "south"}`},
		{"region|json": `"north"`, "zones|json": `{"a": "north", "b": "south"}`},
	} {
		text := renderTemplate(t, string(raw), optional)
		assert.Assert(t, json.Valid([]byte(text)), text)
		s, err := settings.Parse([]byte(text))
		assert.NilError(t, err)
		assert.Equal(t, s.Platform.Kind, settings.PlatformStore)
		assert.Equal(t, s.Peers[0], "192.0.2.2:7402")
		assert.Equal(t, s.Regions()["a"] == "north", len(optional) > 0, text)
		assert.Equal(t, s.Regions()["b"] == "south", optional["zones|json"] != "", text)
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
