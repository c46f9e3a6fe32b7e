package trace

import (
	"math"
	"time"

	"carobshunt/internal/model"
)

// Band is a range of prompt lengths, in tokens; lengths are log-uniform between From and To.
type Band struct {
	Name     string
	From, To float64
	// Percent is the band's weight in the mix; in the reference mix, the percentage of prompts to model engines.
	Percent float64
	// Shared is the fraction of each prompt, from its beginning, that is one of the team's shared prefixes.
	Shared float64
	// Prefixes is the number of shared prefixes of each team.
	Prefixes int
	// Budget is the time within which a request must be answered.
	Budget time.Duration
}

// Bands returns the reference mix of prompt lengths: short, middle and long prompts.
func Bands() []Band {
	return []Band{
		{Name: "1k-4k", From: 1_000, To: 4_000, Percent: 70, Budget: 10 * time.Second},
		{Name: "4k-100k", From: 4_000, To: 100_000, Percent: 28, Shared: 0.5, Prefixes: 3, Budget: 120 * time.Second},
		{Name: "100k-1M", From: 100_000, To: 1_000_000, Percent: 2, Shared: 0.5, Prefixes: 1, Budget: 900 * time.Second},
	}
}

// Constants of the reference mix.
const (
	// servicePercent is the percentage of all requests that go to plain services.
	servicePercent  = 10
	minAnswerTokens = 50
	maxAnswerTokens = 1_000
)

// RequestCost is the mean cost of one request to a model engine.
type RequestCost struct {
	// PrefillWork is the prefill work in weighted tokens, PrefillTokens the number of prompt tokens that need prefill.
	PrefillWork, PrefillTokens float64
	// EffectiveWork and EffectiveTokens include the losses of groups of engines: a part of their prefill rate, and all
	// cached prefixes, since their reservations leave no memory for the cache.
	EffectiveWork, EffectiveTokens float64
	// AnswerTokens is the mean answer length in tokens.
	AnswerTokens float64
	// MemorySeconds is the KV memory that a request holds times how long it holds it, in token-seconds.
	MemorySeconds float64
}

// lengthSamples is the number of prompt lengths sampled from a band to compute means.
const lengthSamples = 4096

// eachLength calls f for prompt lengths that represent equal parts of a log-uniform band, with the share of each in all
// requests to model engines.
func (b Band) eachLength(f func(tokens, share float64)) {
	span := math.Log(b.To / b.From)
	for i := range lengthSamples {
		quantile := (float64(i) + 0.5) / lengthSamples
		f(b.From*math.Exp(quantile*span), b.Percent/100/lengthSamples)
	}
}

// MeanRequestCost returns the mean cost of a request in the reference mix.
func MeanRequestCost(p model.Params) RequestCost {
	span := math.Log(maxAnswerTokens / float64(minAnswerTokens))
	cost := RequestCost{AnswerTokens: (maxAnswerTokens - minAnswerTokens) / span}
	for _, b := range Bands() {
		b.eachLength(func(tokens, share float64) {
			cached := tokens * b.Shared
			work := p.PrefillWork(int64(cached), int64(tokens))
			groupSize, efficiency := p.GroupSize(int64(tokens), maxAnswerTokens), 1.0
			if groupSize > 1 {
				efficiency = p.GroupEfficiency
			}
			prefillSeconds := work / (p.PrefillTokensPerSecond * float64(groupSize) * efficiency)
			decodeSeconds := cost.AnswerTokens * p.IterationTime(meanIterationStreams, 0).Seconds()
			cost.PrefillWork += share * work
			cost.PrefillTokens += share * (tokens - cached)
			effectiveTokens := tokens - cached
			if groupSize > 1 {
				work, effectiveTokens = p.PrefillWork(0, int64(tokens)), tokens
			}
			cost.EffectiveWork += share * work / efficiency
			cost.EffectiveTokens += share * effectiveTokens
			cost.MemorySeconds += share * tokens / efficiency * (prefillSeconds + decodeSeconds)
		})
	}
	return cost
}

// Capacity is an offered load, in requests to model engines per second.
type Capacity struct {
	// Prefill is the load whose prefill work, with cached prefixes, equals the prefill rate of all engines; Memory is
	// the load whose KV token-seconds per second equal their memory. Reference is the smaller of the two.
	Prefill, Memory, Reference float64
	// Attainable is the most that engines can serve when they are never idle and every iteration prefills as many tokens
	// as it may: it counts the fixed time of each iteration too, and the losses of groups of engines.
	Attainable float64
}

// meanIterationStreams is the number of streams that an iteration is assumed to have.
const meanIterationStreams = 12

// CapacityOf returns the capacity of a fleet of engines for the reference mix.
func CapacityOf(p model.Params, engines int) Capacity {
	cost := MeanRequestCost(p)
	n := float64(engines)
	iteration := p.IterationTime(meanIterationStreams, 0).Seconds()
	prefillSeconds := cost.PrefillWork / p.PrefillTokensPerSecond
	iterations := cost.EffectiveTokens / float64(p.IterationPrefillTokens)
	busySeconds := cost.EffectiveWork/p.PrefillTokensPerSecond + iterations*iteration
	c := Capacity{
		Prefill:    n / prefillSeconds,
		Memory:     n * float64(p.MemoryTokens) / cost.MemorySeconds,
		Attainable: n / busySeconds,
	}
	c.Reference = min(c.Prefill, c.Memory)
	return c
}
