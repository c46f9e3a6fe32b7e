package target

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Priorities is the number of engine priorities; higher ones are served first.
const Priorities = 3

// Load is work that hosts have placed at one target.
type Load struct {
	// Pending is the prefill work that has no first token yet, by priority, in tokens of weight 1.
	Pending [Priorities]int64
	// Held is the KV memory, reservations among it, in tokens.
	Held int64
	// Streams are the dispatches that have not ended.
	Streams int64
	// Deep are the prefills that reach positions at which they slow the other streams.
	Deep int64
	// Strict are the streams with the tightest aim for pauses.
	Strict int64
}

func (l *Load) add(o Load) {
	for i := range l.Pending {
		l.Pending[i] += o.Pending[i]
	}
	l.Held += o.Held
	l.Streams += o.Streams
	l.Deep += o.Deep
	l.Strict += o.Strict
}

func (l *Load) subtract(o Load) {
	for i := range l.Pending {
		l.Pending[i] -= o.Pending[i]
	}
	l.Held -= o.Held
	l.Streams -= o.Streams
	l.Deep -= o.Deep
	l.Strict -= o.Strict
}

// Ahead is the pending work that goes before new work of a priority.
func (l *Load) Ahead(priority int) int64 {
	sum := int64(0)
	for i := max(priority, 0); i < Priorities; i++ {
		sum += l.Pending[i]
	}
	return sum
}

// loadFields is the number of integers of a Load on the wire.
const loadFields = Priorities + 4

func (l *Load) fields() [loadFields]int64 {
	return [loadFields]int64{l.Pending[0], l.Pending[1], l.Pending[2], l.Held, l.Streams, l.Deep, l.Strict}
}

// digestID names a target in a digest: hosts of neighbouring cells route to different targets, so a place in the table
// would not do.
func digestID(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// Digest is the load that one host has placed at all targets, as it goes to peers: for each target with any load its
// identifier, a mask of its fields that are not zero, and these, as variable-length integers.
func (tb *Table) Digest() []byte {
	var out []byte
	for _, t := range tb.ordered {
		if t.own == (Load{}) {
			continue
		}
		out = binary.AppendUvarint(out, uint64(digestID(t.Address)))
		out = appendLoad(out, t.own.fields())
	}
	return out
}

func appendLoad(out []byte, fields [loadFields]int64) []byte {
	mask := uint64(0)
	for i, v := range fields {
		if v > 0 {
			mask |= 1 << i
		}
	}
	out = binary.AppendUvarint(out, mask)
	for _, v := range fields {
		if v > 0 {
			out = binary.AppendUvarint(out, uint64(v))
		}
	}
	return out
}

// HearDigest takes a peer's digest. Targets that this host doesn't route to are passed over; a digest that is cut
// short is taken as far as it goes.
func (tb *Table) HearDigest(peer string, digest []byte) {
	tb.ForgetPeer(peer)
	for len(digest) > 0 {
		r := digestReader{rest: digest}
		id := r.next()
		load := r.load()
		if r.short {
			return
		}
		digest = r.rest
		if t := tb.byDigest[id]; t != nil {
			t.setPeer(peer, load)
		}
	}
}

// digestReader reads integers from a digest; short is set when one is missing.
type digestReader struct {
	rest  []byte
	short bool
}

func (r *digestReader) next() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.short = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *digestReader) load() Load {
	mask := r.next()
	var v [loadFields]int64
	for i := range v {
		if mask&(1<<i) != 0 && !r.short {
			v[i] = int64(r.next())
		}
	}
	return Load{
		Pending: [Priorities]int64{v[0], v[1], v[2]}, Held: v[3], Streams: v[4], Deep: v[5], Strict: v[6],
	}
}

// ForgetPeer drops what a peer has told; its dispatches end with its connections.
func (tb *Table) ForgetPeer(peer string) {
	for _, t := range tb.ordered {
		if old, ok := t.peers[peer]; ok {
			t.others.subtract(old)
			delete(t.peers, peer)
		}
	}
}

func (t *Target) setPeer(peer string, load Load) {
	if old, ok := t.peers[peer]; ok {
		t.others.subtract(old)
	}
	t.peers[peer] = load
	t.others.add(load)
}

// Total is the load of all hosts that is known.
func (t *Target) Total() Load {
	sum := t.own
	sum.add(t.others)
	return sum
}

// FreeTokens is the KV memory that no host is known to hold.
func (t *Target) FreeTokens() int64 { return t.MemoryTokens - t.own.Held - t.others.Held }

// Rates of a target before anything was measured.
const (
	firstPrefillRate = 11_000.0
	firstTokenGap    = 25 * time.Millisecond
	// smoothing is the part that a new sample has in a measured rate.
	smoothing = 0.1
	// minSampleTokens is the least prefill work whose time says something about the rate.
	minSampleTokens = 1_000
)

// measured are the rates of a target as this host has seen them.
type measured struct {
	rate float64
	gap  float64
}

// PrefillRate is the measured prefill rate, in tokens of weight 1 a second.
func (t *Target) PrefillRate() float64 {
	if t.measured.rate == 0 {
		return firstPrefillRate
	}
	return t.measured.rate
}

// TokenGap is the measured time between two tokens of one stream.
func (t *Target) TokenGap() time.Duration {
	if t.measured.gap == 0 {
		return firstTokenGap
	}
	return time.Duration(t.measured.gap)
}

// Measured tells whether both rates come from measurements.
func (t *Target) Measured() bool { return t.measured.rate > 0 && t.measured.gap > 0 }

// sampleRate takes the time in which work was prefilled.
func (t *Target) sampleRate(tokens int64, d time.Duration) {
	if tokens < minSampleTokens || d <= 0 {
		return
	}
	smooth(&t.measured.rate, float64(tokens)/d.Seconds())
}

// SampleGap takes the time between the first and the last token of an answer.
func (t *Target) SampleGap(tokens int64, d time.Duration) {
	if tokens > 1 && d > 0 {
		smooth(&t.measured.gap, float64(d)/float64(tokens-1))
	}
}

func smooth(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += smoothing * (sample - *value)
}
