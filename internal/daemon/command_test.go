package daemon

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"carobshunt/internal/settings"
	"carobshunt/internal/testcert"

	"gotest.tools/v3/assert"
)

func TestInvalidSettingsAndKeyFilesAreReportedByPath(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	authority := testcert.NewAuthority(t)
	pair := settings.Certificate{CertificateFile: filepath.Join(dir, "c.pem"), PrivateKeyFile: filepath.Join(dir, "c.key")}
	authority.Issue(pair.CertificateFile, pair.PrivateKeyFile, "127.0.0.1")
	broken := settings.Certificate{CertificateFile: file("broken.pem", "nothing"), PrivateKeyFile: pair.PrivateKeyFile}
	cases := []struct {
		name   string
		change func(*settings.Settings)
		path   string
	}{
		{"no address", func(s *settings.Settings) { s.Listen.Callers = "entry-1:7400" }, "/listen/callers"},
		{"every address is advertised", func(s *settings.Settings) {
			s.Listen.Peers, s.Advertise.Peers = "0.0.0.0:7402", ""
		}, "/advertise/peers"},
		{"keys file is missing", func(s *settings.Settings) {
			s.Security.Operators.KeysFile = filepath.Join(dir, "none")
		}, "/security/operators/keys_file"},
		{"keys file holds a key", func(s *settings.Settings) {
			s.Security.Operators.KeysFile = file("plain", "the-key-itself")
		}, "/security/operators/keys_file"},
		{"certificate is broken", func(s *settings.Settings) {
			s.Security.AuthorityFile, s.Security.Peers = authority.File, broken
		}, "/security/peers"},
		{"authority is missing", func(s *settings.Settings) {
			s.Security.AuthorityFile, s.Security.Callers.Certificate = filepath.Join(dir, "none"), pair
		}, "/security/callers"},
	}
	for _, c := range cases {
		s := settings.Example()
		c.change(s)
		text, err := json.Marshal(s)
		assert.NilError(t, err)
		var out strings.Builder
		assert.Equal(t, Main([]string{"--settings", file("settings.json", string(text))}, &out), ExitBadSettings, "%s: %s", c.name, out.String())
		assert.Assert(t, strings.Contains(out.String(), c.path), "%s: %s", c.name, out.String())
		assert.Assert(t, !strings.Contains(out.String(), "the-key-itself"), "a key is printed")
	}
}
