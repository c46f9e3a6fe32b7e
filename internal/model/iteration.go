package model

import "time"

// step is the work of one stream in an iteration.
type step struct {
	stream *stream
	// chunk is the number of prompt tokens to prefill; 0 for a decode step.
	chunk int64
}

// wake starts the next iteration unless one is running.
func (e *Engine) wake() {
	if e.busy || e.dead {
		return
	}
	steps, duration := e.plan()
	if len(steps) == 0 {
		return
	}
	e.busy = true
	e.clock.At(e.clock.Now()+duration, func() {
		e.busy = false
		if e.dead {
			return
		}
		e.complete(steps)
		e.wake()
	})
}

// plan selects the streams of the next iteration in order of rank, gives them memory, and returns their steps and the
// length of the iteration. A stream that waits for memory or for its KV transfer blocks the admission of those behind
// it. Reserve calls plan for the memory alone.
func (e *Engine) plan() ([]step, time.Duration) {
	var steps []step
	budget := e.params.IterationPrefillTokens
	work := 0.0
	blocked := false
	for _, s := range e.streams {
		if len(steps) == e.params.IterationStreams {
			break
		}
		if !s.resident && (budget > 0 || s.placeholder) && !blocked {
			blocked = !e.admit(s)
		}
		if !s.resident || s.placeholder || s.waitsForGroup() {
			continue
		}
		chunk := min(budget, s.spec.PromptTokens-s.position)
		if s.position < s.spec.PromptTokens && chunk == 0 {
			continue
		}
		budget -= chunk
		work += e.prefillWork(s, chunk)
		steps = append(steps, step{stream: s, chunk: chunk})
	}
	return steps, e.params.IterationTime(len(steps), work)
}

// prefillWork returns the prefill work of the stream's next chunk, in weighted tokens.
func (e *Engine) prefillWork(s *stream, chunk int64) float64 {
	from := float64(s.position) * s.spec.Stride
	mean := from + float64(chunk)*s.spec.Stride/2
	return float64(chunk) * (1 + mean/e.params.PositionWeightTokens)
}

func (e *Engine) complete(steps []step) {
	for _, st := range steps {
		s := st.stream
		if s.removed || !s.resident {
			continue
		}
		s.position += st.chunk
		if st.chunk > 0 {
			e.cachePrefix(s)
		}
		switch {
		case s.position < s.spec.PromptTokens:
		case s.group == nil:
			e.generateToken(s)
		default:
			e.generateGroupToken(s)
		}
	}
}

// generateGroupToken generates the next token of a group, or wakes its first member when this part was the last to be
// prefilled.
func (e *Engine) generateGroupToken(s *stream) {
	switch {
	case !s.group.ready():
	case s == s.group.parts[0]:
		e.generateToken(s)
	default:
		s.group.members[0].wake()
	}
}

// generateToken generates the next answer token; the step that completes the prefill generates the first.
func (e *Engine) generateToken(s *stream) {
	s.generated++
	if s.generated > s.streamed {
		s.streamed = s.generated
		e.notifyListener(s)
	}
	if s.generated >= s.spec.AnswerTokens {
		e.remove(s)
		if s.listener.Ended != nil {
			s.listener.Ended()
		}
		return
	}
	e.grow(s)
}

// notifyListener reports a newly streamed token to the listener.
func (e *Engine) notifyListener(s *stream) {
	now := e.clock.Now()
	if s.streamed == 1 && s.listener.FirstToken != nil {
		s.listener.FirstToken()
	}
	if s.streamed > 1 && s.listener.Gap != nil {
		s.listener.Gap(now - s.lastToken)
	}
	s.lastToken = now
}
