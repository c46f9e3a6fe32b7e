package trace

import (
	"fmt"
	"time"
)

// Scenario is a kind of trace that the generator makes.
type Scenario string

// The scenarios.
const (
	// Ordinary is a day at a steady load.
	Ordinary Scenario = "ordinary"
	// Burst is a steady load with a stretch at 150% of the same capacity in its middle third.
	Burst Scenario = "burst"
	// Rush is the hourly rush: short drafts come three times as often before the bulletin.
	Rush Scenario = "rush"
	// RouteNotes is a month of route notes: many prompts of 20,000 to 100,000 tokens.
	RouteNotes Scenario = "route-notes"
	// Contracts is a region's contracts before renewals: prompts of 300,000 to 1,000,000 tokens.
	Contracts Scenario = "contracts"
	// EngineDies, HostDies and ZoneCut are ordinary days with one fault in the middle.
	EngineDies Scenario = "engine-dies"
	HostDies   Scenario = "host-dies"
	ZoneCut    Scenario = "zone-cut"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Ordinary, Burst, Rush, RouteNotes, Contracts, EngineDies, HostDies, ZoneCut, TeamFlood}
}

// Scale says of which capacity a load is a share.
type Scale string

// The scales.
const (
	// OfReference is the capacity by formula.
	OfReference Scale = "reference"
	// OfAttainable is the load that engines could carry at most without a pause.
	OfAttainable Scale = "attainable"
)

// Recipe is what a scenario is made from.
type Recipe struct {
	Scenario   Scenario
	Deployment string
	Seed       uint64
	// Percent is the steady load as a share of the capacity.
	Percent float64
	Scale   Scale
	Length  time.Duration
}

// RecipeError reports a recipe that names something unknown.
type RecipeError struct{ Field, Value string }

// Error implements error.
func (e *RecipeError) Error() string { return fmt.Sprintf("no %s is named %q", e.Field, e.Value) }

// Shares and factors of the scenarios.
const (
	burstPercent   = 150
	rushFactor     = 3
	notesPercent   = 60
	notesShare     = 20
	measureAfter   = 4 // a quarter of the trace, to fill queues and caches
	faultAt        = 2 // the middle of the trace
	cutLength      = 30 * time.Second
	percent        = 100
	contractsSplit = 2
)

// Generate makes the trace of a recipe.
func Generate(recipe Recipe) (*Trace, error) {
	user, err := findUser(recipe.Deployment)
	if err != nil {
		return nil, err
	}
	if t := incident(recipe, user); t != nil {
		return t, nil
	}
	g := NewGenerator(user, recipe.Seed)
	capacity := user.Capacity().Reference
	if recipe.Scale == OfAttainable {
		capacity = user.Capacity().Attainable
	}
	phases, err := recipe.phases(capacity)
	if err != nil {
		return nil, err
	}
	title := fmt.Sprintf("%s at %.0f%% of the %s capacity", recipe.Scenario, recipe.Percent, recipe.Scale)
	t := g.Run(string(recipe.Scenario), title, phases...)
	t.Header.MeasureFromMs = recipe.Length.Milliseconds() / measureAfter
	t.Faults = recipe.faults(user)
	return t, nil
}

func findUser(name string) (User, error) {
	for _, u := range Users() {
		if u.Name == name {
			return u, nil
		}
	}
	return User{}, &RecipeError{Field: "deployment", Value: name}
}

func (recipe Recipe) phases(capacity float64) ([]Phase, error) {
	rate := capacity * recipe.Percent / percent
	third := recipe.Length / 3
	steady := Phase{Length: recipe.Length, Rate: rate}
	switch recipe.Scenario {
	case Ordinary, EngineDies, HostDies, ZoneCut, TeamFlood:
		return []Phase{steady}, nil
	case Burst:
		calm := Phase{Length: third, Rate: rate}
		return []Phase{calm, {Length: third, Rate: capacity * burstPercent / percent}, calm}, nil
	case Rush:
		calm := Phase{Length: third, Rate: rate}
		return []Phase{calm, {Length: third, Rate: rate * rushRate(), Bands: rushBands()}, calm}, nil
	case RouteNotes:
		return []Phase{{Length: recipe.Length, Rate: rate, Bands: notesBands()}}, nil
	case Contracts:
		return []Phase{{Length: recipe.Length, Rate: rate / contractsSplit, Bands: contractsBands()}}, nil
	}
	return nil, &RecipeError{Field: "scenario", Value: string(recipe.Scenario)}
}

// rushBands has the short band three times as often as the reference mix.
func rushBands() []Band {
	bands := Bands()
	bands[0].Percent *= rushFactor
	return bands
}

// rushRate is the rate of the rush over the rate of the same day without it.
func rushRate() float64 {
	return 1 + Bands()[0].Percent*(rushFactor-1)/percent
}

// notesBands replaces the middle band with route notes that are longer, fewer and share more of a prompt.
func notesBands() []Band {
	bands := Bands()
	bands[1].From = 20_000
	bands[1].Percent = notesShare
	bands[1].Shared = notesPercent / 100.0
	bands[2].Percent = 0
	return bands
}

// contractsBands has twice as many prompts above 300,000 tokens as the reference mix has above 100,000.
func contractsBands() []Band {
	bands := Bands()
	bands[2].From = 300_000
	bands[2].Percent *= contractsSplit
	return bands
}

// faults are the faults of the scenario. The addresses are those of the checked settings of both deployments.
func (recipe Recipe) faults(user User) []Fault {
	net := user.network()
	at := recipe.Length.Milliseconds() / faultAt
	switch recipe.Scenario {
	case EngineDies:
		return []Fault{{AtMs: at, Kind: KillEngine, Subject: net + ".2.7:7600"}}
	case HostDies:
		return []Fault{{AtMs: at, Kind: KillHost, Subject: net + ".1.2:7400"}}
	case ZoneCut:
		zone := recipe.Deployment + "-3"
		return []Fault{
			{AtMs: at, Kind: CutZone, Subject: zone},
			{AtMs: at + cutLength.Milliseconds(), Kind: HealZone, Subject: zone},
		}
	}
	return nil
}
