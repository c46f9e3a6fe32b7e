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

// reading is what a host finds at one instant.
type reading struct {
	at       time.Duration
	presence sweep.Presence
	attached bool
	age      time.Duration
}

// every repeats a reading at each interval from one instant to another.
func every(from, to time.Duration, r reading) []reading {
	var out []reading
	for at := from; at <= to; at += sweep.Interval {
		r.at = at
		out = append(out, r)
	}
	return out
}

func join(parts ...[]reading) []reading {
	var out []reading
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func TestSweeperCancelsOnlyWhatIsProved(t *testing.T) {
	late := budget + sweep.Slack
	for _, c := range []struct {
		name     string
		rank     int
		readings []reading
		// sleep is a pause of the sweeper, from one instant to another.
		sleep [2]time.Duration
		want  sweep.Reason
		// at is when the verdict falls.
		at time.Duration
	}{
		{name: "alive and within its budget", readings: every(0, budget, reading{presence: sweep.Alive})},
		{name: "silent home within the budget", readings: every(0, budget, reading{presence: sweep.Unheard})},
		{
			name: "over its budget since first seen", readings: every(0, 2*budget, reading{presence: sweep.Alive}),
			want: sweep.ReasonOverdue, at: late + time.Second,
		},
		{
			name: "over its budget by the engine's clock", readings: []reading{{presence: sweep.Unheard, age: late}},
			want: sweep.ReasonOverdue,
		},
		{
			name: "later ranks wait longer", rank: 2, readings: every(0, 2*budget, reading{presence: sweep.Alive}),
			want: sweep.ReasonOverdue, at: late + 2*sweep.RankPatience + time.Second,
		},
		{
			name: "process replaced", readings: every(0, budget, reading{presence: sweep.Replaced}),
			want: sweep.ReasonOrphaned, at: sweep.Grace,
		},
		{
			name: "process forgot it", readings: every(0, budget, reading{presence: sweep.Forgotten}),
			want: sweep.ReasonForgotten, at: sweep.Grace,
		},
		{name: "replaced but resumed", readings: every(0, budget, reading{presence: sweep.Replaced, attached: true})},
		{
			name: "one sign of life begins the grace anew",
			readings: join(
				every(0, 6*time.Second, reading{presence: sweep.Replaced}),
				every(8*time.Second, 8*time.Second, reading{presence: sweep.Alive}),
				every(10*time.Second, 16*time.Second, reading{presence: sweep.Replaced}),
				every(18*time.Second, 20*time.Second, reading{presence: sweep.Alive}),
			),
		},
		{
			name: "a sweeper that slept counts nothing from before",
			readings: join(
				every(0, 2*time.Second, reading{presence: sweep.Replaced}),
				every(30*time.Second, 36*time.Second, reading{presence: sweep.Replaced}),
				every(38*time.Second, 40*time.Second, reading{presence: sweep.Alive}),
			),
			sleep: [2]time.Duration{2 * time.Second, 30 * time.Second},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sweep.New()
			stepped := time.Duration(0)
			for _, r := range c.readings {
				for ; stepped < r.at; stepped += 50 * time.Millisecond {
					if stepped <= c.sleep[0] || stepped >= c.sleep[1] {
						s.Step(stepped)
					}
				}
				h := sweep.Holding{Kind: sweep.KindStream, Name: owner.Name(), AgeMs: r.age.Milliseconds(), Attached: r.attached}
				got := s.Judge(r.at, "e", c.rank, []sweep.Holding{h}, func(core.Stream) sweep.Presence { return r.presence })
				if len(got) == 0 {
					continue
				}
				assert.Equal(t, got[0].Reason, c.want, "at %v", r.at)
				assert.Assert(t, r.at >= c.at && r.at <= c.at+sweep.Interval, "at %v", r.at)
				return
			}
			assert.Equal(t, c.want, sweep.Reason(""), "nothing was swept")
		})
	}
}

func TestForeignNamesAreLeftAlone(t *testing.T) {
	s := sweep.New()
	list := []sweep.Holding{{Kind: sweep.KindStream, Name: "somebody else's", AgeMs: 1 << 40}}
	got := s.Judge(0, "e", 0, list, func(core.Stream) sweep.Presence { return sweep.Replaced })
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
