// Package retry bounds how many dispatches beyond the first the requests of a host may cause, as a share of fresh
// requests, so that failing targets do not multiply the load on those that are well.
package retry

// Budget counts in dispatches. It is not safe for concurrent use.
type Budget struct {
	balance float64
	// advance is what is still owed of the initial balance.
	advance float64
}

// Bounds of the balance, in dispatches: what a host starts with, and what it may save up.
const (
	initialBalance = 3
	maxBalance     = 10
)

// repaid is the part of each share that goes into repaying the initial balance, so that over a longer run the
// dispatches stay within the share.
const repaid = 0.5

const percent = 100

// New returns a budget with its initial balance.
func New() *Budget { return &Budget{balance: initialBalance, advance: initialBalance} }

// Earn adds the share of one fresh request, in percent of a dispatch.
func (b *Budget) Earn(sharePercent int64) {
	share := float64(sharePercent) / percent
	back := min(share*repaid, b.advance)
	b.advance -= back
	b.balance = min(b.balance+share-back, maxBalance)
}

// Balance is the number of dispatches that may be taken now.
func (b *Budget) Balance() float64 { return b.balance }

// Spend takes one further dispatch out of the budget; it reports false when there is none left.
func (b *Budget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
