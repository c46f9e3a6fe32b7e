// Package fair tells which teams take more than their share of the work while others want it too. Shares are by the
// teams' published weights among the teams that have sent work lately.
package fair

import (
	"time"

	"carobshunt/internal/core"
)

// window is the time over which a team's work is averaged.
const window = 20 * time.Second

// tolerance is how many times its share a team may take before it counts as over it.
const tolerance = 1.5

// slackTokens is how much more than that a team may have taken: with few requests in the window, parts are a matter of
// chance.
const slackTokens = 12_000

// activePart is the part of the work from which on a team counts as active.
const activePart = 0.005

// Shares follows the admitted work of each team, in tokens, each amount fading away with the window. It is not safe for
// concurrent use.
type Shares struct {
	work    map[string]float64
	total   float64
	updated core.Time
}

// New returns shares that have seen nothing.
func New() *Shares { return &Shares{work: make(map[string]float64)} }

// Add takes note of admitted work, in tokens.
func (s *Shares) Add(now core.Time, team string, tokens int64) {
	s.fade(now)
	s.work[team] += float64(tokens)
	s.total += float64(tokens)
}

// fadeSteps is how many steps of fading a window has at the most.
const fadeSteps = 40

func (s *Shares) fade(now core.Time) {
	passed := now - s.updated
	if passed < window/fadeSteps {
		return
	}
	s.updated = now
	kept := max(1-passed.Seconds()/window.Seconds(), 0)
	for team, work := range s.work {
		if work *= kept; work < 1 {
			delete(s.work, team)
			continue
		}
		s.work[team] = work
	}
	s.total = sum(s.work)
}

// sum adds in whole tokens, so that the order of the map does not matter.
func sum(work map[string]float64) float64 {
	total := int64(0)
	for _, w := range work {
		total += int64(w)
	}
	return float64(total)
}

// Over tells whether a team has taken more than its share of the work lately.
func (s *Shares) Over(now core.Time, team string, weight func(team string) int64) bool {
	s.fade(now)
	active := weight(team)
	for name, work := range s.work {
		if name != team && work >= activePart*s.total {
			active += weight(name)
		}
	}
	share := s.total * float64(weight(team)) / float64(active)
	return s.work[team] > tolerance*share+slackTokens
}
