package docscheck

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"carobshunt/api"
	"carobshunt/internal/ctl"
	"carobshunt/internal/daemon"
	"carobshunt/internal/document/lint"
	"carobshunt/internal/fakecmd"
	"carobshunt/internal/settings"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
)

// root is the root directory of the repository.
const root = "../.."

// page is a page of the documentation, a Markdown file.
type page struct {
	path string
	text string
	// code holds the lines of fenced blocks and the inline code spans.
	code []string
}

var codeSpan = regexp.MustCompile("`([^`\n]+)`")

func readPages(t *testing.T) []page {
	t.Helper()
	var paths []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/design/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		assert.NilError(t, err)
		paths = append(paths, found...)
	}
	assert.Assert(t, len(paths) > 8, "%v", paths)
	var pages []page
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		assert.NilError(t, err)
		pages = append(pages, page{path: path, text: string(raw), code: codeOf(string(raw))})
	}
	return pages
}

func codeOf(text string) []string {
	var code []string
	fenced := false
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "```"):
			fenced = !fenced
		case fenced:
			code = append(code, line)
		default:
			for _, m := range codeSpan.FindAllStringSubmatch(line, -1) {
				code = append(code, m[1])
			}
		}
	}
	return code
}

func commandTrees() map[string]*cobra.Command {
	return map[string]*cobra.Command{
		"carobctl":    ctl.NewRoot(io.Discard),
		"carobshuntd": daemon.NewCommand(),
		"carobfake":   fakecmd.NewRoot(),
	}
}

var (
	invocation  = regexp.MustCompile(`(?:^|[\s;&|(/])(carobctl|carobshuntd|carobfake)((?:\s+[^\s|&;>)]+)*)`)
	placeholder = regexp.MustCompile(`^[A-Z{\[<"'$./0-9]`)
	flagName    = regexp.MustCompile(`^--([a-z][a-z-]*)`)
)

// firstUnknown returns the first subcommand or flag of a command line that does not exist, "" if all exist.
func firstUnknown(cmd *cobra.Command, words []string) string {
	cmd.InitDefaultHelpFlag()
	cmd.InitDefaultHelpCmd()
	cmd.InitDefaultCompletionCmd(words...)
	for _, word := range words {
		if m := flagName.FindStringSubmatch(word); m != nil {
			if cmd.Flags().Lookup(m[1]) == nil && cmd.InheritedFlags().Lookup(m[1]) == nil {
				return cmd.CommandPath() + " --" + m[1]
			}
			continue
		}
		child := childOf(cmd, word)
		if child == nil && cmd.HasSubCommands() && !placeholder.MatchString(word) {
			return cmd.CommandPath() + " " + word
		}
		if child != nil {
			cmd = child
		}
	}
	return ""
}

func childOf(cmd *cobra.Command, name string) *cobra.Command {
	for _, child := range cmd.Commands() {
		if child.Name() == name {
			return child
		}
	}
	return nil
}

func TestCommandsAndFlagsInPagesExist(t *testing.T) {
	trees := commandTrees()
	seen := 0
	for _, p := range readPages(t) {
		for _, code := range p.code {
			for _, m := range invocation.FindAllStringSubmatch(code, -1) {
				seen++
				assert.Equal(t, firstUnknown(trees[m[1]], strings.Fields(m[2])), "", "%s: %s", p.path, code)
			}
		}
	}
	assert.Assert(t, seen > 20, "only %d command lines were found", seen)
}

func TestUnknownCommandsAndFlagsAreFound(t *testing.T) {
	trees := commandTrees()
	for line, want := range map[string]string{
		"status --no-such-flag":         "carobctl status --no-such-flag",
		"no-such-command":               "carobctl no-such-command",
		"check no-such-kind FILE":       "carobctl check no-such-kind",
		"status --peers":                "",
		"submit --id walk-0001":         "",
		"check document /tmp/a.json":    "",
		"status --operator 127.0.0.1:1": "",
	} {
		assert.Equal(t, firstUnknown(trees["carobctl"], strings.Fields(line)), want, line)
	}
}

var settingPath = regexp.MustCompile(`^[a-z_]+(\.[a-z_]+)+$`)

func TestSettingsInPagesExist(t *testing.T) {
	known := make(map[string]bool)
	for _, s := range settingsRows(t, settings.Reference()) {
		known[s.path] = true
		parts := strings.Split(s.path, ".")
		for i := range parts {
			known[strings.Join(parts[:i+1], ".")] = true
		}
	}
	seen := 0
	for _, p := range readPages(t) {
		for _, code := range p.code {
			section, _, _ := strings.Cut(code, ".")
			if !settingPath.MatchString(code) || !known[section] || strings.HasSuffix(code, ".json") {
				continue
			}
			seen++
			assert.Assert(t, known[code], "%s: no setting %s", p.path, code)
		}
	}
	assert.Assert(t, seen > 5, "only %d settings were found", seen)
}

var metricName = regexp.MustCompile(`\bcarobshunt_[a-z_]+`)

func TestMetricsInPagesExist(t *testing.T) {
	known := make(map[string]bool)
	for _, m := range metricRows(t) {
		known[m.name] = true
		if m.kind == "histogram" {
			known[m.name+"_bucket"], known[m.name+"_sum"], known[m.name+"_count"] = true, true, true
		}
	}
	seen := 0
	for _, p := range readPages(t) {
		for _, name := range metricName.FindAllString(p.text, -1) {
			seen++
			assert.Assert(t, known[name], "%s: no metric %s", p.path, name)
		}
	}
	assert.Assert(t, seen > 15, "only %d metrics were found", seen)
}

var link = regexp.MustCompile(`\]\(([^)\s]+)\)`)

func TestLinksResolve(t *testing.T) {
	seen := 0
	for _, p := range readPages(t) {
		for _, m := range link.FindAllStringSubmatch(p.text, -1) {
			dest, anchor, _ := strings.Cut(m[1], "#")
			if strings.Contains(dest, "://") {
				continue
			}
			seen++
			file := p.path
			if dest != "" {
				file = filepath.Join(filepath.Dir(p.path), dest)
			}
			_, err := os.Stat(file)
			assert.NilError(t, err, "%s: link to %s", p.path, m[1])
			if anchor != "" {
				assert.Assert(t, hasAnchor(t, file, anchor), "%s: no heading for %s", p.path, m[1])
			}
		}
	}
	assert.Assert(t, seen > 10, "only %d links were found", seen)
}

var notAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)

func hasAnchor(t *testing.T, file, anchor string) bool {
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	for line := range strings.Lines(string(raw)) {
		heading, ok := strings.CutPrefix(strings.TrimLeft(strings.TrimSpace(line), "#"), " ")
		if !ok || !strings.HasPrefix(line, "#") {
			continue
		}
		slug := strings.ReplaceAll(notAnchor.ReplaceAllString(strings.ToLower(heading), ""), " ", "-")
		if slug == anchor {
			return true
		}
	}
	return false
}

func TestGlossaryHasTheTerms(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "docs/GLOSSARY.md"))
	assert.NilError(t, err)
	for _, term := range []string{
		"host", "availability zone", "team", "target", "preset", "document", "revision", "platform", "look-up", "home",
		"incarnation", "outcome", "time budget", "first token", "slowdown", "planned stop", "leaving", "order",
		"fencing number", "sweep", "heartbeat",
	} {
		row := regexp.MustCompile(`(?m)^\| [^|]*\b` + regexp.QuoteMeta(term) + `\b[^|]* \|`)
		assert.Assert(t, row.Match(raw), "no row for %q", term)
	}
}

var (
	makeTarget = regexp.MustCompile(`^make ([a-z-]+)$`)
	script     = regexp.MustCompile(`\bscripts/[a-z-]+\.sh\b`)
)

func TestMakeTargetsAndScriptsInPagesExist(t *testing.T) {
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	assert.NilError(t, err)
	for _, p := range readPages(t) {
		for _, code := range p.code {
			if m := makeTarget.FindStringSubmatch(code); m != nil {
				assert.Assert(t, strings.Contains(string(makefile), "\n"+m[1]+":"), "%s: no target %s", p.path, m[1])
			}
			for _, name := range script.FindAllString(code, -1) {
				_, err := os.Stat(filepath.Join(root, name))
				assert.NilError(t, err, p.path)
			}
		}
	}
}

func TestDeploymentFilesAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(root, "deploy/*/*.json"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 19)
	for _, file := range files {
		kind := "settings"
		switch filepath.Base(file) {
		case "config.json":
			kind = "document"
		case "hosts.json":
			kind = "hosts"
		case "carobctl.json":
			raw, err := os.ReadFile(file)
			assert.NilError(t, err)
			decoder := json.NewDecoder(strings.NewReader(string(raw)))
			decoder.DisallowUnknownFields()
			assert.NilError(t, decoder.Decode(&ctl.Deployment{}), file)
			continue
		}
		var out strings.Builder
		assert.Equal(t, ctl.Main([]string{"check", kind, file}, &out, &out), ctl.ExitOK, out.String())
		if kind == "document" {
			assert.Equal(t, ctl.Main([]string{"check", "config", file}, &out, &out), ctl.ExitOK, out.String())
			assert.Assert(t, strings.Contains(out.String(), "has no finding"), out.String())
		}
	}
}

var headerName = regexp.MustCompile(`\bCarob-[A-Z][A-Za-z-]*`)

func TestCallersPageMatchesProtocol(t *testing.T) {
	source, err := os.ReadFile(filepath.Join(root, "api/api.go"))
	assert.NilError(t, err)
	for _, p := range readPages(t) {
		for _, name := range headerName.FindAllString(p.text, -1) {
			assert.Assert(t, strings.Contains(string(source), `"`+name+`"`), "%s: no header %s", p.path, name)
		}
	}
	raw, err := os.ReadFile(filepath.Join(root, "docs/CALLERS.md"))
	assert.NilError(t, err)
	for _, m := range regexp.MustCompile(`"(Carob-[A-Za-z-]+)"`).FindAllStringSubmatch(string(source), -1) {
		assert.Assert(t, strings.Contains(string(raw), "`"+m[1]+"`"), "the page lacks %s", m[1])
	}
	for _, outcome := range []api.Outcome{
		api.OutcomeDone, api.OutcomeFailed, api.OutcomeNotRun, api.OutcomeUnknown, api.OutcomePending,
	} {
		assert.Assert(t, strings.Contains(string(raw), "| `"+string(outcome)+"` |"), outcome)
	}
}

// findingRow matches a row of a table of OPERATIONS.md that begins with codes of findings and their severity.
var findingRow = regexp.MustCompile("(?m)^\\| (`[a-z-]+`(?:, `[a-z-]+`)*) \\| (error|warning|note) \\|")

func TestOperationsNamesEveryFinding(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATIONS.md"))
	assert.NilError(t, err)
	got := make(map[lint.Code]lint.Severity)
	for _, m := range findingRow.FindAllStringSubmatch(string(page), -1) {
		for _, code := range codeSpan.FindAllStringSubmatch(m[1], -1) {
			got[lint.Code(code[1])] = lint.Severity(m[2])
		}
	}
	want := lint.Codes()
	want[ctl.CodeNotCompared] = lint.SeverityWarning
	want[ctl.CodeValueRefused] = lint.SeverityError
	want[ctl.CodeValueAltered] = lint.SeverityNote
	assert.DeepEqual(t, got, want)
}

func TestArchitectureNamesEveryPackage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/ARCHITECTURE.md"))
	assert.NilError(t, err)
	packages := make(map[string]bool)
	for _, top := range []string{"api", "client", "cmd", "internal", "test"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ os.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") {
				packages[strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), root+"/")] = true
			}
			return err
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, len(packages) > 30)
	for name := range packages {
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), "docs/ARCHITECTURE.md does not name %s", name)
	}
}
