// Package membudget bounds the memory that the answers of targets take on a host. All answers share one budget. Nothing waits for room:
// where it is full, the answer that is least likely to become whole is given up, so an answer goes on or ends.
package membudget

import (
	"sync"

	"github.com/juju/errors"
)

// ErrGivenUp is returned for an answer that was given up because the answers on this host would have taken too much memory.
const ErrGivenUp = errors.ConstError("given up for want of memory on this host")

// UnknownLength is the declared length of an answer that does not declare one.
const UnknownLength = -1

const (
	// smallBytes is the size up to which an answer is given up only after all larger ones.
	smallBytes = 64 << 10
	// smallShare is the part of the budget that only answers of up to smallBytes may take, so that these go on while callers do not
	// take larger ones.
	smallShare = 1.0 / 32
)

// Budget is the memory that all answers on a host may take. It is safe for concurrent use.
type Budget struct {
	// limit bounds the memory in bytes, largeLimit that up to which answers of more than smallBytes may take it.
	limit, largeLimit int64

	mu   sync.Mutex
	held int64
	// growing holds the accounts of answers that are not complete.
	growing map[*Account]struct{}
	opened  uint64
	givenUp uint64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, largeLimit: limit - int64(float64(limit)*smallShare), growing: make(map[*Account]struct{})}
}

// Held returns the number of bytes that answers hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// GivenUp returns how many answers were given up.
func (b *Budget) GivenUp() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.givenUp
}

// Account is what one answer takes of a budget. It is safe for concurrent use.
type Account struct {
	budget *Budget
	// number counts the accounts of the budget.
	number uint64
	// declared is the length of the answer in bytes, or UnknownLength.
	declared int64
	// onGiveUp ends the source of the answer and frees what it holds.
	onGiveUp func()

	// The fields below are guarded by the budget's mutex.

	held    int64
	givenUp bool
}

// Open returns the account of an answer that begins. If the answer is given up, onGiveUp is called once, on any goroutine; it must
// end the source of the answer and must not block.
func (b *Budget) Open(declared int64, onGiveUp func()) *Account {
	a := &Account{budget: b, declared: declared, onGiveUp: onGiveUp}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	a.number = b.opened
	b.growing[a] = struct{}{}
	return a
}

// Take takes memory for more of an answer, before it is allocated. Where the budget has no room, it gives up other answers until it
// has. The error is ErrGivenUp if this answer was given up, now or before.
func (a *Account) Take(n int64) error {
	victims, err := a.budget.take(a, n)
	for _, v := range victims {
		v.onGiveUp()
	}
	return err
}

// take takes memory for an account and returns the accounts that were given up for it.
func (b *Budget) take(a *Account, n int64) ([]*Account, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bound := b.largeLimit
	if a.held+n <= smallBytes {
		bound = b.limit
	}
	var victims []*Account
	for !a.givenUp && b.held+n > bound {
		v := b.victim(a)
		b.giveUp(v)
		victims = append(victims, v)
	}
	if a.givenUp {
		return victims, ErrGivenUp
	}
	a.held += n
	b.held += n
	return victims, nil
}

// victim returns the growing account to give up next so that an account can take more; it may be that one.
func (b *Budget) victim(a *Account) *Account {
	worst := a
	for other := range b.growing {
		if other.goesBefore(worst) {
			worst = other
		}
	}
	return worst
}

// Kinds of answers, in the order in which they are given up.
const (
	// kindUnbounded is an answer of unknown length, which may have no end.
	kindUnbounded = iota
	// kindBounded is an answer that ends at its declared length.
	kindBounded
	// kindSmall is an answer of either kind that holds little.
	kindSmall
)

func (a *Account) kind() int {
	switch {
	case a.held <= smallBytes:
		return kindSmall
	case a.declared == UnknownLength:
		return kindUnbounded
	}
	return kindBounded
}

// goesBefore reports whether an answer is given up before another one. Of those that have a declared length, the one that lacks most
// goes first, so that one that is nearly whole is not given up for one that has just begun; of the others, the one that holds most.
// Of equal ones, the younger goes first.
func (a *Account) goesBefore(other *Account) bool {
	kind := a.kind()
	mine, others := a.held, other.held
	if kind == kindBounded {
		mine, others = a.declared-a.held, other.declared-other.held
	}
	switch {
	case kind != other.kind():
		return kind < other.kind()
	case mine != others:
		return mine > others
	}
	return a.number > other.number
}

// giveUp ends an account. Its memory counts as free at once, since its source ends.
func (b *Budget) giveUp(a *Account) {
	a.givenUp = true
	b.givenUp++
	b.free(a)
}

func (b *Budget) free(a *Account) {
	delete(b.growing, a)
	b.held -= a.held
	a.held = 0
}

// Complete marks the answer as whole: it is given up no more. The error is ErrGivenUp if it was given up before.
func (a *Account) Complete() error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.givenUp {
		return ErrGivenUp
	}
	delete(a.budget.growing, a)
	return nil
}

// Return gives back a part of the memory, or what is left if that is less.
func (a *Account) Return(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	n = min(n, a.held)
	a.held -= n
	a.budget.held -= n
}

// Close gives back all memory. It may be called more than once.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.free(a)
}

// WasGivenUp reports whether the answer was given up.
func (a *Account) WasGivenUp() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.givenUp
}
