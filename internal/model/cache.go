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
	// serial counts uses; an entry's used is the serial of its last use.
	serial  uint64
	changed func(CacheEvent)
}

type cacheEntry struct {
	prefix string
	tokens int64
	pins   int
	used   uint64
}

func newCache(changed func(CacheEvent)) *cache {
	return &cache{entries: make(map[string]*cacheEntry), changed: changed}
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
	c.serial++
	e.used = c.serial
}

// store caches a prefix up to a length and returns its entry. It pins the entry unless it is held, the one that the
// stream has pinned already.
func (c *cache) store(prefix string, tokens int64, held *cacheEntry) *cacheEntry {
	e := c.entries[prefix]
	if e == nil {
		e = &cacheEntry{prefix: prefix}
		c.entries[prefix] = e
	}
	if e != held {
		c.pin(e)
	}
	if tokens > e.tokens {
		c.tokens += tokens - e.tokens
		c.pinned += tokens - e.tokens
		e.tokens = tokens
		c.changed(CacheEvent{Prefix: prefix, Tokens: tokens})
	}
	return e
}

// shrink evicts unpinned entries, least recently used first, until at most limit tokens are cached or all entries are
// pinned.
func (c *cache) shrink(limit int64) {
	for c.tokens > limit {
		var oldest *cacheEntry
		for _, e := range c.entries {
			if e.pins == 0 && (oldest == nil || e.used < oldest.used) {
				oldest = e
			}
		}
		if oldest == nil {
			return
		}
		delete(c.entries, oldest.prefix)
		c.tokens -= oldest.tokens
		c.changed(CacheEvent{Prefix: oldest.prefix})
	}
}
