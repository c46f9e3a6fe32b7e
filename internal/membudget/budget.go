// Package membudget bounds the memory that messages of one kind take on a host, such as the answers of targets or the heads of callers'
// requests. All messages of the kind share one budget. Nothing waits for room: where it is full, the message that is least likely to
// become whole is given up, so a message goes on or ends.
package membudget

import (
	"sync"

	"github.com/juju/errors"
)

// ErrGivenUp is returned for a message that was given up because the messages on this host would have taken too much memory.
const ErrGivenUp = errors.ConstError("given up for want of memory on this host")

// UnknownLength is the declared length of a message that does not declare one.
const UnknownLength = -1

// Reserve is the part of a budget that is kept for small messages, so that these go on while larger ones take all of the rest.
type Reserve struct {
	// SmallBytes is the size up to which a message is given up only after all larger ones.
	SmallBytes int64
	// Share is the part of the budget, 0 to 1, that only messages of up to SmallBytes may take.
	Share float64
}

// answerReserve is the reserve of a budget for the answers of targets.
var answerReserve = Reserve{SmallBytes: 64 << 10, Share: 1.0 / 32}

// Budget is the memory that all messages of one kind may take. It is safe for concurrent use.
type Budget struct {
	// limit bounds the memory in bytes, largeLimit that up to which messages of more than smallBytes may take it.
	limit, largeLimit, smallBytes int64

	mu   sync.Mutex
	held int64
	// growing holds the accounts of messages that are not complete.
	growing map[*Account]struct{}
	opened  uint64
	givenUp uint64
}

// New returns a budget of a number of bytes for the answers of targets.
func New(limit int64) *Budget { return NewWithReserve(limit, answerReserve) }

// NewWithReserve returns a budget of a number of bytes.
func NewWithReserve(limit int64, reserve Reserve) *Budget {
	return &Budget{
		limit:      limit,
		largeLimit: limit - int64(float64(limit)*reserve.Share),
		smallBytes: reserve.SmallBytes,
		growing:    make(map[*Account]struct{}),
	}
}

// Held returns the number of bytes that messages hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// GivenUp returns how many messages were given up.
func (b *Budget) GivenUp() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.givenUp
}

// Account is what one message takes of a budget. It is safe for concurrent use.
type Account struct {
	budget *Budget
	// number counts the accounts of the budget.
	number uint64
	// declared is the length of the message in bytes, or UnknownLength.
	declared int64
	// onGiveUp ends the source of the message and frees what it holds.
	onGiveUp func()

	// The fields below are guarded by the budget's mutex.

	held    int64
	givenUp bool
}

// Open returns the account of a message that begins. If the message is given up, onGiveUp is called once, on any goroutine; it must
// end the source of the message and must not block.
func (b *Budget) Open(declared int64, onGiveUp func()) *Account {
	a := &Account{budget: b, declared: declared, onGiveUp: onGiveUp}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	a.number = b.opened
	b.growing[a] = struct{}{}
	return a
}

// Take takes memory for more of a message, before it is allocated. Where the budget has no room, it gives up other messages until it
// has. The error is ErrGivenUp if this message was given up, now or before.
func (a *Account) Take(n int64) error { return a.budget.take(a, n, false) }

// TakeLast takes memory for the last time, since the message is whole: it is given up no more. Messages that are not whole are given
// up before it, but for small ones if it is none. The error is as for Take; onGiveUp is not called then, so that the sender of this
// message can be told.
func (a *Account) TakeLast(n int64) error { return a.budget.take(a, n, true) }

// take takes memory for an account and gives up others for it.
func (b *Budget) take(a *Account, n int64, whole bool) error {
	victims, err := b.makeRoom(a, n, whole)
	for _, v := range victims {
		if v != a || !whole {
			v.onGiveUp()
		}
	}
	return err
}

// makeRoom takes memory for an account and returns the accounts that were given up for it.
func (b *Budget) makeRoom(a *Account, n int64, whole bool) ([]*Account, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	amount := a.held + n
	bound := b.largeLimit
	if amount <= b.smallBytes {
		bound = b.limit
	}
	var victims []*Account
	for !a.givenUp && b.held+n > bound {
		v := a
		switch {
		case amount > bound: // there is no room for it, whoever gives way
		case whole:
			v = b.victimForWhole(a, amount)
		default:
			v = b.victim(a)
		}
		b.giveUp(v)
		victims = append(victims, v)
	}
	if a.givenUp {
		return victims, ErrGivenUp
	}
	a.held = amount
	b.held += n
	if whole {
		delete(b.growing, a)
	}
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

// victimForWhole returns the growing account to give up next so that an account whose message is whole can hold an amount; it is that
// one only if there is no other, or only small ones beside a message that is not small.
func (b *Budget) victimForWhole(a *Account, amount int64) *Account {
	var worst *Account
	for other := range b.growing {
		if other == a || other.kind() == kindSmall && amount > b.smallBytes {
			continue
		}
		if worst == nil || other.goesBefore(worst) {
			worst = other
		}
	}
	if worst == nil {
		return a
	}
	return worst
}

// Kinds of messages, in the order in which they are given up.
const (
	// kindUnbounded is a message of unknown length, which may have no end.
	kindUnbounded = iota
	// kindBounded is a message that ends at its declared length.
	kindBounded
	// kindSmall is a message of either kind that holds little.
	kindSmall
)

func (a *Account) kind() int {
	switch {
	case a.held <= a.budget.smallBytes:
		return kindSmall
	case a.declared == UnknownLength:
		return kindUnbounded
	}
	return kindBounded
}

// goesBefore reports whether a message is given up before another one. Of those that have a declared length, the one that lacks most
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

// Complete marks the message as whole: it is given up no more. The error is ErrGivenUp if it was given up before.
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

// WasGivenUp reports whether the message was given up.
func (a *Account) WasGivenUp() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.givenUp
}
