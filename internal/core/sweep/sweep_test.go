package sweep_test

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/sweep"

	"gotest.tools/v3/assert"
)

const budget = time.Minute

var owner = core.Stream{
	Home:   core.Home{Address: "10.0.0.1:7400", Incarnation: "a"},
	Budget: budget, Key: core.Key{Team: "t", ID: "id"}, Dispatch: 1,
}

// observation is the state of the holding and its process at one time.
type observation struct {
	at       time.Duration
	presence sweep.Presence
	attached bool
	age      time.Duration
}

// every repeats an observation at each sweep interval between two times.
func every(from, to time.Duration, o observation) []observation {
	var out []observation
	for at := from; at <= to; at += sweep.Interval {
		o.at = at
		out = append(out, o)
	}
	return out
}

func join(parts ...[]observation) []observation {
	var out []observation
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func TestSweeperCancelsOnlyWhatIsProved(t *testing.T) {
	late := budget + sweep.Slack
	for _, c := range []struct {
		name         string
		rank         int
		observations []observation
		// suspended is the time range in which the sweeper is suspended.
		suspended [2]time.Duration
		want      sweep.Reason
		// at is when the holding is canceled, at the earliest.
		at time.Duration
	}{
		{name: "alive and within its budget", observations: every(0, budget, observation{presence: sweep.Alive})},
		{name: "unreachable home within the budget", observations: every(0, budget, observation{presence: sweep.Unknown})},
		{
			name: "over its budget since first seen", observations: every(0, 2*budget, observation{presence: sweep.Alive}),
			want: sweep.ReasonOverdue, at: late + time.Second,
		},
		{
			name: "over its budget by the engine's clock", observations: []observation{{presence: sweep.Unknown, age: late}},
			want: sweep.ReasonOverdue,
		},
		{
			name: "later ranks wait longer", rank: 2, observations: every(0, 2*budget, observation{presence: sweep.Alive}),
			want: sweep.ReasonOverdue, at: late + 2*sweep.RankDelay + time.Second,
		},
		{
			name: "process replaced", observations: every(0, budget, observation{presence: sweep.Replaced}),
			want: sweep.ReasonOrphaned, at: sweep.Grace,
		},
		{
			name: "process forgot it", observations: every(0, budget, observation{presence: sweep.Forgotten}),
			want: sweep.ReasonForgotten, at: sweep.Grace,
		},
		{name: "replaced but resumed", observations: every(0, budget, observation{presence: sweep.Replaced, attached: true})},
		{
			name: "one sign of life restarts the grace period",
			observations: join(
				every(0, 6*time.Second, observation{presence: sweep.Replaced}),
				every(8*time.Second, 8*time.Second, observation{presence: sweep.Alive}),
				every(10*time.Second, 16*time.Second, observation{presence: sweep.Replaced}),
				every(18*time.Second, 20*time.Second, observation{presence: sweep.Alive}),
			),
		},
		{
			name: "a suspended sweeper discards earlier evidence",
			observations: join(
				every(0, 2*time.Second, observation{presence: sweep.Replaced}),
				every(30*time.Second, 36*time.Second, observation{presence: sweep.Replaced}),
				every(38*time.Second, 40*time.Second, observation{presence: sweep.Alive}),
			),
			suspended: [2]time.Duration{2 * time.Second, 30 * time.Second},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sweep.New()
			stepped := time.Duration(0)
			for _, o := range c.observations {
				for ; stepped < o.at; stepped += 50 * time.Millisecond {
					if stepped <= c.suspended[0] || stepped >= c.suspended[1] {
						s.Step(stepped)
					}
				}
				h := sweep.Holding{Kind: sweep.KindStream, Name: owner.Name(), AgeMs: o.age.Milliseconds(), Attached: o.attached}
				got := s.Check(o.at, "e", c.rank, []sweep.Holding{h}, func(core.Stream) sweep.Presence { return o.presence })
				if len(got) == 0 {
					continue
				}
				assert.Equal(t, got[0].Reason, c.want, "at %v", o.at)
				assert.Assert(t, o.at >= c.at && o.at <= c.at+sweep.Interval, "at %v", o.at)
				return
			}
			assert.Equal(t, c.want, sweep.Reason(""), "nothing was swept")
		})
	}
}

func TestForeignNamesAreLeftAlone(t *testing.T) {
	s := sweep.New()
	list := []sweep.Holding{{Kind: sweep.KindStream, Name: "somebody else's", AgeMs: 1 << 40}}
	got := s.Check(0, "e", 0, list, func(core.Stream) sweep.Presence { return sweep.Replaced })
	assert.Equal(t, len(got), 0)
}

func TestNamesTellTheirOwner(t *testing.T) {
	for _, name := range []string{
		owner.Name(),
		core.Reservation{Stream: owner, Try: 7}.Name(),
		core.Export{Stream: owner, Number: 2}.Name(),
	} {
		got, err := core.ParseOwner(name)
		assert.NilError(t, err)
		assert.Equal(t, got, owner)
	}
}
