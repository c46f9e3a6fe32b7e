package target

import (
	"encoding/binary"
	"time"

	"carobshunt/internal/core"

	"github.com/cespare/xxhash/v2"
)

// Priorities is the number of engine priorities; higher ones are served first.
const Priorities = 3

// Load is work that hosts have placed at one target.
type Load struct {
	// Pending is the prefill work that is not finished, by priority, in weighted tokens. Work counts until its first token
	// or its end; at an engine of published speed, not after the latest time by which its prefill should be done, see
	// ExpirePending.
	Pending [Priorities]int64
	// Held is the KV memory that dispatches and reservations hold, in tokens.
	Held int64
	// Streams is the number of dispatches that have not ended, with or without a first token. At an engine that belongs to
	// a group, the group's claim (see group.Claim) counts too, unless the request is routed (see core.Routed).
	Streams int64
	// LongContext is the number of long-context prefills, which slow the other streams of the engine; they count over the
	// same time as their work in Pending. These are the prefills of routed requests from 20,000 prompt tokens (see
	// route.IsLong) and of other requests over 110,000 (see route.IsLongContext), the parts of prefill helpers and the
	// claims of groups.
	LongContext int64
	// GapSensitive is the number of streams with the tightest inter-token objective.
	GapSensitive int64
}

func (l *Load) add(o Load) {
	for i := range l.Pending {
		l.Pending[i] += o.Pending[i]
	}
	l.Held += o.Held
	l.Streams += o.Streams
	l.LongContext += o.LongContext
	l.GapSensitive += o.GapSensitive
}

func (l *Load) subtract(o Load) {
	for i := range l.Pending {
		l.Pending[i] -= o.Pending[i]
	}
	l.Held -= o.Held
	l.Streams -= o.Streams
	l.LongContext -= o.LongContext
	l.GapSensitive -= o.GapSensitive
}

// belowAny reports whether any part of the load is below that of another one.
func (l *Load) belowAny(o *Load) bool {
	fields, others := l.fields(), o.fields()
	for i := range fields {
		if fields[i] < others[i] {
			return true
		}
	}
	return false
}

// Ahead returns the pending work of a priority and of higher ones, which is served before new work, in weighted tokens.
func (l *Load) Ahead(priority int) int64 {
	sum := int64(0)
	for i := max(priority, 0); i < Priorities; i++ {
		sum += l.Pending[i]
	}
	return sum
}

// loadFields is the number of integers in an encoded Load.
const loadFields = Priorities + 4

// fields returns the fields in the order of a digest, in which digestReader.load reads them.
func (l *Load) fields() [loadFields]int64 {
	return [loadFields]int64{l.Pending[0], l.Pending[1], l.Pending[2], l.Held, l.Streams, l.LongContext, l.GapSensitive}
}

// digestID identifies a target in a digest. An index into the table would not do, since hosts of neighbouring cells
// route to different targets.
func digestID(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// digestEntry is what a digest holds for one target: the load that a host has placed there, and the number of requests that
// it has sent since the target named its limit, 0 without a limit.
type digestEntry struct {
	load Load
	sent uint64
}

// digestFields is the number of integers in an encoded digestEntry.
const digestFields = loadFields + 1

// fields returns the fields in the order of a digest, in which digestReader.entry reads them.
func (e *digestEntry) fields() [digestFields]int64 {
	var out [digestFields]int64
	load := e.load.fields()
	copy(out[:], load[:])
	out[loadFields] = int64(e.sent)
	return out
}

// Digest encodes the load that this host has placed at all targets, for its peers. For each target with any load or limit it
// holds the identifier, a bit mask of the fields that are above zero, and these fields, as variable-length integers.
func (tb *Table) Digest() []byte {
	var out []byte
	for _, t := range tb.ordered {
		e := digestEntry{load: t.own}
		if t.Limited() {
			e.sent = t.standing.bucket.Sent()
		}
		if e == (digestEntry{}) {
			continue
		}
		out = binary.AppendUvarint(out, uint64(digestID(t.Address)))
		out = appendFields(out, e.fields())
	}
	return out
}

// appendFields appends the bit mask of the fields above zero and these fields, in the order of digestEntry.fields. Fields
// that are zero or negative are omitted; digestReader.entry reads them as zero.
func appendFields(out []byte, fields [digestFields]int64) []byte {
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

// ApplyDigest replaces a peer's load with that of its digest, and its counts of requests to limited targets. Targets that
// this host does not route to are skipped; a truncated digest is applied as far as it can be decoded.
func (tb *Table) ApplyDigest(now core.Time, peer string, digest []byte) {
	tb.rememberLoad(peer)
	defer tb.countFalls(peer)
	tb.forgetLoad(peer)
	counts := make(map[*Target]uint64, len(tb.limited))
	for len(digest) > 0 {
		r := digestReader{rest: digest}
		id := r.next()
		entry := r.entry()
		if r.truncated {
			return
		}
		digest = r.rest
		if t := tb.byDigest[id]; t != nil {
			tb.setPeer(t, peer, entry.load)
			if t.Limited() {
				counts[t] = entry.sent
			}
		}
	}
	for _, t := range tb.limited {
		t.standing.bucket.Hear(now, peer, counts[t])
	}
}

// digestReader decodes integers from a digest; truncated is set when one is missing.
type digestReader struct {
	rest      []byte
	truncated bool
}

func (r *digestReader) next() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.truncated = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// entry decodes what appendFields encoded. The order of the fields must be that of digestEntry.fields. Fields that only a
// later version of this program knows are skipped.
func (r *digestReader) entry() digestEntry {
	var v [digestFields]int64
	mask := r.next()
	for i := 0; mask != 0 && !r.truncated; i++ {
		if mask&1 != 0 {
			value := int64(r.next())
			if i < digestFields {
				v[i] = value
			}
		}
		mask >>= 1
	}
	return digestEntry{
		load: Load{
			Pending: [Priorities]int64{v[0], v[1], v[2]}, Held: v[3], Streams: v[4], LongContext: v[5], GapSensitive: v[6],
		},
		sent: uint64(max(v[loadFields], 0)),
	}
}

// ForgetPeer drops the load and the counts that a peer reported. The dispatches of a peer that is gone end with its
// connections.
func (tb *Table) ForgetPeer(peer string) {
	tb.forgetLoad(peer)
	tb.loadFalls++
	for _, t := range tb.limited {
		t.standing.bucket.Forget(peer)
	}
}

// forgetLoad drops the load that a peer reported.
func (tb *Table) forgetLoad(peer string) {
	for _, t := range tb.withPeer[peer] {
		if old, ok := t.peers[peer]; ok {
			t.others.subtract(old)
			delete(t.peers, peer)
		}
	}
	delete(tb.withPeer, peer)
}

// peerLoad is the load of a peer at a target.
type peerLoad struct {
	target *Target
	load   Load
}

// rememberLoad keeps the load that a peer reports, for countFalls.
func (tb *Table) rememberLoad(peer string) {
	tb.remembered = tb.remembered[:0]
	for _, t := range tb.withPeer[peer] {
		tb.remembered = append(tb.remembered, peerLoad{t, t.peers[peer]})
	}
}

// countFalls counts a fall if any load of the peer is lower now than when it was remembered.
func (tb *Table) countFalls(peer string) {
	for i := range tb.remembered {
		now := tb.remembered[i].target.peers[peer]
		if now.belowAny(&tb.remembered[i].load) {
			tb.loadFalls++
			return
		}
	}
}

// LoadFalls returns the number of times that known load has fallen, of this host or of others: until it changes, no target has more
// room than before.
func (tb *Table) LoadFalls() uint64 { return tb.loadFalls }

// setPeer sets the load that a peer reports at a target.
func (tb *Table) setPeer(t *Target, peer string, load Load) {
	if old, ok := t.peers[peer]; ok {
		t.others.subtract(old)
	} else {
		tb.withPeer[peer] = append(tb.withPeer[peer], t)
	}
	t.peers[peer] = load
	t.others.add(load)
}

// Total returns the known load of all hosts at the target.
func (t *Target) Total() Load {
	sum := t.own
	sum.add(t.others)
	return sum
}

// FreeTokens returns the KV memory that no host is known to hold, in tokens.
func (t *Target) FreeTokens() int64 { return t.MemoryTokens - t.own.Held - t.others.Held }

// Rates that are assumed for a target before any was measured, and how samples are averaged.
const (
	// defaultPrefillRate is in weighted tokens per second.
	defaultPrefillRate = 11_000.0
	defaultTokenGap    = 25 * time.Millisecond
	// smoothingFactor is the weight of a new sample in the moving average, 0 to 1.
	smoothingFactor = 0.1
	// minSampleTokens is the least prefill work that is long enough to measure the rate, in weighted tokens.
	minSampleTokens = 1_000
)

// measured holds the rates of a target that this host has measured; 0 means none yet.
type measured struct {
	// rate is the prefill rate in weighted tokens per second, gap the inter-token latency in nanoseconds.
	rate float64
	gap  float64
}

// PrefillRate returns the measured prefill rate, or a default, in weighted tokens per second.
func (t *Target) PrefillRate() float64 {
	if t.measured.rate == 0 {
		return defaultPrefillRate
	}
	return t.measured.rate
}

// TokenGap returns the measured inter-token latency, or a default.
func (t *Target) TokenGap() time.Duration {
	if t.measured.gap == 0 {
		return defaultTokenGap
	}
	return time.Duration(t.measured.gap)
}

// Measured reports whether both rates come from measurements.
func (t *Target) Measured() bool { return t.measured.rate > 0 && t.measured.gap > 0 }

// addRateSample adds the time that an amount of prefill work, in weighted tokens, took.
func (t *Target) addRateSample(tokens int64, d time.Duration) {
	if tokens < minSampleTokens || d <= 0 {
		return
	}
	smooth(&t.measured.rate, float64(tokens)/d.Seconds())
}

// AddGapSample adds the time from the first to the last token of an answer of that many tokens.
func (t *Target) AddGapSample(tokens int64, d time.Duration) {
	if tokens > 1 && d > 0 {
		smooth(&t.measured.gap, float64(d)/float64(tokens-1))
	}
}

func smooth(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += smoothingFactor * (sample - *value)
}
