package stream

import (
	"context"
	"sync"

	"carobshunt/internal/core"
)

// Exchange holds the body and the answer of one request. It is safe for concurrent use.
type Exchange struct {
	Answer *Buffer

	mu       sync.Mutex
	body     []byte
	released bool
	Aborter
}

// Aborter cancels the dispatches of one request, which run one after another. It is safe for concurrent use.
type Aborter struct {
	mu     sync.Mutex
	cancel map[uint32]context.CancelFunc
	// aborted is the number of the latest dispatch that was aborted or has ended.
	aborted uint32
}

// SetBody stores the body. It has no effect after Release.
func (e *Exchange) SetBody(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.released {
		e.body = body
	}
}

// Body returns the body. It is nil before SetBody and after Release.
func (e *Exchange) Body() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.body
}

// Release drops the body for good.
func (e *Exchange) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.body = nil
	e.released = true
}

// OnAbort registers the function that cancels a dispatch. If that one or a later one was aborted
// before, it is canceled at once.
func (a *Aborter) OnAbort(dispatch uint32, abort context.CancelFunc) {
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

// Abort cancels a dispatch, even if it has not begun yet.
func (a *Aborter) Abort(dispatch uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = max(a.aborted, dispatch)
	if abort := a.cancel[dispatch]; abort != nil {
		abort()
	}
	delete(a.cancel, dispatch)
}

// Store holds exchanges by request key. It is safe for concurrent use.
type Store struct {
	mu        sync.RWMutex
	exchanges map[core.Key]*Exchange
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{exchanges: make(map[core.Key]*Exchange)} }

// Open adds an exchange for a newly admitted request. It replaces an earlier one under the same key.
func (s *Store) Open(key core.Key) *Exchange {
	e := &Exchange{Answer: NewBuffer()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges[key] = e
	return e
}

// Get returns the exchange of a key, or nil if there is none.
func (s *Store) Get(key core.Key) *Exchange {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.exchanges[key]
}

// Drop removes the exchange of a key.
func (s *Store) Drop(key core.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, key)
}
