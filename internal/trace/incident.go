package trace

import (
	"fmt"
	"time"

	"carobshunt/api"
)

// The incidents that users told of, each as a small trace of its own.
const (
	// LateDrafts: morning drafts of one affiliate come back late beside long archive work.
	LateDrafts Scenario = "late-drafts"
	// StalledDigests: archive digests stall while large teams send drafts.
	StalledDigests Scenario = "stalled-digests"
	// DoubledNotice: notices that may not be repeated are sent twice while an entry host dies.
	DoubledNotice Scenario = "doubled-notice"
	// SlowLookups: look-ups that may be repeated are asked again while an availability zone is cut.
	SlowLookups Scenario = "slow-lookups"
)

// Incidents lists the scenarios of the incidents.
func Incidents() []Scenario {
	return []Scenario{LateDrafts, StalledDigests, DoubledNotice, SlowLookups}
}

// Shape of the incidents.
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

// stated makes a bound for a group of the report.
func stated(measure, group string, atMost float64) Bound {
	return Bound{Measure: measure, Group: group, AtMost: &atMost}
}

// incident makes the trace of an incident, or nil for another scenario.
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

// drafts adds short prompts of one team at an even pace; all must be done.
func (g *Generator) drafts(team string, from time.Duration) {
	for at := from; at < incidentLength; at += time.Second / draftsPerSecond {
		g.add(g.fixed(at, team, draftTokens, draftAnswer, Bands()[0].Budget))
	}
}

// archive adds long prompts of one team at once.
func (g *Generator) archive(team string) {
	for i := range archivePrompts {
		g.add(g.fixed(time.Duration(i)*digestPace, team, archiveTokens, digestAnswer, Bands()[2].Budget))
	}
}

// digestPace is the time between two digests.
const digestPace = 200 * time.Millisecond

func (g *Generator) digests(team string) {
	for i := range digests {
		g.add(g.fixed(time.Duration(i)*digestPace, team, digestTokens, digestAnswer, Bands()[1].Budget))
	}
}

// summaries adds middle prompts of a large team for as long as the digests wait.
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

// calls adds calls to a plain service, each sent twice.
func (g *Generator) calls(service string, idempotent bool, expect ...api.Outcome) {
	for at := time.Duration(0); at < incidentLength; at += noticesEach {
		r := g.serviceCall(at)
		r.Model, r.Idempotent, r.Duplicates, r.Expect = service, idempotent, 1, expect
		g.add(r)
	}
}

// network is the beginning of the deployment's addresses.
func (u User) network() string {
	return map[string]string{"sk-west": "10.40", "etela-suomi": "10.60"}[u.Name]
}

// IncidentFile is the name of the file of an incident's trace.
func IncidentFile(deployment string, s Scenario) string {
	return fmt.Sprintf("%s-%s.jsonl", deployment, s)
}
