// Package retry limits a host's retries to a percentage of its new requests, so that failing targets do not multiply
// the load on healthy ones.
package retry

// Budget is a host's retry budget, in dispatches. It is not safe for concurrent use.
type Budget struct {
	balance float64
	// unpaid is the part of the initial balance that is not repaid yet.
	unpaid float64
}

// Initial and largest balance, in dispatches.
const (
	initialBalance = 3
	maxBalance     = 10
)

// repaymentShare is the fraction of each earned amount that repays the initial balance, so that in the long run the
// retries stay within the percentage.
const repaymentShare = 0.5

const percent = 100

// New returns a budget with its initial balance.
func New() *Budget { return &Budget{balance: initialBalance, unpaid: initialBalance} }

// Earn adds what one new request earns, in percent of a dispatch.
func (b *Budget) Earn(sharePercent int64) {
	share := float64(sharePercent) / percent
	repayment := min(share*repaymentShare, b.unpaid)
	b.unpaid -= repayment
	b.balance = min(b.balance+share-repayment, maxBalance)
}

// Balance returns the number of retries that may be spent now; Spend needs at least 1.
func (b *Budget) Balance() float64 { return b.balance }

// Spend takes one retry from the budget. It returns false if there is none left.
func (b *Budget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
