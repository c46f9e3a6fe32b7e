package model

// admit gives a stream memory for its whole prompt: from what is free, then from cached prefixes that nobody uses,
// then from streams of lower priority. It reports false when that is not enough.
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
		need += s.saved.answered
	}
	if !e.makeRoom(s, need) {
		if entry != nil {
			e.cache.unpin(entry)
		}
		return false
	}
	e.held += need
	s.resident, s.entry, s.cached, s.hold, s.position = true, entry, cached, need, cached
	if s.saved != nil {
		s.position, s.answered = max(s.saved.position, cached), s.saved.answered
	}
	return true
}

// makeRoom frees memory for need tokens; nothing is preempted unless that suffices.
func (e *Engine) makeRoom(s *stream, need int64) bool {
	free := e.params.MemoryTokens - e.held - e.cache.pinned
	victims := 0
	for i := len(e.streams) - 1; i >= 0 && free < need; i-- {
		v := e.streams[i]
		if v.spec.Priority >= s.spec.Priority {
			break
		}
		if v.resident && !v.protected() {
			free += v.hold
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
	e.cache.shrink(e.params.MemoryTokens - e.held - need)
	return true
}

// preempt takes a stream's memory; it starts over, or goes on from what was saved.
func (e *Engine) preempt(s *stream) {
	e.Preemptions++
	e.release(s)
	s.position, s.answered = 0, 0
	if s.saved != nil {
		s.notBefore = e.clock.Now() + e.params.transfer(s.saved.position+s.saved.answered)
		e.clock.At(s.notBefore, e.wake)
	}
}

func (e *Engine) release(s *stream) {
	e.held -= s.hold
	s.hold = 0
	s.spare = 0
	s.resident = false
	if s.entry != nil {
		e.cache.unpin(s.entry)
		s.entry = nil
	}
}

// grow gives a stream memory for one more token, preempting the lowest in rank when there is none.
func (e *Engine) grow(s *stream) {
	if s.spare > 0 {
		s.spare--
		return
	}
	for e.held+e.cache.pinned >= e.params.MemoryTokens {
		victim := e.victim(s)
		e.preempt(victim)
		if victim == s {
			return
		}
	}
	e.cache.shrink(e.params.MemoryTokens - e.held - 1)
	e.held++
	s.hold++
}

// victim is the lowest stream in rank whose memory was not promised, or the one that grows itself.
func (e *Engine) victim(growing *stream) *stream {
	for i := len(e.streams) - 1; i >= 0; i-- {
		if v := e.streams[i]; v.resident && !v.protected() {
			return v
		}
	}
	return growing
}

// cachePrefix hands the prefix part of a stream's memory to the cache.
func (e *Engine) cachePrefix(s *stream) {
	if s.spec.Prefix == "" || s.position < s.spec.PrefixTokens || s.cached >= s.spec.PrefixTokens {
		return
	}
	own := s.spec.PrefixTokens - s.cached
	s.hold -= own
	e.held -= own
	s.entry = e.cache.store(s.spec.Prefix, s.spec.PrefixTokens, s.entry)
	s.cached = s.spec.PrefixTokens
}
