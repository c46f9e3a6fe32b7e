package trace

import (
	"math"
	"time"

	"carobshunt/internal/model"
)

// Band is a range of prompt lengths, log-uniform between its ends, in tokens.
type Band struct {
	Name     string
	From, To float64
	// Percent is the share of the prompts to model engines.
	Percent float64
	// Shared is the part of each prompt that earlier prompts of the team had too.
	Shared float64
	// Documents is the number of shared beginnings of each team.
	Documents int
	Budget    time.Duration
}

// Bands returns the reference mix.
func Bands() []Band {
	return []Band{
		{Name: "1k-4k", From: 1_000, To: 4_000, Percent: 70, Budget: 10 * time.Second},
		{Name: "4k-100k", From: 4_000, To: 100_000, Percent: 28, Shared: 0.5, Documents: 3, Budget: 120 * time.Second},
		{Name: "100k-1M", From: 100_000, To: 1_000_000, Percent: 2, Shared: 0.5, Documents: 1, Budget: 900 * time.Second},
	}
}

// Parts of the mix.
const (
	// servicePercent is the share of all calls that go to plain services.
	servicePercent  = 10
	minAnswerTokens = 50
	maxAnswerTokens = 1_000
)

// Load is the mean cost of one request to a model engine.
type Load struct {
	// Work is weighted prefill work, Raw the prompt tokens that need prefill.
	Work, Raw float64
	// BusyWork and BusyRaw are the same with what groups of engines lose: a part of their rate, and all sharing, since
	// their reservations leave no memory for what earlier prompts left cached.
	BusyWork, BusyRaw float64
	// Answer is the mean answer length in tokens.
	Answer float64
	// MemorySeconds is the mean of the KV memory that a request holds times the time for which it does, in
	// token-seconds.
	MemorySeconds float64
}

// lengthSteps is the number of lengths at which a band is sampled for its means.
const lengthSteps = 4096

// eachLength calls f for lengths that stand for equal parts of a log-uniform band.
func (b Band) eachLength(f func(tokens, share float64)) {
	span := math.Log(b.To / b.From)
	for i := range lengthSteps {
		at := (float64(i) + 0.5) / lengthSteps
		f(b.From*math.Exp(at*span), b.Percent/100/lengthSteps)
	}
}

// MeanLoad returns the mean cost of the reference mix.
func MeanLoad(p model.Params) Load {
	span := math.Log(maxAnswerTokens / float64(minAnswerTokens))
	l := Load{Answer: (maxAnswerTokens - minAnswerTokens) / span}
	for _, b := range Bands() {
		b.eachLength(func(tokens, share float64) {
			cached := tokens * b.Shared
			work := p.Work(int64(cached), int64(tokens))
			members, efficiency := p.Members(int64(tokens), maxAnswerTokens), 1.0
			if members > 1 {
				efficiency = p.GroupEfficiency
			}
			prefill := work / (p.PrefillTokensPerSecond * float64(members) * efficiency)
			decode := l.Answer * p.Iteration(meanStreams, 0).Seconds()
			l.Work += share * work
			l.Raw += share * (tokens - cached)
			alone := tokens - cached
			if members > 1 {
				work, alone = p.Work(0, int64(tokens)), tokens
			}
			l.BusyWork += share * work / efficiency
			l.BusyRaw += share * alone
			l.MemorySeconds += share * tokens / efficiency * (prefill + decode)
		})
	}
	return l
}

// Capacity is an offered load, in requests to model engines per second.
type Capacity struct {
	// Prefill is where the work after sharing equals the fleet's rate of 20,000 tokens a second for each engine;
	// Memory is where KV token-seconds equal the fleet's memory. Reference is the smaller of the two.
	Prefill, Memory, Reference float64
	// Attainable is where engines that are never idle, with full iterations, run out of time: an iteration of at most
	// 512 prompt tokens also takes its fixed time, and a group loses its part.
	Attainable float64
}

// meanStreams is the number of streams in an iteration that Attainable counts on.
const meanStreams = 12

// CapacityOf computes the capacity of a fleet of engines for the reference mix.
func CapacityOf(p model.Params, engines int) Capacity {
	l := MeanLoad(p)
	n := float64(engines)
	iteration := p.Iteration(meanStreams, 0).Seconds()
	prefillSeconds := l.Work / p.PrefillTokensPerSecond
	iterations := l.BusyRaw / float64(p.IterationPrefillTokens)
	busySeconds := l.BusyWork/p.PrefillTokensPerSecond + iterations*iteration
	c := Capacity{
		Prefill:    n / prefillSeconds,
		Memory:     n * float64(p.MemoryTokens) / l.MemorySeconds,
		Attainable: n / busySeconds,
	}
	c.Reference = min(c.Prefill, c.Memory)
	return c
}
