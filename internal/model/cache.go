package model

// CacheEvent tells that a prefix is cached up to a length, or no longer.
type CacheEvent struct {
	Prefix string
	// Tokens is the cached length; 0 when the prefix has left the cache.
	Tokens int64
}

// cache is the prefix cache: entries in use by a stream are pinned, the others leave in order of last use.
type cache struct {
	entries map[string]*cacheEntry
	tokens  int64
	pinned  int64
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

// store keeps a prefix up to a length and returns its entry, pinned once more unless it is held already.
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

// shrink drops unpinned entries, least recently used first, until at most limit tokens are held or none can go.
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
