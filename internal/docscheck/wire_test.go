package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// platformNames holds names of the users' platform's wire protocol. Only the adapter in platform/ and the files in
// deploy/ may use them.
var platformNames = []string{
	"Attempt-Id", "Response-Seal", "Not-Executed", "Server-Load", "Expect-Instance", "Expect-Version", "Instance-Id",
	"Prompt-Prefix", "Token-Count", "Length-Hint", "Deadline-Ms", "Api-Key", "At-Server", "Request-Priority",
	"Last-Event-Id", "Weight-Versions", "/-/", "op/config", "kv-key", "kv-range", "kv-watch", "weighted_clusters",
	"goal_latency_ms", "gap_target_ms", "max_attempts", "api_keys", "max_conns", "health_path", "kv_capacity_tokens",
	"per_seq_ms", "context_per_k", "read_per_s", "pairs_per_m", "stride", "cold_left_ms", "ready_addr", "port_range",
	"CAROBSHUNT_BOOT", "non_idempotent", "hold_ms", "is_stale", "tombstone", "as_of", "ttl_s",
}

func TestOnlyTheAdapterUsesPlatformNames(t *testing.T) {
	var quoted []string
	for _, name := range platformNames {
		quoted = append(quoted, regexp.QuoteMeta(name))
	}
	pattern := regexp.MustCompile(`(^|[^A-Za-z_-])(` + strings.Join(quoted, "|") + `)([^A-Za-z_-]|$)`)
	files := 0
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		assert.NilError(t, err)
		if entry.IsDir() && (rel == "platform" || rel == "deploy" || rel == "docs" || rel == "journal" || rel == "target" || rel == ".git") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(rel, ".go") || strings.HasPrefix(rel, "internal/docscheck/") {
			return nil
		}
		files++
		raw, err := os.ReadFile(path)
		assert.NilError(t, err)
		for i, line := range strings.Split(string(raw), "\n") {
			assert.Check(t, !pattern.MatchString(line), "%s:%d: %s", rel, i+1, strings.TrimSpace(line))
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 150, "%d files", files)
}

// minCodeRatio is the lowest allowed ratio of all lines of code to the adapter's lines, tests excluded.
const minCodeRatio = 6

func TestAdapterStaysSmall(t *testing.T) {
	adapter, all := 0, 0
	for _, top := range []string{"api", "client", "cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			raw, err := os.ReadFile(path)
			assert.NilError(t, err)
			lines := strings.Count(string(raw), "\n")
			all += lines
			if top == "platform" {
				adapter += lines
			}
			return nil
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, adapter*minCodeRatio <= all, "%d of %d lines", adapter, all)
}
