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

// Constants of the incidents; prompts and answers are in tokens.
const (
	incidentLength  = 40 * time.Second
	draftsPerSecond = 4
	draftTokens     = 3_000
	draftAnswer     = 200
	archiveTokens   = 300_000
	archiveCount    = 20
	digestTokens    = 60_000
	digestAnswer    = 300
	digestCount     = 25
	summaryTokens   = 50_000
	summaryInterval = 250 * time.Millisecond
	callInterval    = 400 * time.Millisecond
	hostDiesAt      = 15 * time.Second
	zoneCutAt       = 15 * time.Second
)

// upperBound returns an upper bound of a measure for a group of the report.
func upperBound(measure, group string, atMost float64) Bound {
	return Bound{Measure: measure, Group: group, AtMost: &atMost}
}

// generateIncident returns the trace of an incident, or nil for another scenario.
func generateIncident(opts GenerateOptions, deployment Deployment) *Trace {
	g := NewGenerator(deployment, opts.Seed)
	switch opts.Scenario {
	case LateDrafts:
		g.addDrafts(deployment.Teams[1], 0)
		g.addArchivePrompts(deployment.Teams[8])
	case StalledDigests:
		g.addDigests(deployment.Teams[8])
		for _, team := range deployment.Teams[:largeTeams] {
			g.addDrafts(team, 0)
			g.addSummaries(team)
		}
	case DoubledNotice:
		g.addServiceCalls(deployment.OrderService, false, api.OutcomeDone, api.OutcomeUnknown)
		g.trace.Faults = []Fault{{AtMs: hostDiesAt.Milliseconds(), Kind: KillHost, Subject: deployment.addressPrefix() + ".1.2:7400"}}
	case SlowLookups:
		g.addServiceCalls(deployment.LookupService, true, api.OutcomeDone)
		g.trace.Faults = []Fault{
			{AtMs: zoneCutAt.Milliseconds(), Kind: CutZone, Subject: deployment.Name + "-2"},
			{AtMs: (zoneCutAt + time.Second).Milliseconds(), Kind: HealZone, Subject: deployment.Name + "-2"},
		}
	default:
		return nil
	}
	t := g.Generate(string(opts.Scenario), "incident: "+string(opts.Scenario), Phase{Length: incidentLength})
	t.Header.Expect = incidentBounds(opts.Scenario)
	return t
}

func incidentBounds(s Scenario) []Bound {
	short := Bands()[0].Name
	switch s {
	case StalledDigests:
		return []Bound{upperBound("first_p95_ms", short, 750), upperBound("failed", "", 0)}
	case LateDrafts:
		return []Bound{upperBound("first_p95_ms", short, 750), upperBound("failed", "", 0), upperBound("late", "", 0)}
	case DoubledNotice:
		return []Bound{upperBound("failed", "", 0), upperBound("attempts", "", 1.1)}
	}
	return []Bound{upperBound("failed", "", 0), upperBound("unknown", "", 0)}
}

// addDrafts adds short prompts of one team at a steady rate; all must be done.
func (g *Generator) addDrafts(team string, from time.Duration) {
	for at := from; at < incidentLength; at += time.Second / draftsPerSecond {
		g.add(g.fixedPrompt(at, team, draftTokens, draftAnswer, Bands()[0].Budget))
	}
}

// addArchivePrompts adds long prompts of one team in quick succession; all must be done.
func (g *Generator) addArchivePrompts(team string) {
	for i := range archiveCount {
		g.add(g.fixedPrompt(time.Duration(i)*digestInterval, team, archiveTokens, digestAnswer, Bands()[2].Budget))
	}
}

// digestInterval is the time between two digests, or two archive prompts.
const digestInterval = 200 * time.Millisecond

// addDigests adds middle prompts of one team in quick succession; all must be done.
func (g *Generator) addDigests(team string) {
	for i := range digestCount {
		g.add(g.fixedPrompt(time.Duration(i)*digestInterval, team, digestTokens, digestAnswer, Bands()[1].Budget))
	}
}

// addSummaries adds middle prompts of a large team over the whole incident; any outcome will do.
func (g *Generator) addSummaries(team string) {
	for at := time.Duration(0); at < incidentLength; at += summaryInterval {
		r := g.fixedPrompt(at, team, summaryTokens, digestAnswer, Bands()[1].Budget)
		r.Expect = nil
		g.add(r)
	}
}

// fixedPrompt returns a request to a model engine with the given lengths in tokens, which must be done.
func (g *Generator) fixedPrompt(at time.Duration, team string, prompt, answer int64, budget time.Duration) Request {
	return Request{
		AtMs:         at.Milliseconds(),
		Team:         team,
		Model:        g.deployment.Model,
		PromptTokens: prompt,
		AnswerTokens: answer,
		Idempotent:   true,
		BudgetMs:     budget.Milliseconds(),
		Expect:       []api.Outcome{api.OutcomeDone},
	}
}

// addServiceCalls adds calls to a plain service, each of them submitted twice.
func (g *Generator) addServiceCalls(service string, idempotent bool, expect ...api.Outcome) {
	for at := time.Duration(0); at < incidentLength; at += callInterval {
		r := g.serviceCall(at)
		r.Model, r.Idempotent, r.Duplicates, r.Expect = service, idempotent, 1, expect
		g.add(r)
	}
}

// addressPrefix returns the first two bytes of the deployment's IP addresses.
func (d Deployment) addressPrefix() string {
	return map[string]string{"sk-west": "10.40", "etela-suomi": "10.60"}[d.Name]
}

// IncidentFile returns the name of the file with an incident's trace.
func IncidentFile(deployment string, s Scenario) string {
	return fmt.Sprintf("%s-%s.jsonl", deployment, s)
}
