package model

// CacheEvent reports that a prefix is cached up to a length, or was evicted.
type CacheEvent struct {
	Prefix string
	// Tokens is the cached length; 0 after eviction.
	Tokens int64
}

// cache is the prefix cache: entries in use by a stream are pinned, the others are evicted least recently used first.
type cache struct {
	entries map[string]*cacheEntry
	// tokens is the size of all entries, pinned that of the pinned ones.
	tokens int64
	pinned int64
	// uses counts pins and unpins; it orders entries by last use.
	uses     uint64
	onChange func(CacheEvent)
}

type cacheEntry struct {
	prefix string
	tokens int64
	pins   int
	// lastUsed is the value of cache.uses at the entry's last use.
	lastUsed uint64
}

func newCache(onChange func(CacheEvent)) *cache {
	return &cache{entries: make(map[string]*cacheEntry), onChange: onChange}
}

// lookup returns the entry of a prefix, or nil.
func (c *cache) lookup(prefix string) *cacheEntry {
	if prefix == "" {
		return nil
	}
	return c.entries[prefix]
}

func (c *cache) pin(e *cacheEntry) {
	if e.pins == 0 {
		c.pinned += e.tokens
	}
	e.pins++
	c.touch(e)
}

func (c *cache) unpin(e *cacheEntry) {
	e.pins--
	if e.pins == 0 {
		c.pinned -= e.tokens
	}
	c.touch(e)
}

func (c *cache) touch(e *cacheEntry) {
	c.uses++
	e.lastUsed = c.uses
}

// store caches a prefix up to a length and returns its entry. It pins the entry unless it is own, the one that the
// stream has pinned already.
func (c *cache) store(prefix string, tokens int64, own *cacheEntry) *cacheEntry {
	e := c.entries[prefix]
	if e == nil {
		e = &cacheEntry{prefix: prefix}
		c.entries[prefix] = e
	}
	if e != own {
		c.pin(e)
	}
	if tokens > e.tokens {
		c.tokens += tokens - e.tokens
		c.pinned += tokens - e.tokens
		e.tokens = tokens
		c.onChange(CacheEvent{Prefix: prefix, Tokens: tokens})
	}
	return e
}

// shrink evicts unpinned entries, least recently used first, until at most limit tokens are cached or all entries are
// pinned.
func (c *cache) shrink(limit int64) {
	for c.tokens > limit {
		var oldest *cacheEntry
		for _, e := range c.entries {
			if e.pins == 0 && (oldest == nil || e.lastUsed < oldest.lastUsed) {
				oldest = e
			}
		}
		if oldest == nil {
			return
		}
		delete(c.entries, oldest.prefix)
		c.tokens -= oldest.tokens
		c.onChange(CacheEvent{Prefix: oldest.prefix})
	}
}
