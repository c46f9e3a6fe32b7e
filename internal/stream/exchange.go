package stream

import (
	"context"
	"sync"

	"carobshunt/internal/core"
)

// Exchange is what traffic holds for one request: its body on the way in, its answer on the way out.
type Exchange struct {
	Answer *Buffer

	mu       sync.Mutex
	body     []byte
	released bool
	aborts   map[uint32]context.CancelFunc
	// aborted is the highest dispatch that was aborted or has ended; dispatches of one request follow one another.
	aborted uint32
}

// SetBody hands over the body; one that comes after Release is not kept.
func (e *Exchange) SetBody(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.released {
		e.body = body
	}
}

// Body returns the body, or nil once the request is finished.
func (e *Exchange) Body() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.body
}

// Release frees the body for good.
func (e *Exchange) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.body = nil
	e.released = true
}

// OnAbort registers how to end a dispatch; one that was aborted before is ended at once.
func (e *Exchange) OnAbort(dispatch uint32, abort context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if dispatch <= e.aborted {
		abort()
		return
	}
	e.aborts[dispatch] = abort
}

// Abort ends a dispatch, also one that has not begun yet.
func (e *Exchange) Abort(dispatch uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.aborted = max(e.aborted, dispatch)
	if abort := e.aborts[dispatch]; abort != nil {
		abort()
	}
	delete(e.aborts, dispatch)
}

// Store holds the exchanges by key. It is safe for concurrent use.
type Store struct {
	mu   sync.RWMutex
	held map[core.Key]*Exchange
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{held: make(map[core.Key]*Exchange)} }

// Open makes the exchange of a newly admitted request; one that was there under this key is replaced.
func (s *Store) Open(key core.Key) *Exchange {
	e := &Exchange{Answer: NewBuffer(), aborts: make(map[uint32]context.CancelFunc)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[key] = e
	return e
}

// Get returns the exchange of a key, or nil.
func (s *Store) Get(key core.Key) *Exchange {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.held[key]
}

// Drop forgets an exchange.
func (s *Store) Drop(key core.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, key)
}
