package trace

import (
	"fmt"
	"time"

	"carobshunt/api"
)

// Scenarios that reproduce reported incidents, each as a small trace.
const (
	// LateDrafts sends short prompts (drafts) of one team while another team's long archive prompts run, which made the
	// drafts late.
	LateDrafts Scenario = "late-drafts"
	// StalledDigests sends middle prompts (archive digests) of one team, which stalled behind the prompts of large teams.
	StalledDigests Scenario = "stalled-digests"
	// DoubledNotice submits non-idempotent calls (notices) twice each while an entry host dies.
	DoubledNotice Scenario = "doubled-notice"
	// SlowLookups submits idempotent calls (lookups) twice each while an availability zone is cut off.
	SlowLookups Scenario = "slow-lookups"
)

// Incidents lists the scenarios of the incidents.
func Incidents() []Scenario {
	return []Scenario{LateDrafts, StalledDigests, DoubledNotice, SlowLookups}
}

// Constants of the incidents.
const (
	incidentLength  = 40 * time.Second
	draftsPerSecond = 4
	draftTokens     = 3_000
	draftAnswer     = 200
	archiveTokens   = 300_000
	archivePrompts  = 20
	digestTokens    = 60_000
	digestAnswer    = 300
	digests         = 25
	summaryTokens   = 50_000
	summaryPace     = 250 * time.Millisecond
	noticesEach     = 400 * time.Millisecond
	hostDiesAt      = 15 * time.Second
	cutAt           = 15 * time.Second
)

// stated returns an upper bound of a measure for a group of the report.
func stated(measure, group string, atMost float64) Bound {
	return Bound{Measure: measure, Group: group, AtMost: &atMost}
}

// incident returns the trace of an incident, or nil for another scenario.
func incident(recipe Recipe, user User) *Trace {
	g := NewGenerator(user, recipe.Seed)
	switch recipe.Scenario {
	case LateDrafts:
		g.drafts(user.Teams[1], 0)
		g.archive(user.Teams[8])
	case StalledDigests:
		g.digests(user.Teams[8])
		for _, team := range user.Teams[:largeTeams] {
			g.drafts(team, 0)
			g.summaries(team)
		}
	case DoubledNotice:
		g.calls(user.Orders, false, api.OutcomeDone, api.OutcomeUnknown)
		g.trace.Faults = []Fault{{AtMs: hostDiesAt.Milliseconds(), Kind: KillHost, Subject: user.network() + ".1.2:7400"}}
	case SlowLookups:
		g.calls(user.Lookups, true, api.OutcomeDone)
		g.trace.Faults = []Fault{
			{AtMs: cutAt.Milliseconds(), Kind: CutZone, Subject: user.Name + "-2"},
			{AtMs: (cutAt + time.Second).Milliseconds(), Kind: HealZone, Subject: user.Name + "-2"},
		}
	default:
		return nil
	}
	t := g.Run(string(recipe.Scenario), "incident: "+string(recipe.Scenario), Phase{Length: incidentLength})
	t.Header.Expect = incidentBounds(recipe.Scenario)
	return t
}

func incidentBounds(s Scenario) []Bound {
	short := Bands()[0].Name
	switch s {
	case StalledDigests:
		return []Bound{stated("first_p95_ms", short, 750), stated("failed", "", 0)}
	case LateDrafts:
		return []Bound{stated("first_p95_ms", short, 750), stated("failed", "", 0), stated("late", "", 0)}
	case DoubledNotice:
		return []Bound{stated("failed", "", 0), stated("attempts", "", 1.1)}
	}
	return []Bound{stated("failed", "", 0), stated("unknown", "", 0)}
}

// drafts adds short prompts of one team at a steady rate; all must be done.
func (g *Generator) drafts(team string, from time.Duration) {
	for at := from; at < incidentLength; at += time.Second / draftsPerSecond {
		g.add(g.fixed(at, team, draftTokens, draftAnswer, Bands()[0].Budget))
	}
}

// archive adds long prompts of one team in quick succession; all must be done.
func (g *Generator) archive(team string) {
	for i := range archivePrompts {
		g.add(g.fixed(time.Duration(i)*digestPace, team, archiveTokens, digestAnswer, Bands()[2].Budget))
	}
}

// digestPace is the time between two digests, or two archive prompts.
const digestPace = 200 * time.Millisecond

// digests adds middle prompts of one team in quick succession; all must be done.
func (g *Generator) digests(team string) {
	for i := range digests {
		g.add(g.fixed(time.Duration(i)*digestPace, team, digestTokens, digestAnswer, Bands()[1].Budget))
	}
}

// summaries adds middle prompts of a large team over the whole incident; any outcome will do.
func (g *Generator) summaries(team string) {
	for at := time.Duration(0); at < incidentLength; at += summaryPace {
		r := g.fixed(at, team, summaryTokens, digestAnswer, Bands()[1].Budget)
		r.Expect = nil
		g.add(r)
	}
}

func (g *Generator) fixed(at time.Duration, team string, prompt, answer int64, budget time.Duration) Request {
	return Request{
		AtMs:         at.Milliseconds(),
		Team:         team,
		Model:        g.user.Model,
		PromptTokens: prompt,
		AnswerTokens: answer,
		Idempotent:   true,
		BudgetMs:     budget.Milliseconds(),
		Expect:       []api.Outcome{api.OutcomeDone},
	}
}

// calls adds calls to a plain service, each of them submitted twice.
func (g *Generator) calls(service string, idempotent bool, expect ...api.Outcome) {
	for at := time.Duration(0); at < incidentLength; at += noticesEach {
		r := g.serviceCall(at)
		r.Model, r.Idempotent, r.Duplicates, r.Expect = service, idempotent, 1, expect
		g.add(r)
	}
}

// network returns the first two bytes of the deployment's IP addresses.
func (u User) network() string {
	return map[string]string{"sk-west": "10.40", "etela-suomi": "10.60"}[u.Name]
}

// IncidentFile returns the name of the file with an incident's trace.
func IncidentFile(deployment string, s Scenario) string {
	return fmt.Sprintf("%s-%s.jsonl", deployment, s)
}
