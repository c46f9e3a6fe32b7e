package route

import (
	"time"

	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
)

// Estimate holds the predicted times of a request at one target.
type Estimate struct {
	// FirstToken is the time to first token, Total the time to the last token.
	FirstToken time.Duration
	Total      time.Duration
}

// Priority returns the scheduling priority of a class at engines; higher is served first.
func Priority(c document.Class) int {
	switch c {
	case document.ClassShort:
		return 2
	case document.ClassMiddle:
		return 1
	}
	return 0
}

// RecordPriority returns the scheduling priority of a request at engines.
func RecordPriority(rec *ledger.Record) int {
	priority := Priority(rec.Work.Class)
	if rec.Yields {
		priority--
	}
	return priority
}

// UncachedWork returns the prefill work of the part of a prompt that the target does not have cached, in weighted
// tokens (see target.PrefillWork).
func UncachedWork(rec *ledger.Record, t *target.Target) int64 {
	return t.PrefillWork(t.CachedTokens(&rec.Request), rec.Request.PromptTokens)
}

// Predict estimates a request's times at a target. The time to first token is the pending work of at least its priority
// plus its own uncached work, at the measured prefill rate; the other tokens follow at the measured inter-token gap.
func Predict(rec *ledger.Record, t *target.Target) Estimate {
	load := t.Total()
	work := load.Ahead(RecordPriority(rec)) + UncachedWork(rec, t)
	firstToken := time.Duration(float64(work) / t.PrefillRate() * float64(time.Second))
	return Estimate{FirstToken: firstToken, Total: firstToken + time.Duration(max(rec.Work.AnswerTokens-1, 0))*t.TokenGap()}
}

// longContextPosition is the prompt length, in tokens, above which a prefill lengthens iterations so much that the
// other streams of the engine miss an inter-token gap of 59 ms: an iteration with 512 prompt tokens and 20 streams
// takes 15 + 4 + 25.6 (1 + position / 200,000) ms.
const longContextPosition = 110_000

// IsLongContext reports whether a request's prefill reaches the positions at which it slows down other streams.
func IsLongContext(rec *ledger.Record) bool { return rec.Request.PromptTokens > longContextPosition }

// PendingPrefill returns how long an engine with a published speed takes for its pending prefill.
func PendingPrefill(t *target.Target) time.Duration {
	s := engineStateOf(t)
	return document.Milliseconds(s.prefill)
}
