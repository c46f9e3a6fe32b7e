package ctl

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"carobshunt/internal/document/lint"

	"gotest.tools/v3/assert"
)

const (
	demoConfig = "../../deploy/demo/config.json"
	// storeConfig is a configuration in the format of the users' platform.
	storeConfig = "../../platform/testdata/config.json"
)

// edited writes a copy of a file with replacements, pairs of old and new text, and returns its path.
func edited(t *testing.T, file string, replacements ...string) string {
	t.Helper()
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	text := strings.NewReplacer(replacements...).Replace(string(raw))
	path := filepath.Join(t.TempDir(), "edited.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// configReport runs "check config" and returns its exit status and its report.
func configReport(t *testing.T, args ...string) (int, ConfigReport) {
	t.Helper()
	var out, errOut strings.Builder
	status := Main(append([]string{"check", "config", "--output", "json"}, args...), &out, &errOut)
	var r ConfigReport
	assert.NilError(t, json.Unmarshal([]byte(out.String()), &r), "%s%s", out.String(), errOut.String())
	return status, r
}

// codes returns the severity, code and path of each finding.
func codes(list []lint.Finding) []string {
	out := []string{}
	for _, f := range list {
		out = append(out, fmt.Sprintf("%s %s %s", f.Severity, f.Code, f.Path))
	}
	return out
}

func TestDemoConfigurationHasNoFinding(t *testing.T) {
	h := newFakeHost(t)
	raw, err := os.ReadFile(demoConfig)
	assert.NilError(t, err)
	h.document = string(raw)
	for _, args := range [][]string{
		{demoConfig}, {demoConfig, "--against", demoConfig}, {demoConfig, "--operator", h.address},
		{demoConfig, "--operator", unreachableAddress, "--operator", h.address},
	} {
		status, text := run(append([]string{"check", "config"}, args...)...)
		assert.Equal(t, status, ExitOK, text)
		assert.Assert(t, strings.Contains(text, "config.json has no finding"), text)
		status, r := configReport(t, args...)
		assert.Equal(t, status, ExitOK)
		assert.Equal(t, len(r.Findings)+len(r.Changes), 0, "%+v", r)
		assert.Equal(t, r.Against != "", len(args) > 1, "%+v", r)
	}
	for _, request := range h.requests {
		assert.Assert(t, strings.HasPrefix(request, "GET "), "a check must not change anything: %s", request)
	}
}

func TestExitStatusFollowsTheWorstFinding(t *testing.T) {
	renamed := edited(t, demoConfig, `"archive"`, `"archives"`)
	status, r := configReport(t, renamed, "--against", demoConfig)
	assert.Equal(t, status, ExitInvalid)
	assert.DeepEqual(t, codes(r.Changes), []string{
		"error revision-not-raised /revision", "warning team-removed /teams", "note team-added /teams/1",
	})
	raised := edited(t, renamed, `"revision": 1`, `"revision": 2`)
	status, r = configReport(t, raised, "--against", demoConfig)
	assert.Equal(t, status, ExitWarnings)
	assert.Equal(t, r.Warnings, 1)
	more := edited(t, demoConfig, `"revision": 1`, `"revision": 2`, `"weight": 3`, `"weight": 4`)
	status, r = configReport(t, more, "--against", demoConfig)
	assert.Equal(t, status, ExitOK)
	assert.DeepEqual(t, codes(r.Changes), []string{"note value-changed /teams/0/weight"})
	broken := edited(t, demoConfig, `"weight": 3`, `"weight": "3"`)
	status, r = configReport(t, broken, "--against", demoConfig)
	assert.Equal(t, status, ExitInvalid)
	assert.DeepEqual(t, codes(r.Findings), []string{"error form /teams/0/weight"})
	assert.Equal(t, r.Against, "", "a file that was decoded in part is not compared")
}

// TestBadInputIsOneLineAndSendsNothing guards against a stack of faults, a partial report or a call to a host for a file that
// is no configuration.
func TestBadInputIsOneLineAndSendsNothing(t *testing.T) {
	h := newFakeHost(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	raw, err := os.ReadFile(demoConfig)
	assert.NilError(t, err)
	large := filepath.Join(dir, "large.json")
	assert.NilError(t, os.WriteFile(large, raw, 0o600))
	assert.NilError(t, os.Truncate(large, 100_000_000))
	for _, c := range []struct{ path, want string }{
		{filepath.Join(dir, "missing.json"), "no such file or directory"},
		{dir, "is a directory"},
		{large, "larger than 8 MiB"},
		{write("cut.json", string(raw[:len(raw)/2])), "not JSON at byte"},
		{write("text.json", "revision: 1\n"), "not JSON at byte"},
		{write("empty.json", ""), "not JSON at byte 0"},
		{write("binary.json", "\x00\x01\xff"), "not JSON at byte"},
		{write("list.json", "[]"), "not a JSON object"},
		{write("null.json", "null"), "not a JSON object"},
		{write("deep.json", strings.Repeat(`{"a":`, 1000)), "more than 32 levels"},
		{write("store.json", `{"version":"x"}`), "cannot be decoded"},
	} {
		for _, args := range [][]string{{c.path}, {c.path, "--output", "json"}, {demoConfig, "--against", c.path}} {
			var out, errOut strings.Builder
			status := Main(append([]string{"check", "config", "--operator", h.address}, args...), &out, &errOut)
			assert.Equal(t, status, ExitInvalid, "%v: %s", args, errOut.String())
			assert.Equal(t, out.String(), "", "%v", args)
			assert.Equal(t, strings.Count(errOut.String(), "\n"), 1, "%v: %s", args, errOut.String())
			assert.Assert(t, strings.Contains(errOut.String(), c.want), "%v: %s", args, errOut.String())
		}
	}
	assert.Equal(t, len(h.requests), 0, "%v", h.requests)
	status, _ := run("check", "config", demoConfig, "--against", write("part.json", `{"revision":"1"}`))
	assert.Equal(t, status, ExitInvalid)
}

// TestConfigurationIsCheckedWithoutAHostThatAnswers guards against a check that fails, or that says nothing has changed, when
// the version in force is unknown.
func TestConfigurationIsCheckedWithoutAHostThatAnswers(t *testing.T) {
	status, r := configReport(t, demoConfig, "--operator", unreachableAddress)
	assert.Equal(t, status, ExitWarnings)
	assert.DeepEqual(t, codes(r.Findings), []string{"warning not-compared "})
	assert.Equal(t, r.Against, "")
	h := newFakeHost(t)
	h.document = "<html>"
	status, r = configReport(t, demoConfig, "--operator", h.address)
	assert.Equal(t, status, ExitWarnings)
	assert.DeepEqual(t, codes(r.Findings), []string{"warning not-compared "})
}

// TestNoKeyIsPrinted checks files as checked file and as version in force, in both forms of output.
func TestNoKeyIsPrinted(t *testing.T) {
	const secret, digest = "k2-is-secret", "a1b2c3d4e5f60718a1b2c3d4e5f60718a1b2c3d4e5f60718a1b2c3d4e5f60718"
	store := edited(t, storeConfig, `"k2"`, `"`+secret+`", "`+secret+`"`)
	file, err := readConfigFile(store)
	assert.NilError(t, err)
	hidden := append([]string{secret, digest}, file.doc.Teams[0].KeysSHA256...)
	assert.Equal(t, len(hidden), 5)
	files := []string{
		demoConfig, storeConfig, store,
		edited(t, demoConfig, `"name": "desk"`, `"key_sha256": "`+secret+`", "keys_sha256": ["`+digest+`", "`+secret+`"], "name": "desk"`),
		edited(t, demoConfig, `"weight": 3`, `"weight": 3, "key_sha256": "`+digest+`"`, `"weight": 1`, `"weight": 1, "key_sha256": "`+digest+`"`),
		edited(t, demoConfig, `"name": "desk"`, `"keys_sha256": {"`+secret+`": 1, "`+secret+`": 1}, "name": "desk"`),
		edited(t, storeConfig, `"k2"`, `{"`+secret+`": 1}`),
	}
	for _, file := range files {
		for _, against := range files {
			for _, form := range []string{"table", "json"} {
				_, text := run("check", "config", file, "--against", against, "--output", form)
				for _, key := range hidden {
					assert.Assert(t, !strings.Contains(text, key), "%s", text)
				}
			}
		}
	}
}

// TestTableIsBounded guards against a table of thousands of lines that hides what matters.
func TestTableIsBounded(t *testing.T) {
	var engines []string
	for range 200 {
		engines = append(engines, `"127.20.2.1:7600"`)
	}
	path := edited(t, demoConfig, `"127.20.2.1:7600"`, strings.Join(engines, ","))
	status, text := run("check", "config", path)
	assert.Equal(t, status, ExitWarnings, text)
	assert.Equal(t, strings.Count(text, "warning"), maxRowsOfCode+2, "%s", text)
	assert.Assert(t, strings.Contains(text, "engine-twice: 99 more"), text)
	_, r := configReport(t, path)
	assert.Equal(t, r.Warnings, 199)
	assert.Equal(t, len(r.Findings), 199)
}

func TestNamesDoNotChangeTheTable(t *testing.T) {
	path := edited(t, demoConfig, `"peak": {`, `"pe\u001b[2J\nak": {"x": 1,`)
	_, text := run("check", "config", path)
	assert.Assert(t, !strings.Contains(text, "\x1b"), "%q", text)
	assert.Assert(t, strings.Contains(text, `/presets/pe\x1b[2J\nak`), "%q", text)
}

// FuzzCheckConfig looks for texts that end the check of either format, alone or against another one.
func FuzzCheckConfig(f *testing.F) {
	odd, err := filepath.Glob("../../platform/testdata/odd/*.json")
	assert.NilError(f, err)
	assert.Assert(f, len(odd) > 0)
	for _, path := range append(odd, demoConfig, storeConfig) {
		raw, err := os.ReadFile(path)
		assert.NilError(f, err)
		f.Add(raw)
	}
	bases := []string{demoConfig, storeConfig}
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := decodeConfigFile("fuzz", raw)
		if err != nil {
			return
		}
		r := &ConfigReport{File: "fuzz", Findings: file.findings()}
		if file.incomplete == nil {
			assert.Equal(t, len(file.changesFrom(file)), 0)
			for _, path := range bases {
				base, err := readConfigFile(path)
				assert.NilError(t, err)
				r.Changes = append(r.Changes, file.changesFrom(base)...)
				r.Changes = append(r.Changes, base.changesFrom(file)...)
			}
		}
		r.count()
		for _, form := range []string{outputTable, outputJSON} {
			var out strings.Builder
			assert.NilError(t, (&app{out: &out, output: form}).print(r))
		}
	})
}
