package model

// admit makes a waiting stream or reservation resident; it has nothing to do with the admission of a request by an entry
// host. It pins the cached prefix, takes memory for the rest of the prompt, one more token and the saved part of the answer
// of a stream that continues from a copy, and sets the position up to which the prompt counts as prefilled. The memory is
// free memory first, then that of unpinned cache entries, then that of unprotected streams of lower priority, which are
// preempted. It reports false when that is not enough, or while the transfer of the saved copy is under way.
func (e *Engine) admit(s *stream) bool {
	if e.clock.Now() < s.notBefore {
		return false
	}
	entry := e.cache.lookup(s.spec.Prefix)
	cached := int64(0)
	if entry != nil {
		cached = min(entry.tokens, s.spec.PrefixTokens)
		e.cache.pin(entry)
	}
	need := s.spec.PromptTokens - cached + 1
	if s.saved != nil {
		need += s.saved.generated
	}
	if !e.makeRoom(s, need) {
		if entry != nil {
			e.cache.unpin(entry)
		}
		return false
	}
	e.heldTokens += need
	s.resident, s.entry, s.cached, s.heldTokens, s.position = true, entry, cached, need, cached
	if s.saved != nil {
		s.position, s.generated = max(s.saved.position, cached), s.saved.generated
	}
	return true
}

// makeRoom frees memory for need tokens for s. It reports false, without preempting, when that is impossible.
func (e *Engine) makeRoom(s *stream, need int64) bool {
	free := e.params.MemoryTokens - e.heldTokens - e.cache.pinned
	victims := 0
	for i := len(e.streams) - 1; i >= 0 && free < need; i-- {
		v := e.streams[i]
		if v.spec.Priority >= s.spec.Priority {
			break
		}
		if v.resident && !v.protected() {
			free += v.heldTokens
		}
		victims++
	}
	if free < need {
		return false
	}
	for i := len(e.streams) - victims; i < len(e.streams); i++ {
		if v := e.streams[i]; v.resident && !v.protected() {
			e.preempt(v)
		}
	}
	e.cache.shrink(e.params.MemoryTokens - e.heldTokens - need)
	return true
}

// preempt takes a stream's memory away; the stream restarts, or continues from its saved copy once that is transferred.
func (e *Engine) preempt(s *stream) {
	e.Preemptions++
	e.release(s)
	s.position, s.generated = 0, 0
	if s.saved != nil {
		s.notBefore = e.clock.Now() + e.params.transferTime(s.saved.position+s.saved.generated)
		e.clock.At(s.notBefore, e.wake)
	}
}

func (e *Engine) release(s *stream) {
	e.heldTokens -= s.heldTokens
	s.heldTokens = 0
	s.unusedReserved = 0
	s.resident = false
	if s.entry != nil {
		e.cache.unpin(s.entry)
		s.entry = nil
	}
}

// grow allocates memory for one more token. When none is free, it preempts unprotected streams of lowest rank, or s itself.
func (e *Engine) grow(s *stream) {
	if s.unusedReserved > 0 {
		s.unusedReserved--
		return
	}
	for e.heldTokens+e.cache.pinned >= e.params.MemoryTokens {
		victim := e.victim(s)
		e.preempt(victim)
		if victim == s {
			return
		}
	}
	e.cache.shrink(e.params.MemoryTokens - e.heldTokens - 1)
	e.heldTokens++
	s.heldTokens++
}

// victim returns the unprotected stream of lowest rank that holds memory, or the growing one if there is none.
func (e *Engine) victim(growing *stream) *stream {
	for i := len(e.streams) - 1; i >= 0; i-- {
		if v := e.streams[i]; v.resident && !v.protected() {
			return v
		}
	}
	return growing
}

// cachePrefix moves the prefix part of a stream's memory to the cache once the prefix is prefilled.
func (e *Engine) cachePrefix(s *stream) {
	if s.spec.Prefix == "" || s.position < s.spec.PrefixTokens || s.cached >= s.spec.PrefixTokens {
		return
	}
	own := s.spec.PrefixTokens - s.cached
	s.heldTokens -= own
	e.heldTokens -= own
	s.entry = e.cache.store(s.spec.Prefix, s.spec.PrefixTokens, s.entry)
	s.cached = s.spec.PrefixTokens
}
