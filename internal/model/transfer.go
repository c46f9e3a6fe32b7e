package model

// Export is a copy of a stream's state and KV memory outside an engine.
type Export struct {
	Spec      Spec
	position  int64
	generated int64
	streamed  int64
}

// Tokens returns the size of the exported KV memory.
func (x *Export) Tokens() int64 { return x.position + x.generated }

// Save copies a stream's KV memory out of the engine and calls done when the copy is complete, or never if the engine
// is killed first. A saved stream that is preempted continues from the copy. Save reports whether the stream exists and
// holds memory.
func (e *Engine) Save(name string, done func(*Export)) bool {
	s := e.find(name)
	if s == nil || !s.resident {
		return false
	}
	x := &Export{Spec: s.spec, position: s.position, generated: s.generated, streamed: s.streamed}
	e.clock.At(e.clock.Now()+e.params.transferTime(x.Tokens()), func() {
		if e.dead {
			return
		}
		s.saved = x
		done(x)
	})
	return true
}

// Import queues a stream from its export; it continues once its KV memory is transferred. It reports false when the
// engine is dead or the stream exceeds its memory.
func (e *Engine) Import(x *Export, listener Listener) bool {
	s := &stream{spec: x.Spec, listener: listener, saved: x, streamed: x.streamed}
	s.notBefore = e.clock.Now() + e.params.transferTime(x.Tokens())
	s.lastToken = s.notBefore
	if !e.add(s) {
		return false
	}
	e.clock.At(s.notBefore, e.wake)
	return true
}
