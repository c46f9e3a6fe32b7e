// Package fair detects teams that use more than their share of the work. Shares are in proportion to the teams'
// published weights, among the teams with recent work.
package fair

import (
	"time"

	"carobshunt/internal/core"
)

// window is the time constant over which a team's work decays.
const window = 20 * time.Second

// tolerance is the multiple of its share that a team may use before it counts as over it.
const tolerance = 1.5

// slackTokens is the work allowed in addition, in tokens: with few requests in the window, a team's part of the work is
// random.
const slackTokens = 12_000

// activeFraction is the fraction of all work from which a team counts as active.
const activeFraction = 0.005

// Shares tracks the recently admitted work of each team, in prompt tokens that decay over the window. It is not safe
// for concurrent use.
type Shares struct {
	work    map[string]float64
	total   float64
	updated core.Time
}

// New returns Shares without any work.
func New() *Shares { return &Shares{work: make(map[string]float64)} }

// Add records admitted work, in prompt tokens.
func (s *Shares) Add(now core.Time, team string, tokens int64) {
	s.decay(now)
	s.work[team] += float64(tokens)
	s.total += float64(tokens)
}

// decaySteps is the maximum number of decay steps per window.
const decaySteps = 40

// decay reduces all work by the time since the last step, unless that is less than a step.
func (s *Shares) decay(now core.Time) {
	elapsed := now - s.updated
	if elapsed < window/decaySteps {
		return
	}
	s.updated = now
	retained := max(1-elapsed.Seconds()/window.Seconds(), 0)
	for team, work := range s.work {
		if work *= retained; work < 1 {
			delete(s.work, team)
			continue
		}
		s.work[team] = work
	}
	s.total = sum(s.work)
}

// sum adds whole tokens, so that the result does not depend on the order of the map.
func sum(work map[string]float64) float64 {
	total := int64(0)
	for _, w := range work {
		total += int64(w)
	}
	return float64(total)
}

// Over reports whether a team has recently used more than tolerance times its share of the work plus slackTokens. It
// first lets the work of all teams decay.
func (s *Shares) Over(now core.Time, team string, weight func(team string) int64) bool {
	s.decay(now)
	active := weight(team)
	for name, work := range s.work {
		if name != team && work >= activeFraction*s.total {
			active += weight(name)
		}
	}
	share := s.total * float64(weight(team)) / float64(active)
	return s.work[team] > tolerance*share+slackTokens
}
