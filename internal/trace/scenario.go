package trace

import (
	"fmt"
	"time"
)

// Scenario names a kind of generated trace.
type Scenario string

// The scenarios.
const (
	// Ordinary is a steady load.
	Ordinary Scenario = "ordinary"
	// Burst is a steady load that rises to 150% of the capacity in the middle third.
	Burst Scenario = "burst"
	// Rush is the hourly rush before a news bulletin: three times as many short prompts in the middle third.
	Rush Scenario = "rush"
	// RouteNotes is a month of route notes: middle prompts of 20,000 to 100,000 tokens with longer shared prefixes, and
	// no long prompts.
	RouteNotes Scenario = "route-notes"
	// Contracts is the time before contract renewals: half the rate, with twice the percentage of long prompts, of
	// 300,000 to 1,000,000 tokens.
	Contracts Scenario = "contracts"
	// EngineDies, HostDies and ZoneCut are Ordinary with a fault in the middle.
	EngineDies Scenario = "engine-dies"
	HostDies   Scenario = "host-dies"
	ZoneCut    Scenario = "zone-cut"
)

// Scenarios lists all scenarios but the incidents.
func Scenarios() []Scenario {
	return []Scenario{Ordinary, Burst, Rush, RouteNotes, Contracts, EngineDies, HostDies, ZoneCut, TeamFlood}
}

// CapacityKind selects the capacity that a load is a percentage of.
type CapacityKind string

// The kinds of capacity.
const (
	// ReferenceCapacity is Capacity.Reference.
	ReferenceCapacity CapacityKind = "reference"
	// AttainableCapacity is Capacity.Attainable.
	AttainableCapacity CapacityKind = "attainable"
)

// GenerateOptions holds the parameters of a generated trace.
type GenerateOptions struct {
	Scenario   Scenario
	Deployment string
	Seed       uint64
	// Percent is the steady load as a percentage of the capacity that CapacityKind selects.
	Percent      float64
	CapacityKind CapacityKind
	Length       time.Duration
}

// OptionError reports an unknown scenario or deployment.
type OptionError struct{ Field, Value string }

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("no %s is named %q", e.Field, e.Value) }

// Constants of the scenarios.
const (
	burstPercent       = 150
	rushFactor         = 3
	notesSharedPercent = 60
	notesBandPercent   = 20
	warmupDivisor      = 4 // measurements begin after a quarter of the trace, when queues and caches are filled
	faultTimeDivisor   = 2 // faults occur in the middle of the trace
	zoneCutLength      = 30 * time.Second
	percent            = 100
	contractsFactor    = 2
)

// Generate generates a trace. An unknown scenario or deployment is an *OptionError. The incidents ignore the load and the
// length of opts.
func Generate(opts GenerateOptions) (*Trace, error) {
	deployment, err := findDeployment(opts.Deployment)
	if err != nil {
		return nil, err
	}
	if t := generateIncident(opts, deployment); t != nil {
		return t, nil
	}
	g := NewGenerator(deployment, opts.Seed)
	capacity := deployment.Capacity().Reference
	if opts.CapacityKind == AttainableCapacity {
		capacity = deployment.Capacity().Attainable
	}
	phases, err := opts.phases(capacity)
	if err != nil {
		return nil, err
	}
	title := fmt.Sprintf("%s at %.0f%% of the %s capacity", opts.Scenario, opts.Percent, opts.CapacityKind)
	t := g.Generate(string(opts.Scenario), title, phases...)
	t.Header.MeasureFromMs = opts.Length.Milliseconds() / warmupDivisor
	t.Faults = opts.faults(deployment)
	return t, nil
}

func findDeployment(name string) (Deployment, error) {
	for _, d := range Deployments() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, &OptionError{Field: "deployment", Value: name}
}

func (opts GenerateOptions) phases(capacity float64) ([]Phase, error) {
	rate := capacity * opts.Percent / percent
	third := opts.Length / 3
	steady := Phase{Length: opts.Length, Rate: rate}
	switch opts.Scenario {
	case Ordinary, EngineDies, HostDies, ZoneCut, TeamFlood:
		return []Phase{steady}, nil
	case Burst:
		calm := Phase{Length: third, Rate: rate}
		return []Phase{calm, {Length: third, Rate: capacity * burstPercent / percent}, calm}, nil
	case Rush:
		calm := Phase{Length: third, Rate: rate}
		return []Phase{calm, {Length: third, Rate: rate * rushRate(), Bands: rushBands()}, calm}, nil
	case RouteNotes:
		return []Phase{{Length: opts.Length, Rate: rate, Bands: notesBands()}}, nil
	case Contracts:
		return []Phase{{Length: opts.Length, Rate: rate / contractsFactor, Bands: contractsBands()}}, nil
	}
	return nil, &OptionError{Field: "scenario", Value: string(opts.Scenario)}
}

// rushBands returns the mix of the rush: three times as many short prompts as in the reference mix.
func rushBands() []Band {
	bands := Bands()
	bands[0].Percent *= rushFactor
	return bands
}

// rushRate returns the request rate of the rush over the rate before it.
func rushRate() float64 {
	return 1 + Bands()[0].Percent*(rushFactor-1)/percent
}

// notesBands returns the mix of RouteNotes: middle prompts are longer and share more of a prompt than in the reference
// mix, and there are no long ones.
func notesBands() []Band {
	bands := Bands()
	bands[1].From = 20_000
	bands[1].Percent = notesBandPercent
	bands[1].Shared = notesSharedPercent / 100.0
	bands[2].Percent = 0
	return bands
}

// contractsBands returns the mix of Contracts: twice the percentage of long prompts, all above 300,000 tokens.
func contractsBands() []Band {
	bands := Bands()
	bands[2].From = 300_000
	bands[2].Percent *= contractsFactor
	return bands
}

// faults returns the scenario's faults. The addresses are those in the repository's settings of both deployments.
func (opts GenerateOptions) faults(deployment Deployment) []Fault {
	net := deployment.addressPrefix()
	at := opts.Length.Milliseconds() / faultTimeDivisor
	switch opts.Scenario {
	case EngineDies:
		return []Fault{{AtMs: at, Kind: KillEngine, Subject: net + ".2.7:7600"}}
	case HostDies:
		return []Fault{{AtMs: at, Kind: KillHost, Subject: net + ".1.2:7400"}}
	case ZoneCut:
		zone := opts.Deployment + "-3"
		return []Fault{
			{AtMs: at, Kind: CutZone, Subject: zone},
			{AtMs: at + zoneCutLength.Milliseconds(), Kind: HealZone, Subject: zone},
		}
	}
	return nil
}
