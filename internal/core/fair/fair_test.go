package fair

import (
	"testing"
	"time"

	"carobshunt/internal/core"

	"gotest.tools/v3/assert"
)

func weightOf(team string) int64 {
	if team == "heavy" {
		return 3
	}
	return 1
}

// offer adds one request of each team per second from one time to another.
func offer(s *Shares, from, to core.Time, tokens map[string]int64) {
	for now := from; now < to; now += time.Second {
		for team, n := range tokens {
			s.Add(now, team, n)
		}
	}
}

func TestOver(t *testing.T) {
	for name, c := range map[string]struct {
		tokens map[string]int64
		team   string
		want   bool
	}{
		"alone":                      {map[string]int64{"a": 1000}, "a", false},
		"equal parts":                {map[string]int64{"a": 1000, "b": 1000, "c": 1000}, "a", false},
		"ten times the others":       {map[string]int64{"a": 10_000, "b": 1000, "c": 1000}, "a", true},
		"the others beside it":       {map[string]int64{"a": 10_000, "b": 1000, "c": 1000}, "b", false},
		"by weight":                  {map[string]int64{"heavy": 3000, "b": 1000, "c": 1000}, "heavy", false},
		"more than the weight's":     {map[string]int64{"heavy": 30_000, "b": 1000, "c": 1000}, "heavy", true},
		"a team that has sent none":  {map[string]int64{"a": 1000, "b": 1000}, "new", false},
		"others that hardly send":    {map[string]int64{"a": 100_000, "b": 10}, "a", false},
		"half as much again is fine": {map[string]int64{"a": 1400, "b": 1000, "c": 1000}, "a", false},
	} {
		s := New()
		offer(s, 0, time.Minute, c.tokens)
		assert.Equal(t, s.Over(time.Minute, c.team, weightOf), c.want, name)
	}
}

func TestPastWorkDecays(t *testing.T) {
	s := New()
	offer(s, 0, time.Minute, map[string]int64{"a": 10_000, "b": 1000})
	assert.Assert(t, s.Over(time.Minute, "a", weightOf))
	offer(s, time.Minute, 3*time.Minute, map[string]int64{"a": 1000, "b": 1000})
	assert.Assert(t, !s.Over(3*time.Minute, "a", weightOf))
}
