package model

// Export is a stream's state and the name of its KV memory outside an engine.
type Export struct {
	Spec     Spec
	position int64
	answered int64
	told     int64
}

// Tokens is the size of the exported KV memory, in tokens.
func (x *Export) Tokens() int64 { return x.position + x.answered }

// Save copies a stream's KV memory out of the engine and calls done when the copy is whole. A saved stream that loses
// its memory goes on from the copy. It reports whether the stream is there and holds memory.
func (e *Engine) Save(name string, done func(*Export)) bool {
	s := e.find(name)
	if s == nil || !s.resident {
		return false
	}
	x := &Export{Spec: s.spec, position: s.position, answered: s.answered, told: s.told}
	e.clock.At(e.clock.Now()+e.params.transfer(x.Tokens()), func() {
		if e.dead {
			return
		}
		s.saved = x
		done(x)
	})
	return true
}

// Import takes a stream from its export; it goes on when its KV memory has arrived. It reports false when the stream
// can never fit.
func (e *Engine) Import(x *Export, listener Listener) bool {
	s := &stream{spec: x.Spec, listener: listener, saved: x, told: x.told}
	s.notBefore = e.clock.Now() + e.params.transfer(x.Tokens())
	s.lastToken = s.notBefore
	if !e.add(s) {
		return false
	}
	e.clock.At(s.notBefore, e.wake)
	return true
}
