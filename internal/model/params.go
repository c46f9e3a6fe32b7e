// Package model simulates the reference model engine in virtual time: continuous batching, prefill and decode rates, KV
// memory with preemption and a prefix cache, priorities, cancel, resume, export and import, and delayed, lossy cache
// events. It is a fake behind the interface between hosts and engines; the same seed gives the same run.
package model

import "time"

// Params are the engine's rates and limits.
type Params struct {
	// IterationBase is the fixed duration of an iteration; IterationPerStream is added for each stream in it.
	IterationBase      time.Duration
	IterationPerStream time.Duration
	// PrefillTokensPerSecond is the prefill rate in weighted tokens; a token at position p counts
	// 1 + p / PositionWeightTokens.
	PrefillTokensPerSecond float64
	PositionWeightTokens   float64
	// IterationPrefillTokens and IterationStreams are the most prompt tokens and streams in one iteration.
	IterationPrefillTokens int64
	IterationStreams       int
	// MemoryTokens is the KV memory, in tokens.
	MemoryTokens int64
	// TransferTokensPerSecond is the rate of KV export and import, in tokens.
	TransferTokensPerSecond float64
	// ReportInterval is the time between load reports, ReportLag their delay; Engine leaves both to its user.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// EventLagMin and EventLagMax bound the delay of cache events; EventLossPercent of them are lost.
	EventLagMin      time.Duration
	EventLagMax      time.Duration
	EventLossPercent int64
	// GroupEfficiency is the fraction of its members' memory and prefill rate that a group of engines has.
	GroupEfficiency float64
}

// Reference returns the parameters of the reference engine.
func Reference() Params {
	return Params{
		IterationBase:           15 * time.Millisecond,
		IterationPerStream:      200 * time.Microsecond,
		PrefillTokensPerSecond:  20_000,
		PositionWeightTokens:    200_000,
		IterationPrefillTokens:  512,
		IterationStreams:        256,
		MemoryTokens:            450_000,
		TransferTokensPerSecond: 200_000,
		ReportInterval:          500 * time.Millisecond,
		ReportLag:               time.Second,
		EventLagMin:             500 * time.Millisecond,
		EventLagMax:             3 * time.Second,
		EventLossPercent:        5,
		GroupEfficiency:         0.8,
	}
}

// PrefillWork returns the prefill work of the tokens at positions from to to, in weighted tokens.
func (p Params) PrefillWork(from, to int64) float64 {
	tokens := float64(to - from)
	return tokens + tokens*float64(from+to)/2/p.PositionWeightTokens
}

// IterationTime returns the duration of an iteration with that many streams and that much prefill work in weighted tokens.
func (p Params) IterationTime(streams int, work float64) time.Duration {
	prefill := time.Duration(work / p.PrefillTokensPerSecond * float64(time.Second))
	return p.IterationBase + time.Duration(streams)*p.IterationPerStream + prefill
}

// IdleTimes returns the times to the first and to the last token on an otherwise idle engine, for a prompt whose first
// cached tokens need no prefill.
func (p Params) IdleTimes(prompt, cached, answer int64) (first, total time.Duration) {
	for at := cached; at < prompt; {
		next := min(at+p.IterationPrefillTokens, prompt)
		first += p.IterationTime(1, p.PrefillWork(at, next))
		at = next
	}
	return first, first + time.Duration(answer-1)*p.IterationTime(1, 0)
}

// GroupSize returns how many engines a request needs for its KV memory; lengths are in tokens.
func (p Params) GroupSize(prompt, answer int64) int {
	if prompt+answer <= p.MemoryTokens {
		return 1
	}
	n := 2
	for float64(prompt+answer) > float64(n)*float64(p.MemoryTokens)*p.GroupEfficiency {
		n++
	}
	return n
}

// transferTime returns the duration of a KV transfer of that many tokens.
func (p Params) transferTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / p.TransferTokensPerSecond * float64(time.Second))
}
