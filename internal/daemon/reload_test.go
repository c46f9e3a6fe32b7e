package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"carobshunt/internal/settings"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func TestReloadAppliesValidSettingsAndIgnoresInvalidOnes(t *testing.T) {
	raw, err := os.ReadFile("../settings/testdata/good/store.json")
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(string(raw))
	s, err := settings.Load(path)
	assert.NilError(t, err)
	d := New(s, hclog.New(&hclog.LoggerOptions{Output: os.Stderr, Level: hclog.Error}))
	reload := func() {
		hangup := make(chan os.Signal, 1)
		hangup <- os.Interrupt
		close(hangup)
		d.reloadOn(hangup, path)
	}
	write(strings.Replace(string(raw), `"retry_percent": 15`, `"retry_percent": 10`, 1))
	reload()
	assert.Equal(t, d.currentPreset().RetryPercent, int64(10))
	write(strings.Replace(string(raw), `"retry_percent": 15`, `"retry_percent": "many"`, 1))
	reload()
	assert.Equal(t, d.currentPreset().RetryPercent, int64(10))
}
