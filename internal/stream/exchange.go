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
	Aborts
}

// Aborts ends the dispatches of one request, which follow one another. It is safe for concurrent use.
type Aborts struct {
	mu     sync.Mutex
	cancel map[uint32]context.CancelFunc
	// aborted is the highest dispatch that was aborted or has ended.
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
func (a *Aborts) OnAbort(dispatch uint32, abort context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if dispatch <= a.aborted {
		abort()
		return
	}
	if a.cancel == nil {
		a.cancel = make(map[uint32]context.CancelFunc)
	}
	a.cancel[dispatch] = abort
}

// Abort ends a dispatch, also one that has not begun yet.
func (a *Aborts) Abort(dispatch uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = max(a.aborted, dispatch)
	if abort := a.cancel[dispatch]; abort != nil {
		abort()
	}
	delete(a.cancel, dispatch)
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
	e := &Exchange{Answer: NewBuffer()}
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
