package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"carobshunt/internal/model"
)

// Deployment describes a deployment for the generator.
type Deployment struct {
	Name string
	// Teams lists the large teams first.
	Teams []string
	// Model is the name of the model that the engines serve.
	Model string
	// OrderService and LookupService name plain services; calls to LookupService are idempotent, those to OrderService
	// are not.
	OrderService, LookupService string
	Engines                     int
}

// Deployments returns the deployments; the first largeTeams teams of each are the large ones.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "sk-west", Model: "newsroom", OrderService: "notices", LookupService: "schedule", Engines: 20,
			Teams: []string{
				"bratislava", "kosice", "zilina", "nitra", "trnava", "presov", "trencin", "banska-bystrica", "archive",
				"schedule-desk",
			},
		},
		{
			Name: "etela-suomi", Model: "answers", OrderService: "orders", LookupService: "stock", Engines: 20,
			Teams: []string{
				"handsets", "portal", "dispatch-desk", "contracts", "route-notes", "billing", "returns", "warehouse",
				"night-shift", "quality",
			},
		},
	}
}

// Constants of the reference mix.
const (
	largeTeams = 3
	// largeTeamPercent is the percentage of requests that the large teams send together.
	largeTeamPercent = 70
	serviceTokens    = 100
	serviceBudget    = 10 * time.Second
)

// Phase is a period of a generated trace with a steady load.
type Phase struct {
	Length time.Duration
	// Rate is the number of requests to model engines per second; calls to plain services come on top.
	Rate float64
	// Bands replaces the reference mix if set.
	Bands []Band
	// Team sends all requests if set; otherwise they are spread over all teams.
	Team string
}

// Generator generates one trace. The same seed gives the same trace.
type Generator struct {
	deployment Deployment
	rng        *rand.Rand
	trace      *Trace
	serial     int
}

// NewGenerator returns a generator for a deployment.
func NewGenerator(deployment Deployment, seed uint64) *Generator {
	g := &Generator{deployment: deployment, rng: rand.New(rand.NewPCG(seed, 0x7472))}
	g.trace = &Trace{Header: Header{Format: formatVersion, Deployment: deployment.Name, Generated: true, Seed: seed}}
	return g
}

// Generate generates a trace of consecutive phases.
func (g *Generator) Generate(name, title string, phases ...Phase) *Trace {
	g.trace.Header.Generator = name
	g.trace.Header.Title = title
	at := time.Duration(0)
	for _, p := range phases {
		g.addPhase(at, p)
		at += p.Length
	}
	if name == string(TeamFlood) {
		g.addFlood(phases[0])
	}
	g.trace.Header.LengthMs = at.Milliseconds()
	slices.SortStableFunc(g.trace.Requests, func(a, b Request) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return g.trace
}

// addPhase adds Poisson arrivals; servicePercent of them are calls to plain services.
func (g *Generator) addPhase(start time.Duration, p Phase) {
	if p.Rate <= 0 {
		return
	}
	rate := p.Rate / (1 - servicePercent/100.0)
	bands := p.Bands
	if bands == nil {
		bands = Bands()
	}
	for at := g.interarrivalTime(rate); at < p.Length; at += g.interarrivalTime(rate) {
		if g.rng.Float64() < servicePercent/100.0 {
			g.add(p.assignTeam(g.serviceCall(start + at)))
			continue
		}
		g.add(p.assignTeam(g.prompt(start+at, g.pickBand(bands))))
	}
}

// assignTeam assigns a request and its prefix to the phase's team, if it has one: teams share no prefixes.
func (p Phase) assignTeam(r Request) Request {
	if p.Team == "" {
		return r
	}
	if rest, ok := strings.CutPrefix(r.Prefix, r.Team); ok && r.Prefix != "" {
		r.Prefix = p.Team + rest
	}
	r.Team = p.Team
	return r
}

// interarrivalTime returns a random time between two arrivals.
func (g *Generator) interarrivalTime(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *Generator) add(r Request) {
	g.serial++
	r.ID = fmt.Sprintf("r%07d", g.serial)
	g.trace.Requests = append(g.trace.Requests, r)
}

// pickBand returns a random band, weighted by Percent.
func (g *Generator) pickBand(bands []Band) Band {
	total := 0.0
	for _, b := range bands {
		total += b.Percent
	}
	at := g.rng.Float64() * total
	for _, b := range bands {
		if at < b.Percent {
			return b
		}
		at -= b.Percent
	}
	return bands[len(bands)-1]
}

func (g *Generator) logUniform(from, to float64) float64 {
	return from * math.Exp(g.rng.Float64()*math.Log(to/from))
}

func (g *Generator) pickTeam() string {
	if g.rng.IntN(100) < largeTeamPercent {
		return g.deployment.Teams[g.rng.IntN(largeTeams)]
	}
	return g.deployment.Teams[largeTeams+g.rng.IntN(len(g.deployment.Teams)-largeTeams)]
}

// prompt returns a request to a model engine with a random prompt length of the band.
func (g *Generator) prompt(at time.Duration, b Band) Request {
	tokens := int64(g.logUniform(b.From, b.To))
	r := Request{
		AtMs:         at.Milliseconds(),
		Team:         g.pickTeam(),
		Model:        g.deployment.Model,
		PromptTokens: max(tokens, 1),
		AnswerTokens: int64(g.logUniform(minAnswerTokens, maxAnswerTokens)),
		Idempotent:   true,
		BudgetMs:     b.Budget.Milliseconds(),
	}
	if b.Shared > 0 {
		r.Prefix = fmt.Sprintf("%s-%s-%d", r.Team, b.Name, g.rng.IntN(b.Prefixes))
		r.PrefixTokens = int64(float64(tokens) * b.Shared)
	}
	return r
}

// serviceCall returns a call to a plain service; on average a third of them are not idempotent.
func (g *Generator) serviceCall(at time.Duration) Request {
	r := Request{
		AtMs:         at.Milliseconds(),
		Team:         g.pickTeam(),
		Model:        g.deployment.LookupService,
		PromptTokens: serviceTokens,
		AnswerTokens: 1,
		Idempotent:   true,
		BudgetMs:     serviceBudget.Milliseconds(),
	}
	if g.rng.IntN(3) == 0 {
		r.Model = g.deployment.OrderService
		r.Idempotent = false
	}
	return r
}

// Capacity returns the capacity of the deployment's engines.
func (d Deployment) Capacity() Capacity { return CapacityOf(model.Reference(), d.Engines) }
