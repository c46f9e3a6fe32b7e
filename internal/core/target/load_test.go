package target_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

func table(n int) *target.Table {
	list := &hostlist.List{Version: 1}
	for i := range n {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("e%03d", i), Role: hostlist.RoleEngine, State: hostlist.StateLive, MemoryTokens: 450_000,
		})
	}
	tb := target.NewTable()
	tb.Apply(list)
	return tb
}

// TestDigestKeepsLoadExact: a host that applies its peer's digest after every change has exactly the peer's load.
func TestDigestKeepsLoadExact(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	mine, theirs := table(20), table(20)
	open := make(map[target.Dispatch]*target.Target)
	for step := range 5_000 {
		d := target.Dispatch{Key: core.Key{ID: fmt.Sprint(step)}, Number: 1}
		engine := theirs.All()[rng.IntN(20)]
		switch rng.IntN(3) {
		case 0:
			engine.Begin(0, d, target.Job{Priority: rng.IntN(3), Work: rng.Int64N(1e6), Memory: rng.Int64N(4e5), LongContext: rng.IntN(2) == 0})
			open[d] = engine
		case 1:
			for d, e := range open {
				e.Prefilled(time.Second, d)
				break
			}
		case 2:
			for d, e := range open {
				e.End(d)
				delete(open, d)
				break
			}
		}
		mine.ApplyDigest(0, "peer", theirs.Digest())
		for i := range mine.All() {
			assert.Equal(t, mine.All()[i].Total(), theirs.All()[i].Total())
		}
	}
	mine.ForgetPeer("peer")
	for _, e := range mine.All() {
		assert.Equal(t, e.Total(), target.Load{})
	}
}

// TestDigestBetweenTablesOfDifferentTargets: hosts of neighbouring cells exchange the load of the targets that they
// share.
func TestDigestBetweenTablesOfDifferentTargets(t *testing.T) {
	mine, theirs := table(3), table(5)
	job := target.Job{Priority: 1, Work: 5, Memory: 7}
	for i, address := range []string{"e001", "e004"} {
		theirs.Get(address).Begin(0, target.Dispatch{Number: uint32(i)}, job)
	}
	mine.ApplyDigest(0, "peer", theirs.Digest())
	assert.Equal(t, mine.Get("e001").Total(), theirs.Get("e001").Total())
	assert.Equal(t, mine.Get("e000").Total(), target.Load{})
}

func TestTruncatedDigestIsAppliedAsFarAsDecodable(t *testing.T) {
	mine, theirs := table(3), table(3)
	for i, e := range theirs.All() {
		e.Begin(0, target.Dispatch{Number: uint32(i)}, target.Job{Memory: 1_000})
	}
	whole := theirs.Digest()
	for n := range whole {
		mine.ApplyDigest(0, "peer", whole[:n])
	}
	mine.ApplyDigest(0, "peer", []byte{200, 1, 1, 1, 1, 1, 1, 1}) // a target that is not known here
	mine.ApplyDigest(0, "peer", []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	for _, e := range mine.All() {
		assert.Equal(t, e.Total(), target.Load{})
	}
}

// TestDigestIsSmall: 20 busy engines fit into 300 bytes, so that a host's digests to three peers, four times a second,
// take under 5 KB/s as base64.
func TestDigestIsSmall(t *testing.T) {
	tb := table(20)
	for i, e := range tb.All() {
		e.Begin(0, target.Dispatch{Number: uint32(i)}, target.Job{Priority: 1, Work: 400_000, Memory: 400_000, LongContext: true})
	}
	assert.Assert(t, len(tb.Digest()) <= 300, "%d bytes", len(tb.Digest()))
}

func TestMeasuredRatesFollowTheSamples(t *testing.T) {
	e := table(1).All()[0]
	assert.Assert(t, !e.Measured())
	for i := range 200 {
		d := target.Dispatch{Number: uint32(i)}
		e.Begin(0, d, target.Job{Work: 10_000})
		e.Prefilled(time.Second, d)
		e.End(d)
		e.AddGapSample(101, 3*time.Second)
	}
	assert.Assert(t, e.Measured())
	assert.Assert(t, e.PrefillRate() > 9_990 && e.PrefillRate() < 10_010)
	assert.Equal(t, e.TokenGap().Round(time.Millisecond), 30*time.Millisecond)
}

// A later version may add fields to the load of a target.
func TestFieldsOfALaterVersionAreSkipped(t *testing.T) {
	tb := target.NewTable()
	tb.Apply(listOf(1, engine("e1", "i1"), engine("e2", "i2")))
	tb.Get("e1").Begin(0, dispatchOf("a"), target.Job{Memory: 70})
	tb.Get("e2").Begin(0, dispatchOf("b"), target.Job{Memory: 80})
	digest := tb.Digest()
	id, idLength := binary.Uvarint(digest)
	later := binary.AppendUvarint(nil, id)
	const held, streams, unknown = 1 << 3, 1 << 4, 1 << 40
	for _, v := range []uint64{held | streams | unknown, 70, 1, 12_345} {
		later = binary.AppendUvarint(later, v)
	}
	firstEntry := idLength + 3 // its mask, 70 and 1 take a byte each
	later = append(later, digest[firstEntry:]...)
	other := target.NewTable()
	other.Apply(listOf(1, engine("e1", "i1"), engine("e2", "i2")))
	other.ApplyDigest(0, "10.0.0.2:2", later)
	assert.Equal(t, other.Get("e1").Total(), target.Load{Held: 70, Streams: 1})
	assert.Equal(t, other.Get("e2").Total(), target.Load{Held: 80, Streams: 1})
}
