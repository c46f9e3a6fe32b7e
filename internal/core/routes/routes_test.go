package routes_test

import (
	"testing"

	"carobshunt/internal/core/routes"
	"carobshunt/internal/document"

	"gotest.tools/v3/assert"
)

func table() *routes.Table {
	return routes.New(&document.Document{
		Routes: []document.Route{
			{Name: "all", Authority: "a.example", Prefix: "/x/"},
			{Name: "part", Authority: "a.example", Prefix: "/x/y/"},
			{Name: "other", Authority: "b.example", Prefix: "/x/"},
		},
		Teams: []document.Team{{Name: "desk", KeysSHA256: []string{"d1", "d2"}}, {Name: "open"}},
	}, nil)
}

func TestMatchReturnsLongestPrefixOfAuthority(t *testing.T) {
	for _, c := range []struct{ authority, path, want string }{
		{"a.example", "/x/1", "all"},
		{"a.example", "/x/y/1", "part"},
		{"A.Example", "/x/y/", "part"},
		{"a.example", "/x/y", "all"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/X/1", ""},
		{"a.example", "/z/../x/1", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table().Match(c.authority, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.authority, c.path)
	}
}

func TestTeamIsFoundByKeyDigest(t *testing.T) {
	tb := table()
	assert.Assert(t, tb.Keyed())
	name, ok := tb.Team("d2")
	assert.Assert(t, ok)
	assert.Equal(t, name, "desk")
	_, ok = tb.Team("")
	assert.Assert(t, !ok)
	assert.Assert(t, !routes.New(&document.Document{}, nil).Keyed())
}

// TestKeysAreNeededWhereTheirListIsEmpty guards against routes that are open to everybody after the last key was taken away, and
// against a digest that requests without a key have.
func TestKeysAreNeededWhereTheirListIsEmpty(t *testing.T) {
	for _, c := range []struct {
		name  string
		keys  []string
		keyed bool
	}{{"absent", nil, false}, {"empty", []string{}, true}, {"an empty digest", []string{""}, true}} {
		doc := &document.Document{Teams: []document.Team{{Name: "open"}, {Name: "desk", KeysSHA256: c.keys}}}
		tb := routes.New(doc, nil)
		assert.Equal(t, tb.Keyed(), c.keyed, c.name)
		for _, digest := range []string{"", "d1"} {
			_, ok := tb.Team(digest)
			assert.Assert(t, !ok, "%s: %q", c.name, digest)
		}
	}
}

func TestChooseFollowsWeights(t *testing.T) {
	r := &document.Route{Services: []document.WeightedService{{Name: "a", Weight: 90}, {Name: "b", Weight: 10}, {Name: "c"}}}
	for _, c := range []struct {
		point float64
		want  string
	}{{0, "a"}, {0.899, "a"}, {0.9, "b"}, {0.999, "b"}} {
		assert.Equal(t, routes.Choose(r, c.point), c.want, "%v", c.point)
	}
	none := &document.Route{Services: []document.WeightedService{{Name: "a"}, {Name: "b"}}}
	assert.Equal(t, routes.Choose(none, 0.5), "a", "weights of zero must choose a service")
}

// TestRankOfTeamPrecedesRankOfRoute guards against a team without a rank taken for one of rank 0, the most urgent.
func TestRankOfTeamPrecedesRankOfRoute(t *testing.T) {
	zero, five := int64(0), int64(5)
	teams := []document.Team{{Name: "urgent", Rank: &zero}, {Name: "batch", Rank: &five}, {Name: "plain"}}
	tb := routes.New(&document.Document{Teams: teams}, nil)
	r := &document.Route{Rank: 3}
	assert.Assert(t, tb.RanksTeams())
	for team, want := range map[string]int64{"urgent": 0, "batch": 5, "plain": 3, "": 3} {
		assert.Equal(t, tb.Rank(team, r), want, team)
	}
	assert.Assert(t, !routes.New(&document.Document{Teams: []document.Team{{Name: "plain"}}}, nil).RanksTeams())
}
