package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"carobshunt/internal/daemon"

	"gotest.tools/v3/assert"
)

// runAsDaemonVariable is the environment variable that makes this test binary run as the daemon.
const runAsDaemonVariable = "CAROBSHUNT_TEST_AS_DAEMON"

// exitInvalidSettings is the documented exit status for invalid settings.
const exitInvalidSettings = 2

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemonVariable) != "" {
		os.Exit(daemon.Main(os.Args[1:], os.Stderr))
	}
	os.Exit(m.Run())
}

func TestInvalidSettingsAreReportedWithTheirPaths(t *testing.T) {
	const good = `"listen": {"callers": "192.0.2.1:7400", "operators": "192.0.2.1:7401", "peers": "192.0.2.1:7402"},
		"platform": {"address": "192.0.2.9:7500"}`
	for name, c := range map[string]struct{ text, want string }{
		"unknown field": {`{"zone": "a", "colour": "red", ` + good + `}`, "colour"},
		"wrong unit":    {`{"zone": "a", "limits": {"body_bytes": "1MB"}, ` + good + `}`, "/limits/body_bytes"},
		"host name":     {`{"zone": "a", "peers": ["entry-2:7402"], ` + good + `}`, "/peers/0"},
		"field twice":   {`{"zone": "a", "zone": "b", ` + good + `}`, "/zone"},
		"not JSON":      {`zone = a`, "not JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.json")
			assert.NilError(t, os.WriteFile(path, []byte(c.text), 0o600))
			cmd := exec.Command(os.Args[0], "--settings", path)
			cmd.Env = append(os.Environ(), runAsDaemonVariable+"=1")
			out, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			assert.Assert(t, errors.As(err, &exit), "%v", err)
			assert.Equal(t, exit.ExitCode(), exitInvalidSettings, "%s", out)
			assert.Assert(t, strings.Contains(string(out), c.want), "%s", out)
		})
	}
}
