package route

import (
	"time"

	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
)

// Estimate is what a placement would bring.
type Estimate struct {
	// First is the time to the first token, Total the time to the last.
	First time.Duration
	Total time.Duration
}

// Priority is the engine's priority of a class; higher goes first.
func Priority(c document.Class) int {
	switch c {
	case document.ClassShort:
		return 2
	case document.ClassMiddle:
		return 1
	}
	return 0
}

// UncachedWork is the prefill work that a request brings to a target, in tokens of weight 1.
func UncachedWork(rec *ledger.Record, t *target.Target) int64 {
	return t.PrefillWork(t.CachedTokens(&rec.Request), rec.Request.PromptTokens)
}

// Predict estimates a request's times at a target: what is pending there at its priority or above, and its own
// uncached prompt, at the target's measured prefill rate; then its answer at the measured time between tokens.
func Predict(rec *ledger.Record, t *target.Target) Estimate {
	load := t.Total()
	work := load.Ahead(Priority(rec.Work.Class)) + UncachedWork(rec, t)
	first := time.Duration(float64(work) / t.PrefillRate() * float64(time.Second))
	return Estimate{First: first, Total: first + time.Duration(max(rec.Work.AnswerTokens-1, 0))*t.TokenGap()}
}

// deepPosition is the prompt length from which a prefill makes iterations so long that the streams beside it miss
// the target of 59 ms between tokens: with 512 prompt tokens and 20 streams an iteration takes
// 15 + 4 + 25.6 (1 + position / 200,000) ms.
const deepPosition = 110_000

// IsDeep tells whether a request's prefill reaches positions at which it slows the other streams.
func IsDeep(rec *ledger.Record) bool { return rec.Request.PromptTokens > deepPosition }
