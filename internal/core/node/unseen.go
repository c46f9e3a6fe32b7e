package node

import (
	"math"
	"time"

	"carobshunt/internal/core"
)

// rateWindow is the time constant of the average rate of short prompts: as long as a few of them run, so that the rate follows a
// burst.
const rateWindow = 2 * time.Second

// shortRate averages the rate at which this host places short prompts.
type shortRate struct {
	sum     float64
	updated core.Time
}

func (r *shortRate) decay(now core.Time) {
	r.sum *= math.Exp(-float64(now-r.updated) / float64(rateWindow))
	r.updated = now
}

func (r *shortRate) add(now core.Time) {
	r.decay(now)
	r.sum++
}

// perSecond returns the average rate.
func (r *shortRate) perSecond(now core.Time) float64 {
	r.decay(now)
	return r.sum / rateWindow.Seconds()
}

// unseenShort returns how many short prompts the other hosts of this zone have probably placed that this host has not heard of:
// as many as arrive, at this host's own rate for each, while a load digest is under way. With many hosts, digests take longer and
// more hosts send to the same engines meanwhile.
func (n *Node) unseenShort() float64 {
	others := 0
	for _, address := range n.peers.Addresses() {
		if p := n.peers.Get(address); p.Alive(n.now) && p.Last.Zone == n.opts.Zone {
			others++
		}
	}
	delay := n.loads.DeliveryTime(others, len(n.peers.Addresses()))
	return n.shortRate.perSecond(n.now) * float64(others) * delay.Seconds()
}
