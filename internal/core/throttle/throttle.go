// Package throttle keeps all hosts together within the number of requests a second that a target takes, without shared
// state and without asking another host before a request is sent.
//
// Only a few hosts, the senders, may send to a limited target. Each counts what it sends and tells the others its count
// with its load digests. So every sender knows what all have sent up to a moment ago, and takes it from its own copy of one
// bucket that fills at the target's rate: what one sender leaves unused, the others may use. A sender whose count is not
// fresh may be sending unseen, so its equal share is left to it until it is no longer among the senders. What all send in
// a window is then at most what the rate allows, one burst, and one request for each sender that sent at the same moment.
package throttle

import (
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/rendezvous"
)

const (
	// minSenders is the number of hosts that may send to a limited target, if there are as many. There is one more for each
	// request a second that the target takes: each may send a request more than the bucket holds at the same moment, and a
	// higher limit leaves more room for that.
	minSenders = 4
	// burstTime is how much unused rate is kept, as time at the rate, beside one whole request.
	burstTime = 500 * time.Millisecond
	// debtTime is how much of what was sent above the rate is made up for, as time at the rate, beside debtRequests.
	debtTime     = 2 * time.Second
	debtRequests = 2
	// countTimeout is the age above which a sender's count is not fresh. An unchanged load digest is sent again every 0.5 s.
	countTimeout = 700 * time.Millisecond
	// SettleTime is how long the hosts must have been the same for all to agree on the senders. A host that was not a sender
	// before waits for as long until it sends.
	SettleTime = 3 * time.Second
)

// RateWithin returns the rate of a target at which all hosts together stay within a number of requests in any one second, also if
// all senders send one more at the same moment.
func RateWithin(perSecond float64) float64 {
	// In a second, the bucket yields its rate and a full burst, and there is one more sender for each request of the rate.
	return max((perSecond-minSenders-1)/(2+burstTime.Seconds()), minRate)
}

// minRate is the lowest rate that RateWithin returns, in requests a second.
const minRate = 0.5

// Senders returns those of the hosts that may send to a target that takes that many requests a second.
func Senders(target string, rate float64, hosts []string) []string {
	count := minSenders + int(rate)
	if len(hosts) <= count {
		return hosts
	}
	return rendezvous.Rank("limit "+target, hosts)[:count]
}

// Bucket is one host's copy of the bucket of a limited target. It is not safe for concurrent use.
type Bucket struct {
	self string
	// rate is in requests a second, balance in requests; it is negative after more was sent than the rate allows.
	rate    float64
	balance float64
	updated core.Time
	// sent counts the requests of this host.
	sent uint64
	// counts are the last counts of other hosts, by peer address.
	counts map[string]count
	// senders are the hosts that may send. This host has been one since senderSince, if it is one.
	senders     []string
	senderSince core.Time
}

// count is the number of requests that a host had sent when its digest was received.
type count struct {
	sent uint64
	at   core.Time
}

// New returns the empty bucket of a target with a rate in requests a second, for the host with the peer address self.
// If settled, the hosts have known each other for long enough to agree on the senders.
func New(now core.Time, self string, rate float64, senders []string, settled bool) *Bucket {
	b := &Bucket{self: self, rate: rate, updated: now, counts: make(map[string]count), senders: senders, senderSince: now}
	if settled {
		b.senderSince = now - SettleTime
	}
	return b
}

// SetRate replaces the rate.
func (b *Bucket) SetRate(now core.Time, rate float64) {
	b.advance(now)
	b.rate = rate
	b.balance = min(b.balance, b.burst())
}

// Rate returns the rate of all hosts together, in requests a second.
func (b *Bucket) Rate() float64 { return b.rate }

// Sent returns the number of requests that this host has sent.
func (b *Bucket) Sent() uint64 { return b.sent }

// SetSenders replaces the hosts that may send.
func (b *Bucket) SetSenders(now core.Time, senders []string) {
	b.advance(now)
	if !b.isSender() && slices.Contains(senders, b.self) {
		b.senderSince = now
	}
	b.senders = senders
}

// Hear records the number of requests that another host has sent, by its load digest. The first count and one that is lower
// than the last, as after a restart, only show where to count from.
func (b *Bucket) Hear(now core.Time, peer string, sent uint64) {
	b.advance(now)
	last, known := b.counts[peer]
	b.counts[peer] = count{sent: sent, at: now}
	if known && sent > last.sent {
		b.spend(float64(sent - last.sent))
	}
}

// Forget drops the count of a host that is no longer reachable.
func (b *Bucket) Forget(peer string) { delete(b.counts, peer) }

// Take records that this host sends a request.
func (b *Bucket) Take(now core.Time) {
	b.advance(now)
	b.sent++
	b.spend(1)
}

// Refund records that a request was not sent after all.
func (b *Bucket) Refund(now core.Time) {
	if b.sent == 0 {
		return // the bucket is newer than the request
	}
	b.advance(now)
	b.sent--
	b.balance = min(b.balance+1, b.burst())
}

// Wait returns how long this host has to wait until it may send a request if no other host sends one: 0 if it may now. It
// reports false if this host is not a sender.
func (b *Bucket) Wait(now core.Time) (time.Duration, bool) {
	if !b.isSender() {
		return 0, false
	}
	b.advance(now)
	wait := max(b.senderSince+SettleTime-now, 0)
	if b.balance < 1 {
		wait = max(wait, seconds((1-b.balance)/b.ownRate(now)))
	}
	return wait, true
}

// EqualShare returns the part of the rate that is this host's if all senders have requests to send, in requests a second.
func (b *Bucket) EqualShare() float64 {
	if !b.isSender() {
		return 0
	}
	return b.rate / float64(len(b.senders))
}

func (b *Bucket) isSender() bool { return slices.Contains(b.senders, b.self) }

// ownRate returns the rate at which the bucket fills: the whole rate, less the shares of the other senders whose counts are
// not fresh.
func (b *Bucket) ownRate(now core.Time) float64 {
	unheard := 0
	for _, peer := range b.senders {
		c, known := b.counts[peer]
		if peer != b.self && (!known || now-c.at >= countTimeout) {
			unheard++
		}
	}
	return b.rate * (1 - float64(unheard)/float64(max(len(b.senders), 1)))
}

func (b *Bucket) advance(now core.Time) {
	b.balance = min(b.balance+b.ownRate(now)*(now-b.updated).Seconds(), b.burst())
	b.updated = now
}

func (b *Bucket) spend(requests float64) {
	b.balance = max(b.balance-requests, -debtRequests-b.rate*debtTime.Seconds())
}

// burst returns the largest balance.
func (b *Bucket) burst() float64 { return 1 + b.rate*burstTime.Seconds() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
