package document

import (
	"testing"

	"gotest.tools/v3/assert"
)

func sample() *Document {
	return &Document{
		Revision: 1,
		Active:   "ordinary",
		Presets: map[string]Preset{
			"ordinary": {RetryPercent: 10, ShortPromptTokens: 4000},
			"peak":     {RetryPercent: 5, ShortPromptTokens: 4000},
		},
		Teams: []Team{
			{Name: "desk", Weight: 3, TokensPerSecond: 100},
			{Name: "archive", Weight: 1, TokensPerSecond: 100},
		},
		Placements: []Placement{{Model: "draft", Version: "1", Engines: []string{"192.0.2.1:7600"}}},
	}
}

func TestDiffListsWhatWouldChange(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Document)
		want   []Change
	}{
		{"nothing but the revision", func(d *Document) { d.Revision = 2 }, []Change{}},
		{"order of teams", func(d *Document) { d.Teams[0], d.Teams[1] = d.Teams[1], d.Teams[0] }, []Change{}},
		{"switch of a preset", func(d *Document) { d.Active = "peak" }, []Change{
			{"in_force/preset", `"ordinary"`, `"peak"`},
			{"in_force/retry_percent", "10", "5"},
		}},
		{"the preset in force itself", func(d *Document) {
			d.Presets = map[string]Preset{"ordinary": {RetryPercent: 20, ShortPromptTokens: 4000}, "peak": d.Presets["peak"]}
		}, []Change{
			{"in_force/retry_percent", "10", "20"},
			{"presets/ordinary/retry_percent", "10", "20"},
		}},
		{"a team's limit and a team gone", func(d *Document) {
			d.Teams = []Team{{Name: "desk", Weight: 3, TokensPerSecond: 200}}
		}, []Change{
			{"teams/archive/name", `"archive"`, ""},
			{"teams/archive/tokens_per_second", "100", ""},
			{"teams/archive/weight", "1", ""},
			{"teams/desk/tokens_per_second", "100", "200"},
		}},
		{"a version moved", func(d *Document) { d.Placements[0].Version = "2" }, []Change{
			{"placements/draft/1", `["192.0.2.1:7600"]`, ""},
			{"placements/draft/2", "", `["192.0.2.1:7600"]`},
		}},
	}
	for _, c := range cases {
		to := sample()
		c.change(to)
		assert.DeepEqual(t, Diff(sample(), to), c.want)
	}
}
