package target

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/document"
)

// CacheEvent states that an engine has cached a prefix up to a length in tokens, or, with length 0, evicted it.
type CacheEvent struct {
	Prefix string `json:"prefix"`
	Tokens int64  `json:"tokens"`
}

// maxPrefixes limits the prefixes that are tracked for one target.
const maxPrefixes = 4096

// prefixes is this host's view of a target's prefix cache. It may be wrong, since cache events arrive late or get lost, and
// since a prefix is taken as cached once a dispatch with it has its first token.
type prefixes struct {
	entries map[string]*prefixEntry
	// updates counts the cache events other than evictions, to order entries by their last update.
	updates uint64
}

type prefixEntry struct {
	tokens     int64
	lastUpdate uint64
}

// apply updates the view from a cache event.
func (p *prefixes) apply(e CacheEvent) {
	if e.Tokens <= 0 {
		delete(p.entries, e.Prefix)
		return
	}
	entry := p.entries[e.Prefix]
	if entry == nil {
		if p.entries == nil {
			p.entries = make(map[string]*prefixEntry)
		}
		p.evictOldest()
		entry = &prefixEntry{}
		p.entries[e.Prefix] = entry
	}
	entry.tokens = max(entry.tokens, e.Tokens)
	p.updates++
	entry.lastUpdate = p.updates
}

// evictOldest removes the entry with the oldest update if the view is full.
func (p *prefixes) evictOldest() {
	if len(p.entries) < maxPrefixes {
		return
	}
	oldest := ""
	for prefix, e := range p.entries {
		if oldest == "" || e.lastUpdate < p.entries[oldest].lastUpdate {
			oldest = prefix
		}
	}
	delete(p.entries, oldest)
}

// ApplyCacheEvent updates the view of the target's prefix cache.
func (t *Target) ApplyCacheEvent(e CacheEvent) { t.prefixes.apply(e) }

// CachedTokens returns how many tokens of a request's prompt are probably cached at the target.
func (t *Target) CachedTokens(req *core.Request) int64 {
	if req.Prefix == "" {
		return 0
	}
	e := t.prefixes.entries[req.Prefix]
	if e == nil {
		return 0
	}
	return min(e.tokens, req.PrefixTokens)
}

// PositionWeightTokens is the position at which a prompt token costs twice as much prefill work as the first one.
const PositionWeightTokens = 200_000

// PrefillWork returns the work of the prompt tokens at positions from to to at this target, in weighted tokens.
func (t *Target) PrefillWork(from, to int64) int64 {
	if t.Engine == nil {
		return PrefillWork(from, to)
	}
	return EnginePrefillWork(t.Engine, to) - EnginePrefillWork(t.Engine, from)
}

// EnginePrefillWork returns the work of a prompt at an engine of published speed, in weighted tokens: how many tokens
// the engine prefills in the same time at its base rate.
func EnginePrefillWork(e *document.Engine, tokens int64) int64 {
	ms := float64(e.PrefillTime(tokens)) / float64(time.Millisecond)
	return int64(ms * e.PrefillTokensPerMs)
}

// PrefillWork returns the work of the prompt tokens at positions from to to, where no engine speed is published. Its
// unit is the weighted token: a token at position p counts 1 + p/200,000.
func PrefillWork(from, to int64) int64 {
	return int64(float64(to-from) * (1 + float64(from+to)/2/PositionWeightTokens))
}
