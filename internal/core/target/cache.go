package target

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/document"
)

// CacheEvent is an engine's word that a prefix is cached up to a length, or, with length 0, no longer.
type CacheEvent struct {
	Prefix string `json:"prefix"`
	Tokens int64  `json:"tokens"`
}

// maxPrefixes bounds the prefixes remembered for one target.
const maxPrefixes = 4096

// prefixes is what this host believes to be cached at one target.
type prefixes struct {
	entries map[string]*prefixEntry
	serial  uint64
}

type prefixEntry struct {
	tokens int64
	used   uint64
}

// Hear takes a cache event. Events come late and some never do, so an entry is a belief only.
func (p *prefixes) hear(e CacheEvent) {
	if e.Tokens <= 0 {
		delete(p.entries, e.Prefix)
		return
	}
	entry := p.entries[e.Prefix]
	if entry == nil {
		if p.entries == nil {
			p.entries = make(map[string]*prefixEntry)
		}
		p.makeRoom()
		entry = &prefixEntry{}
		p.entries[e.Prefix] = entry
	}
	entry.tokens = max(entry.tokens, e.Tokens)
	p.serial++
	entry.used = p.serial
}

// makeRoom forgets the entry that was heard of the longest ago when there are too many.
func (p *prefixes) makeRoom() {
	if len(p.entries) < maxPrefixes {
		return
	}
	oldest := ""
	for prefix, e := range p.entries {
		if oldest == "" || e.used < p.entries[oldest].used {
			oldest = prefix
		}
	}
	delete(p.entries, oldest)
}

// HearCache takes a cache event of the target.
func (t *Target) HearCache(e CacheEvent) { t.prefixes.hear(e) }

// CachedTokens is how much of a request's prompt is believed to be cached at the target.
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

// PrefillWork is the work of the prompt tokens at positions from to to at this target, in tokens of weight 1.
func (t *Target) PrefillWork(from, to int64) int64 {
	if t.Engine == nil {
		return PrefillWork(from, to)
	}
	return EngineWork(t.Engine, to) - EngineWork(t.Engine, from)
}

// EngineWork is the work of a prompt at an engine of published speed: the tokens that it reads in the same time.
func EngineWork(e *document.Engine, tokens int64) int64 {
	ms := float64(e.ReadTime(tokens)) / float64(time.Millisecond)
	return int64(ms * e.ReadTokensPerMs)
}

// PrefillWork is the work of the prompt tokens at positions from to to, in tokens of weight 1.
func PrefillWork(from, to int64) int64 {
	return int64(float64(to-from) * (1 + float64(from+to)/2/PositionWeightTokens))
}
